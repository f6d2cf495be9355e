use std::time::Duration;

/// Times of one long poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTimes {
    /// How long the store holds the call if nothing changes.
    pub hold: Duration,
    /// Time allowed for the response beyond the hold.
    pub response: Duration,
}

impl WatchTimes {
    /// Returns the timeout of the call.
    pub fn timeout(&self) -> Duration {
        self.hold + self.response
    }
    /// Returns these times with the hold limited to `max_hold`.
    pub fn with_max_hold(self, max_hold: Duration) -> Self {
        Self {
            hold: self.hold.min(max_hold),
            ..self
        }
    }
}
