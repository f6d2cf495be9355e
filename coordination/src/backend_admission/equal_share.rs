use {
    super::LEAST_PER_S,
    std::time::{Duration, Instant},
};

const SLOT: Duration = Duration::from_millis(500);

/// who sends besides those that share in equal parts
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareBasis {
    /// nobody
    Alone,
    /// those that hear a dealer of permits, which gives out the whole rate
    BesidePermits,
}

impl ShareBasis {
    /// Part of the rate that all of them together use. Beside permits it is small: both
    /// together must stay within one and a half times the rate.
    fn part(self) -> f64 {
        match self {
            Self::Alone => 1.0,
            Self::BesidePermits => 0.25,
        }
    }

    /// Whether each may save one request up. All may send theirs at once, and in 4 s no more
    /// than `6 rate + 5` may come, of which two are left for what is not counted here.
    fn may_save(self, per_s: f64, entries: u32) -> bool {
        match self {
            Self::Alone => f64::from(entries) <= 2.0 * per_s + 3.0,
            Self::BesidePermits => entries <= 4,
        }
    }

    /// the same where they send in slots of their own, which begin at random, and save nothing
    fn part_in_slots(self) -> f64 {
        match self {
            Self::Alone => 0.5,
            Self::BesidePermits => 0.35,
        }
    }
}

/// One entry's equal part of a rate that all entries share, without a word between them.
#[derive(Debug, Clone)]
pub struct EqualShare {
    basis: ShareBasis,
    /// between 0 and 1, evenly over entries
    phase: f64,
    per_s: f64,
    entries: u32,
    /// requests that may be sent now, with its part of the next one
    level: f64,
    counted: Instant,
    begun: Instant,
    last_sent: Option<Instant>,
}

impl EqualShare {
    /// What was sent before it begins counts as one request too many.
    pub fn new(basis: ShareBasis, per_s: f64, entries: u32, phase: f64, now: Instant) -> Self {
        Self {
            basis,
            phase,
            per_s: per_s.max(LEAST_PER_S),
            entries: entries.max(1),
            level: phase - 1.0,
            counted: now,
            begun: now,
            last_sent: None,
        }
    }

    /// the rate, or the number of entries that share it, is another
    pub fn set(&mut self, basis: ShareBasis, per_s: f64, entries: u32, now: Instant) {
        self.level = self.level(now);
        self.basis = basis;
        self.counted = now;
        self.per_s = per_s.max(LEAST_PER_S);
        self.entries = entries.max(1);
    }

    /// time until one more request may be sent
    pub fn opens_in(&self, now: Instant) -> Duration {
        match self.is_in_slots() {
            true => self.next_slot_in(now),
            false => {
                let missing = (1.0 - self.level(now)).max(0.0);
                Duration::from_secs_f64(missing * self.interval().as_secs_f64())
            }
        }
    }

    /// time between two requests of this entry
    pub fn interval(&self) -> Duration {
        let part = match self.is_in_slots() {
            true => self.basis.part_in_slots(),
            false => self.basis.part(),
        };
        Duration::from_secs_f64(f64::from(self.entries) / (self.per_s * part))
    }

    pub fn on_sent(&mut self, now: Instant) {
        self.level = self.level(now) - 1.0;
        self.counted = now;
        self.last_sent = Some(now);
    }

    fn is_in_slots(&self) -> bool {
        !self.basis.may_save(self.per_s, self.entries)
    }

    fn level(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.counted).as_secs_f64();
        let due = passed * self.per_s * self.basis.part() / f64::from(self.entries);
        (self.level + due).min(1.0)
    }

    /// the slot of this entry comes once in each interval, at its own phase of it
    fn next_slot_in(&self, now: Instant) -> Duration {
        let interval = self.interval().as_secs_f64();
        let passed = now.saturating_duration_since(self.begun).as_secs_f64();
        let into_slot = (passed - self.phase * interval).rem_euclid(interval);
        let sent_lately = self.last_sent.is_some_and(|at| {
            // slots move when the number of entries changes
            now.saturating_duration_since(at).as_secs_f64() < interval / 2.0
        });
        match into_slot < SLOT.as_secs_f64() && !sent_lately {
            true => Duration::ZERO,
            false => Duration::from_secs_f64(interval - into_slot),
        }
    }
}
