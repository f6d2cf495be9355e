use {super::CallTimes, crate::retry::Backoff, std::time::Duration};

/// how long one watch of the store waits; a watch that was cut silently costs
/// this time
const HOLD: Duration = Duration::from_millis(2_500);
/// time for the answer of a watch beyond its wait
const ANSWER: Duration = Duration::from_millis(700);

/// how one topic of the store is followed
#[derive(Debug, Clone)]
pub struct FollowPacing {
    calls: CallTimes,
    backoff: Backoff,
}

impl Default for FollowPacing {
    fn default() -> Self {
        Self::holding(HOLD)
    }
}

impl FollowPacing {
    pub fn holding(hold: Duration) -> Self {
        Self {
            calls: CallTimes {
                hold,
                answer: ANSWER,
            },
            backoff: Backoff::default(),
        }
    }
    /// the next watch, after so many calls that failed in a row
    pub fn watch(&self, _failures: u32) -> CallTimes {
        self.calls
    }
    /// the pause before a call, after so many that failed in a row; `jitter` lies
    /// between 0 and 1
    pub fn pause(&self, failures: u32, jitter: f64) -> Duration {
        self.backoff.pause(failures, 0.5 + jitter / 2.0)
    }
}
