use {
    super::MIN_PROBE_RATE_PER_S,
    std::time::{Duration, Instant},
};

/// Width of an entry's time slot.
const SLOT_WIDTH: Duration = Duration::from_millis(500);

/// Whether part of a limit is also used by permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareMode {
    /// All entries send by equal shares.
    SharesOnly,
    /// Other entries send with permits, which cover the full rate.
    WithPermits,
}

impl ShareMode {
    /// Returns the fraction of the rate that all shares together use. With permits it is small:
    /// both together must stay within one and a half times the rate.
    fn rate_fraction(self) -> f64 {
        match self {
            Self::SharesOnly => 1.0,
            Self::WithPermits => 0.25,
        }
    }

    /// Returns whether each entry may accumulate one request. All entries may then send theirs
    /// at once, and at most `6 rate + 5` requests are allowed within 4 s, of which two are
    /// reserved for requests sent before the share existed.
    fn may_accumulate(self, per_s: f64, entries: u32) -> bool {
        match self {
            Self::SharesOnly => f64::from(entries) <= 2.0 * per_s + 3.0,
            Self::WithPermits => entries <= 4,
        }
    }

    /// Returns the fraction of the rate for entries that send in time slots of random phase and
    /// accumulate nothing.
    fn slotted_rate_fraction(self) -> f64 {
        match self {
            Self::SharesOnly => 0.5,
            Self::WithPermits => 0.35,
        }
    }
}

/// One entry's equal share of a rate, without coordination among the entries.
///
/// A token bucket of one request while few entries share the rate; with more entries, a time
/// slot in each interval.
#[derive(Debug, Clone)]
pub struct EqualShare {
    mode: ShareMode,
    /// Between 0 and 1, uniform over entries.
    phase: f64,
    per_s: f64,
    entries: u32,
    /// Requests that may be sent now, at most one.
    tokens: f64,
    refilled_at: Instant,
    created_at: Instant,
    last_sent_at: Option<Instant>,
}

impl EqualShare {
    /// Starts up to one request in debt, for requests sent before the limit was known.
    pub fn new(mode: ShareMode, per_s: f64, entries: u32, phase: f64, now: Instant) -> Self {
        Self {
            mode,
            phase,
            per_s: per_s.max(MIN_PROBE_RATE_PER_S),
            entries: entries.max(1),
            tokens: phase - 1.0,
            refilled_at: now,
            created_at: now,
            last_sent_at: None,
        }
    }

    /// Changes the rate or the number of entries that share it.
    pub fn update(&mut self, mode: ShareMode, per_s: f64, entries: u32, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.mode = mode;
        self.refilled_at = now;
        self.per_s = per_s.max(MIN_PROBE_RATE_PER_S);
        self.entries = entries.max(1);
    }

    /// Returns the time until one more request may be sent.
    pub fn wait_time(&self, now: Instant) -> Duration {
        match self.is_slotted() {
            true => self.next_slot_in(now),
            false => {
                let missing = (1.0 - self.tokens_at(now)).max(0.0);
                Duration::from_secs_f64(missing * self.send_interval().as_secs_f64())
            }
        }
    }

    /// Returns the time between two requests of this entry.
    pub fn send_interval(&self) -> Duration {
        let fraction = match self.is_slotted() {
            true => self.mode.slotted_rate_fraction(),
            false => self.mode.rate_fraction(),
        };
        Duration::from_secs_f64(f64::from(self.entries) / (self.per_s * fraction))
    }

    pub fn on_request_sent(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.refilled_at = now;
        self.last_sent_at = Some(now);
    }

    fn is_slotted(&self) -> bool {
        !self.mode.may_accumulate(self.per_s, self.entries)
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        let due = elapsed * self.per_s * self.mode.rate_fraction() / f64::from(self.entries);
        (self.tokens + due).min(1.0)
    }

    /// Returns the time until this entry's slot, zero within it. There is one slot in each
    /// interval, at this entry's phase.
    fn next_slot_in(&self, now: Instant) -> Duration {
        let interval = self.send_interval().as_secs_f64();
        let elapsed = now.saturating_duration_since(self.created_at).as_secs_f64();
        let into_slot = (elapsed - self.phase * interval).rem_euclid(interval);
        let has_sent_recently = self.last_sent_at.is_some_and(|at| {
            // slots move when the number of entries changes
            now.saturating_duration_since(at).as_secs_f64() < interval / 2.0
        });
        match into_slot < SLOT_WIDTH.as_secs_f64() && !has_sent_recently {
            true => Duration::ZERO,
            false => Duration::from_secs_f64(interval - into_slot),
        }
    }
}
