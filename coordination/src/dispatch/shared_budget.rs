use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// part of the budget that is used; the rest covers entries that count late, and what a
/// former life of this entry may have repeated
const USED_PART: f64 = 0.7;
/// Part of its extra repeats that an entry has earned by the end of its first window,
/// where it may have lived before. Within one window all its lives together then use no
/// more than 0.7 x (1 + 0.43) of its extra repeats, however often it begins anew.
const FIRST_WINDOW_PART: f64 = (1.0 - USED_PART) / USED_PART;

/// what all entries may repeat together
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetBounds {
    /// repeats for each request
    pub ratio: f64,
    /// repeats beyond that in a window
    pub extra: f64,
    pub window: Duration,
}

/// What an entry's budget for the repeats of a service was when it decided.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetStanding {
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
pub struct SharedBudget {
    bounds: BudgetBounds,
    /// when this entry began, if it may have lived before
    began_anew: Option<Instant>,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
    /// repeats that are allowed and not sent yet
    waiting: u32,
}

impl SharedBudget {
    pub fn new(bounds: BudgetBounds, began_anew: Option<Instant>) -> Self {
        Self {
            bounds,
            began_anew,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
            waiting: 0,
        }
    }

    /// the bounds have changed; what was counted stays
    pub fn set_bounds(&mut self, bounds: BudgetBounds) {
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
        let earned = own_extra * self.earned_part(now);
        let allowed = self.bounds.ratio * self.requests.len() as f64 + earned;
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
    pub fn standing(&self, entries: u32) -> BudgetStanding {
        BudgetStanding {
            requests: self.requests.len() as u32,
            repeats: self.counted(),
            entries,
        }
    }

    fn counted(&self) -> u32 {
        self.repeats.len() as u32 + self.waiting
    }

    /// part of its extra repeats that this entry may use
    fn earned_part(&self, now: Instant) -> f64 {
        let Some(began) = self.began_anew else {
            return 1.0;
        };
        let lived = now.saturating_duration_since(began);
        match lived >= self.bounds.window {
            true => 1.0,
            false => FIRST_WINDOW_PART * lived.as_secs_f64() / self.bounds.window.as_secs_f64(),
        }
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
