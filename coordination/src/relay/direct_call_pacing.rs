use std::time::{Duration, Instant};

/// When an entry that has a relay may ask the store itself. A relay that lost the
/// store goes on asking; while calls of the entry's own fail as well, the store is
/// most likely away for all, and each further call of each entry is for nothing.
#[derive(Debug)]
pub struct DirectCallPacing {
    /// rest after a call that failed
    pause: Duration,
    failed: Option<Instant>,
}

impl DirectCallPacing {
    pub fn new(pause: Duration) -> Self {
        Self {
            pause,
            failed: None,
        }
    }
    pub fn may_call(&self, now: Instant) -> bool {
        let failed = self.failed;
        failed.is_none_or(|at| now.saturating_duration_since(at) >= self.pause)
    }
    pub fn on_failure(&mut self, now: Instant) {
        self.failed = Some(now);
    }
    pub fn on_success(&mut self) {
        self.failed = None;
    }
}
