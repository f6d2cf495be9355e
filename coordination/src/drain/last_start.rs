use std::time::{Duration, Instant};

/// Until when a process that stops sends a request to a back end.
///
/// A request that is cut at the end of the grace has run, and its caller doesn't know. One that is
/// declined before it is sent can be served by another entry.
#[derive(Debug, Clone, Copy)]
pub struct LastStart {
    /// When the process exits.
    pub exits_at: Instant,
}

impl LastStart {
    /// Returns whether a request may be sent now that takes `expected`. One that ends with its
    /// deadline before the process does may be, and one of which nothing is known.
    pub fn may_start(&self, expected: Option<Duration>, deadline: Instant, now: Instant) -> bool {
        let left = self.exits_at.saturating_duration_since(now);
        deadline <= self.exits_at || expected.is_none_or(|expected| expected <= left)
    }
}
