use std::time::Duration;

/// requests that are taken later than this after the signal must end within
/// the grace, however long they take; the platform's rules say so
const LAST_TAKEN: Duration = Duration::from_secs(3);
/// a request that was sent before a kept connection is closed may be read this
/// much later, on a slow link or a busy box
const ON_ITS_WAY: Duration = Duration::from_millis(400);
/// part of the grace that is left to end the process
const END_SLACK: Duration = Duration::from_millis(150);

/// the times of a planned stop of an ingress, from the signal on
#[derive(Debug, Clone)]
pub struct IngressDrain {
    /// time between the signal and the kill
    pub grace: Duration,
}

impl IngressDrain {
    /// when kept connections that rest are closed and no new ones are taken:
    /// after the balancer has noticed, and before the last request may be taken
    pub fn close_after(&self) -> Duration {
        (LAST_TAKEN - ON_ITS_WAY).min(self.end_after())
    }
    /// when the process ends, though requests may still run
    pub fn end_after(&self) -> Duration {
        self.grace.saturating_sub(END_SLACK)
    }
}
