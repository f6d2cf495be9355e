use {
    super::{
        earned_retries::{EarnedRetries, SLOTS_PER_WINDOW},
        time_slots::{Slot, SlotClock, SlotCounts},
        BudgetUsage, RetryBudgetSettings,
    },
    std::time::{Duration, Instant},
};

/// Time after which a back end no longer reads a request that nobody waits for.
pub const MAX_UNREAD_TIME: Duration = Duration::from_secs(8);

/// Part of its extra retries that a process uses; the rest is for processes that start, while
/// the retries of the process before may still be read.
const EXTRA_RATIO: f64 = 0.8;

/// One entry's part of the retry budget of a service.
///
/// All entries together may retry a fraction of the requests plus some extra per window. Each
/// entry earns by its own requests; the extra is divided by the number of entries.
///
/// A retry may be read at any time from its reservation until its response, or long after its send
/// ended without one. It counts in each window in which it may be read, and is reserved only if
/// none of these windows would have more retries than its requests allow.
#[derive(Debug)]
pub struct SharedRetryBudget {
    settings: RetryBudgetSettings,
    /// Start time of this entry, if it may have run before.
    restarted_at: Option<Instant>,
    clock: Option<SlotClock>,
    requests: SlotCounts,
    /// Retries by the slot after which they are not read any more.
    settled: SlotCounts,
    /// Retries that are reserved and not sent yet.
    pending: u32,
    /// Retries that were sent and have no response yet.
    unanswered: u32,
}

impl SharedRetryBudget {
    pub fn new(settings: RetryBudgetSettings, restarted_at: Option<Instant>) -> Self {
        Self {
            settings,
            restarted_at,
            clock: None,
            requests: SlotCounts::default(),
            settled: SlotCounts::default(),
            pending: 0,
            unanswered: 0,
        }
    }

    /// Replaces the settings. Counts are kept; after a change of the window this entry has the
    /// part of one that starts.
    pub fn update_settings(&mut self, settings: RetryBudgetSettings, now: Instant) {
        let before = std::mem::replace(&mut self.settings, settings);
        if before.window != settings.window {
            self.clock = None;
            self.requests = SlotCounts::default();
            self.settled = SlotCounts::default();
            self.restarted_at = Some(now);
        }
    }

    pub fn on_request(&mut self, now: Instant) {
        let current = self.current_slot(now);
        self.requests.add(current);
    }
    /// Reserves a retry with this number of entries; returns false if the budget is used up.
    pub fn try_reserve(&mut self, entries: u32, now: Instant) -> bool {
        let current = self.current_slot(now);
        let is_allowed = self.fits(current, self.own_extra(entries, now));
        self.pending += u32::from(is_allowed);
        is_allowed
    }
    /// Counts a reserved retry as sent.
    pub fn on_retry_sent(&mut self) {
        self.pending = self.pending.saturating_sub(1);
        self.unanswered += 1;
    }
    /// Handles that a retry that was sent is not read after `until`.
    pub fn on_retry_settled(&mut self, until: Instant, now: Instant) {
        self.current_slot(now);
        let slot = self.slot(until.max(now));
        self.unanswered = self.unanswered.saturating_sub(1);
        self.settled.add(slot);
    }
    /// Releases a reserved retry that isn't sent.
    pub fn release(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// Returns the current usage, for logs and metrics.
    pub fn usage(&self, now: Instant) -> BudgetUsage {
        let current = self
            .clock
            .map_or(2 * SLOTS_PER_WINDOW, |clock| clock.slot(now));
        let start = current - SLOTS_PER_WINDOW;
        let settled = self.settled.sum_from(start);
        BudgetUsage {
            requests: self.requests.sum(start, current),
            retries: self.open() + settled,
            reserved: self.pending,
            unanswered: self.unanswered,
            may_be_read: self.settled.sum_from(current + 1),
            ..BudgetUsage::default()
        }
    }

    /// Returns whether one more retry fits into each window that ends now or later, and that
    /// begins before the last time at which it may be read.
    fn fits(&self, current: Slot, extra: f64) -> bool {
        let earned = EarnedRetries::new(&self.requests, current);
        let first = current - SLOTS_PER_WINDOW;
        let last = current + self.unread_slots();
        let mut retries = self.open() + 1 + self.settled.sum_from(last + 1);
        (first..=last).rev().all(|start| {
            retries += self.settled.get(start);
            let allowed = self.settings.ratio * earned.requests_of_window(start) + extra;
            f64::from(retries) <= allowed
        })
    }

    /// Retries that may still be read at any time.
    fn open(&self) -> u32 {
        self.pending + self.unanswered
    }

    /// Returns the extra retries of this entry in one window.
    fn own_extra(&self, entries: u32, now: Instant) -> f64 {
        let share = self.settings.extra / f64::from(entries.max(1));
        let settle_time = self.settings.window + MAX_UNREAD_TIME;
        let uptime = self
            .restarted_at
            .map(|at| now.saturating_duration_since(at));
        match uptime.filter(|uptime| *uptime < settle_time) {
            // however often it restarts, its runs in this time use the rest together
            Some(uptime) => {
                share * (1.0 - EXTRA_RATIO) * uptime.as_secs_f64() / settle_time.as_secs_f64()
            }
            None => share * EXTRA_RATIO,
        }
    }

    fn unread_slots(&self) -> Slot {
        let slot = self.settings.window.as_secs_f64() / SLOTS_PER_WINDOW as f64;
        (MAX_UNREAD_TIME.as_secs_f64() / slot.max(0.001)).ceil() as Slot
    }

    fn slot(&mut self, at: Instant) -> Slot {
        let length = self.settings.window / SLOTS_PER_WINDOW as u32;
        let clock = self.clock.get_or_insert_with(|| SlotClock::new(at, length));
        clock.slot(at)
    }

    /// Returns the slot of the current time, and forgets those that no window needs any more.
    fn current_slot(&mut self, now: Instant) -> Slot {
        let current = self.slot(now);
        let needed = current - 2 * SLOTS_PER_WINDOW;
        self.requests.forget_before(needed);
        self.settled.forget_before(needed);
        current
    }
}
