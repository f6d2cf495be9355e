use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// part of the budget that is used; the rest covers entries that count late, and what a
/// former life of this entry may have repeated
const USED_PART: f64 = 0.7;
/// part that all lives of an entry within one window use together; the rest covers requests
/// that become fewer while the repeats for them stand in the window
const USED_BY_ALL_LIVES: f64 = 0.9;
/// Part of its budget that an entry has in its first window, where it may have lived before:
/// the repeats of its former life stand in the window still, and used up what the requests
/// before the restart allowed. Within one window all its lives together then use no more
/// than 0.7 x (1 + 0.29) of one budget, however often it begins anew.
const FIRST_WINDOW_PART: f64 = (USED_BY_ALL_LIVES - USED_PART) / USED_PART;

/// what all entries may repeat together
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// repeats for each request
    pub ratio: f64,
    /// repeats beyond that in a window
    pub extra: f64,
    pub window: Duration,
}

/// What an entry's budget for the repeats of a service was when it decided.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// requests of the last window
    pub requests: u32,
    /// repeats of the last window, and those that wait
    pub repeats: u32,
    /// entries that share it
    pub entries: u32,
}

/// One entry's share of the repeats that a service bears.
///
/// All entries together may repeat a part of the requests and some more in each window.
/// Each counts its own requests; the extra repeats are divided by the number of entries.
/// A repeat is in the budget from the moment at which it is allowed, since it may wait
/// for long before it is sent, with many others.
#[derive(Debug)]
pub struct SharedRetryBudget {
    bounds: RetryBudgetSettings,
    /// when this entry began, if it may have lived before
    began_anew: Option<Instant>,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
    /// repeats that are allowed and not sent yet
    waiting: u32,
}

impl SharedRetryBudget {
    pub fn new(bounds: RetryBudgetSettings, began_anew: Option<Instant>) -> Self {
        Self {
            bounds,
            began_anew,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
            waiting: 0,
        }
    }

    /// the bounds have changed; what was counted stays
    pub fn set_bounds(&mut self, bounds: RetryBudgetSettings) {
        self.bounds = bounds;
    }

    pub fn on_request(&mut self, now: Instant) {
        self.forget(now);
        self.requests.push_back(now);
    }
    /// take one more repeat, with this many entries alive; false if none is left
    pub fn take(&mut self, entries: u32, now: Instant) -> bool {
        self.forget(now);
        let own_extra = self.bounds.extra / f64::from(entries.max(1));
        let (of_requests, of_extra) = self.earned_parts(now);
        let by_requests = self.bounds.ratio * self.requests.len() as f64;
        let allowed = by_requests * of_requests + own_extra * of_extra;
        let is_allowed = f64::from(self.counted() + 1) <= allowed * USED_PART;
        self.waiting += u32::from(is_allowed);
        is_allowed
    }
    /// a repeat that was taken is sent
    pub fn on_repeat(&mut self, now: Instant) {
        self.waiting = self.waiting.saturating_sub(1);
        self.repeats.push_back(now);
    }
    /// a repeat that was taken is not sent
    pub fn give_back(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }
    /// where it stands, for logs and metrics
    pub fn standing(&self, entries: u32) -> BudgetUsage {
        BudgetUsage {
            requests: self.requests.len() as u32,
            repeats: self.counted(),
            entries,
        }
    }

    fn counted(&self) -> u32 {
        self.repeats.len() as u32 + self.waiting
    }

    /// parts that this entry may use of the repeats for its requests, and of its extra ones
    fn earned_parts(&self, now: Instant) -> (f64, f64) {
        let Some(began) = self.began_anew else {
            return (1.0, 1.0);
        };
        let lived = now.saturating_duration_since(began);
        if lived >= self.bounds.window {
            return (1.0, 1.0);
        }
        // requests come with the time lived, extra repeats are earned by it
        let part_lived = lived.as_secs_f64() / self.bounds.window.as_secs_f64();
        (FIRST_WINDOW_PART, FIRST_WINDOW_PART * part_lived)
    }

    fn forget(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times
                .front()
                .is_some_and(|at| now.saturating_duration_since(*at) > self.bounds.window)
            {
                times.pop_front();
            }
        }
    }
}
