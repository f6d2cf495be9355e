use std::time::Duration;

/// By the platform's rules, requests accepted up to this time after the signal must be
/// completed within the grace period.
const ACCEPT_PERIOD: Duration = Duration::from_secs(3);
/// A request sent before a keep-alive connection is closed may arrive this much later, on a slow
/// link or a busy box.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(400);
/// Part of the grace period that is left for ending the process.
const EXIT_MARGIN: Duration = Duration::from_millis(150);

/// Timing of the graceful shutdown of an ingress, counted from the signal.
#[derive(Debug, Clone)]
pub struct IngressDrain {
    /// Time between the signal and the kill.
    pub grace: Duration,
}

impl IngressDrain {
    /// Returns when to close idle keep-alive connections and the listener: after the load
    /// balancer has noticed the shutdown, and before the accept period ends.
    pub fn close_after(&self) -> Duration {
        (ACCEPT_PERIOD - MAX_TRANSIT_TIME).min(self.exit_after())
    }
    /// Returns until when requests that are accepted are owed their end.
    pub fn accepts_for(&self) -> Duration {
        ACCEPT_PERIOD.min(self.exit_after())
    }
    /// Returns when the process exits, even if requests still run.
    pub fn exit_after(&self) -> Duration {
        self.grace.saturating_sub(EXIT_MARGIN)
    }
}
