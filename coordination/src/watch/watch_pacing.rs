use {super::WatchTimes, crate::retry::Backoff, std::time::Duration};

/// time for the store's answer: three times the slowest that the platform's pages
/// describe (60 times 4 ms), so that a slow store is still heard
const ANSWER: Duration = Duration::from_millis(700);
/// part of the time within which a change must be known for which the store may hold a
/// call
const HOLD_PART: f64 = 0.45;
/// the shortest time on the platform's pages within which a change must be in force
const KNOWN_WITHIN: Duration = Duration::from_millis(2_000);

/// How one topic of the store is followed.
///
/// A call that the store never answers costs its whole limit, and what was changed
/// meanwhile is not known. So the limit of a call, the pause after it and the time of the
/// call that then hears the change are together no longer than the time within which a
/// change must be known. While calls fail, the next is a question alone, which the store
/// does not hold: it costs the time of an answer, not that of a wait.
#[derive(Debug, Clone)]
pub struct WatchPacing {
    hold: Duration,
    backoff: Backoff,
}

impl Default for WatchPacing {
    fn default() -> Self {
        Self::within(KNOWN_WITHIN)
    }
}

impl WatchPacing {
    /// a change is known after this time, or so long after the store's return
    pub fn within(known: Duration) -> Self {
        Self::holding(known.mul_f64(HOLD_PART))
    }
    /// the store may hold a call for this long
    pub fn holding(hold: Duration) -> Self {
        Self {
            hold,
            backoff: Backoff::default(),
        }
    }
    /// the next watch, after so many calls that failed in a row
    pub fn watch(&self, failures: u32) -> WatchTimes {
        let hold = match failures {
            0 => self.hold,
            _ => Duration::ZERO,
        };
        WatchTimes {
            hold,
            answer: ANSWER,
        }
    }
    /// the pause before a call, after so many that failed in a row; `jitter` lies
    /// between 0 and 1
    pub fn pause(&self, failures: u32, jitter: f64) -> Duration {
        self.backoff.pause(failures, 0.5 + jitter / 2.0)
    }
}
