use {super::WatchTimes, crate::retry::Backoff, std::time::Duration};

/// Time allowed for the store's response: three times the slowest documented one (60 times 4 ms),
/// so that a slow store is still read.
const RESPONSE_TIME: Duration = Duration::from_millis(700);
/// Fraction of the change delay for which the store may hold a call.
const HOLD_FRACTION: f64 = 0.45;
/// Shortest documented time within which a change must be in force.
const DEFAULT_CHANGE_DELAY: Duration = Duration::from_millis(2_000);

/// Timing of the long polls for one topic of the store.
///
/// A call that gets no response takes its full timeout and misses the changes made meanwhile.
/// The timeout, the pause after it and the next call together stay within the time in which a
/// change must be known. After a failure the next call isn't held, so that it takes no longer
/// than a response.
#[derive(Debug, Clone)]
pub struct WatchPacing {
    hold: Duration,
    backoff: Backoff,
}

impl Default for WatchPacing {
    fn default() -> Self {
        Self::for_change_delay(DEFAULT_CHANGE_DELAY)
    }
}

impl WatchPacing {
    /// Paces calls so that a change is known within `delay`, counted from the store's recovery
    /// if it was down.
    pub fn for_change_delay(delay: Duration) -> Self {
        Self::with_hold(delay.mul_f64(HOLD_FRACTION))
    }
    /// Paces calls that the store may hold for `hold`.
    pub fn with_hold(hold: Duration) -> Self {
        Self {
            hold,
            backoff: Backoff::default(),
        }
    }
    /// Returns the times of the next call after this many failures in a row.
    pub fn next_call(&self, failures: u32) -> WatchTimes {
        let hold = match failures {
            0 => self.hold,
            _ => Duration::ZERO,
        };
        WatchTimes {
            hold,
            response: RESPONSE_TIME,
        }
    }
    /// Returns the pause before a call after this many failures in a row; `jitter` is between 0
    /// and 1.
    pub fn pause(&self, failures: u32, jitter: f64) -> Duration {
        self.backoff.delay(failures, 0.5 + jitter / 2.0)
    }
}
