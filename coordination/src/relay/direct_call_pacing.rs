use std::time::{Duration, Instant};

/// Limits the direct calls to the store of an entry that has a relay. The relay retries
/// on its own; if the entry's call fails as well, the store is probably unreachable for
/// all, and more calls would only add load.
#[derive(Debug)]
pub struct DirectCallPacing {
    /// Back-off after a failed call.
    backoff: Duration,
    failed_at: Option<Instant>,
}

impl DirectCallPacing {
    pub fn new(backoff: Duration) -> Self {
        Self {
            backoff,
            failed_at: None,
        }
    }
    pub fn may_call(&self, now: Instant) -> bool {
        let failed_at = self.failed_at;
        failed_at.is_none_or(|at| now.saturating_duration_since(at) >= self.backoff)
    }
    pub fn on_failure(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }
    pub fn on_success(&mut self) {
        self.failed_at = None;
    }
}
