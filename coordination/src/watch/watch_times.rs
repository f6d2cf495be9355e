use std::time::Duration;

/// how long a call that waits for changes may last
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTimes {
    /// the store holds the call for this long if there is nothing to tell
    pub hold: Duration,
    /// time for its answer beyond that
    pub answer: Duration,
}

impl WatchTimes {
    /// a call without an answer costs this time
    pub fn limit(&self) -> Duration {
        self.hold + self.answer
    }
    /// the same, held no longer than `longest`
    pub fn held_at_most(self, longest: Duration) -> Self {
        Self {
            hold: self.hold.min(longest),
            ..self
        }
    }
}
