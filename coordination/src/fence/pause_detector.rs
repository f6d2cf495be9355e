use std::time::{Duration, Instant};

/// Detects that this process was suspended for longer than its lease.
#[derive(Debug)]
pub struct PauseDetector {
    lease: Duration,
    last_call: Instant,
}

impl PauseDetector {
    pub fn new(lease: Duration, now: Instant) -> Self {
        Self {
            lease,
            last_call: now,
        }
    }
    /// Returns whether the process was suspended since the last call, so that earlier state
    /// is no longer reliable. Has to be called on each event and tick.
    pub fn is_after_pause(&mut self, now: Instant) -> bool {
        let gap = now.saturating_duration_since(self.last_call);
        self.last_call = now;
        gap > self.lease
    }
}
