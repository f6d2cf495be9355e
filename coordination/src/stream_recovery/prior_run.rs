use std::time::{Duration, Instant};

/// Time after which an engine has stopped a run whose connection was closed.
pub const STOP_TIME: Duration = Duration::from_millis(400);

/// A run that was cut, on whose engine nothing may run when the next one starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PriorRun {
    /// When this entry closed its connection to the engine.
    pub closed_at: Instant,
    /// Whether the engine is known to have ended.
    pub has_engine_ended: bool,
}

impl PriorRun {
    /// Returns when the next run may start.
    pub fn next_start(&self) -> Instant {
        match self.has_engine_ended {
            true => self.closed_at,
            false => self.closed_at + STOP_TIME,
        }
    }
    /// Returns whether the next run may start.
    pub fn has_stopped(&self, now: Instant) -> bool {
        now >= self.next_start()
    }
}
