use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// part of the budget that is used; the rest covers entries that count late
const USED_PART: f64 = 0.7;

/// What an entry's budget for the repeats of a service was when it decided.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetStanding {
    /// requests of the last window
    pub requests: u32,
    /// repeats of the last window
    pub repeats: u32,
    /// entries that share it
    pub entries: u32,
}

/// one entry's share of the repeats that a service bears.
///
/// All entries together may repeat `ratio` of the requests and `extra` more in
/// each window. Each counts its own requests; `extra` is divided by the
/// number of entries.
#[derive(Debug)]
pub struct SharedBudget {
    ratio: f64,
    extra: f64,
    window: Duration,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl SharedBudget {
    pub fn new(ratio: f64, extra: f64, window: Duration) -> Self {
        Self {
            ratio,
            extra,
            window,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// the bounds have changed; what was counted stays
    pub fn set_bounds(&mut self, ratio: f64, extra: f64, window: Duration) {
        self.ratio = ratio;
        self.extra = extra;
        self.window = window;
    }

    pub fn on_request(&mut self, now: Instant) {
        self.forget(now);
        self.requests.push_back(now);
    }
    /// whether one more repeat may be sent, with this many entries alive
    pub fn allows(&mut self, entries: u32, now: Instant) -> bool {
        self.forget(now);
        let own_extra = self.extra / f64::from(entries.max(1));
        let allowed = self.ratio * self.requests.len() as f64 + own_extra;
        ((self.repeats.len() + 1) as f64) <= allowed * USED_PART
    }
    pub fn on_repeat(&mut self, now: Instant) {
        self.repeats.push_back(now);
    }
    /// where it stands, for logs and metrics
    pub fn standing(&self, entries: u32) -> BudgetStanding {
        BudgetStanding {
            requests: self.requests.len() as u32,
            repeats: self.repeats.len() as u32,
            entries,
        }
    }

    fn forget(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times
                .front()
                .is_some_and(|at| now.saturating_duration_since(*at) > self.window)
            {
                times.pop_front();
            }
        }
    }
}
