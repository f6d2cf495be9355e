use std::time::{Duration, Instant};

/// notices that this process did not run for longer than its lease
#[derive(Debug)]
pub struct PauseDetector {
    lease: Duration,
    last: Instant,
}

impl PauseDetector {
    pub fn new(lease: Duration, now: Instant) -> Self {
        Self { lease, last: now }
    }
    /// called for each event and each tick; true if what was believed before
    /// must be read again
    pub fn is_after_pause(&mut self, now: Instant) -> bool {
        let gap = now.saturating_duration_since(self.last);
        self.last = now;
        gap > self.lease
    }
}
