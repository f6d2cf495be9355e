use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// part of the budget that is used; the rest covers entries that count late, and what a
/// former life of this entry may have repeated
const USABLE_RATIO: f64 = 0.7;
/// part that all lives of an entry within one window use together; the rest covers requests
/// that become fewer while the repeats for them stand in the window
const USABLE_RATIO_WITH_RESTARTS: f64 = 0.9;
/// Part of its budget that an entry has in its first window, where it may have lived before:
/// the repeats of its former life stand in the window still, and used up what the requests
/// before the restart allowed. Within one window all its lives together then use no more
/// than 0.7 x (1 + 0.29) of one budget, however often it begins anew.
const FIRST_WINDOW_RATIO: f64 = (USABLE_RATIO_WITH_RESTARTS - USABLE_RATIO) / USABLE_RATIO;

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
    pub retries: u32,
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
    settings: RetryBudgetSettings,
    /// when this entry began, if it may have lived before
    restarted_at: Option<Instant>,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
    /// repeats that are allowed and not sent yet
    pending: u32,
}

impl SharedRetryBudget {
    pub fn new(settings: RetryBudgetSettings, restarted_at: Option<Instant>) -> Self {
        Self {
            settings,
            restarted_at,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            pending: 0,
        }
    }

    /// the bounds have changed; what was counted stays
    pub fn update_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
    }

    pub fn on_request(&mut self, now: Instant) {
        self.remove_expired(now);
        self.requests.push_back(now);
    }
    /// take one more repeat, with this many entries alive; false if none is left
    pub fn try_reserve(&mut self, entries: u32, now: Instant) -> bool {
        self.remove_expired(now);
        let own_extra = self.settings.extra / f64::from(entries.max(1));
        let (request_ratio, extra_ratio) = self.earned_ratios(now);
        let retries_by_requests = self.settings.ratio * self.requests.len() as f64;
        let allowed = retries_by_requests * request_ratio + own_extra * extra_ratio;
        let is_allowed = f64::from(self.retry_count() + 1) <= allowed * USABLE_RATIO;
        self.pending += u32::from(is_allowed);
        is_allowed
    }
    /// a repeat that was taken is sent
    pub fn on_retry_sent(&mut self, now: Instant) {
        self.pending = self.pending.saturating_sub(1);
        self.retries.push_back(now);
    }
    /// a repeat that was taken is not sent
    pub fn release(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }
    /// where it stands, for logs and metrics
    pub fn usage(&self, entries: u32) -> BudgetUsage {
        BudgetUsage {
            requests: self.requests.len() as u32,
            retries: self.retry_count(),
            entries,
        }
    }

    fn retry_count(&self) -> u32 {
        self.retries.len() as u32 + self.pending
    }

    /// parts that this entry may use of the repeats for its requests, and of its extra ones
    fn earned_ratios(&self, now: Instant) -> (f64, f64) {
        let Some(restarted_at) = self.restarted_at else {
            return (1.0, 1.0);
        };
        let uptime = now.saturating_duration_since(restarted_at);
        if uptime >= self.settings.window {
            return (1.0, 1.0);
        }
        // requests come with the time lived, extra repeats are earned by it
        let window_ratio = uptime.as_secs_f64() / self.settings.window.as_secs_f64();
        (FIRST_WINDOW_RATIO, FIRST_WINDOW_RATIO * window_ratio)
    }

    fn remove_expired(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|at| now.saturating_duration_since(*at) > self.settings.window)
            {
                times.pop_front();
            }
        }
    }
}
