use {
    super::AdmissionGate,
    crate::membership::stable_hash,
    chalkcart_state::backends::BackendId,
    std::time::{Duration, Instant},
};

/// Part of the requests that a cold engine carries which all entries together send it. They
/// do not agree on who sends when: with 24 entries and 8.2 requests a second the sum has a mean
/// of 5.7 and a deviation of 2.1 (counted), and 17 in one second make it collapse.
const USED_PART: f64 = 0.7;

/// how much an engine takes while it is cold
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SlowStartSettings {
    /// requests a second, from all entries together
    pub per_s: f64,
}

/// One entry's share of what an engine takes that has just started, or has become cold.
#[derive(Debug, Clone)]
pub struct SlowStart {
    until: Instant,
    /// requests that may be sent now, with its part of the next one
    allowed: f64,
    counted: Instant,
    /// what this entry may send in a second
    share: f64,
}

impl SlowStart {
    /// the engine stays cold for this long
    pub fn new(entry: &str, engine: &BackendId, left: Duration, now: Instant) -> Self {
        // entries begin at different parts of their share, so that they do not all send at once
        let seed = stable_hash(&format!("{entry} {engine}"));
        Self {
            until: now + left,
            allowed: (seed % 1_000) as f64 / 1_000.0,
            counted: now,
            share: 0.0,
        }
    }

    /// what was said of its end is said anew
    pub fn set_left(&mut self, left: Duration, now: Instant) {
        self.until = now + left;
    }
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.until
    }

    /// count time that has passed, as one of so many entries
    pub fn pass(&mut self, pace: SlowStartSettings, entries: u32, now: Instant) {
        let passed = now.saturating_duration_since(self.counted).as_secs_f64();
        self.share = pace.per_s * USED_PART / f64::from(entries.max(1));
        self.allowed = (self.allowed + passed * self.share).min(1.0);
        self.counted = now;
    }
    pub fn allows_one(&self, now: Instant) -> bool {
        !self.is_cold(now) || self.allowed >= 1.0
    }
    pub fn on_sent(&mut self) {
        self.allowed -= 1.0;
    }
}

impl AdmissionGate for SlowStart {
    fn code(&self) -> &'static str {
        "cold"
    }
    fn closed_for(&self, now: Instant) -> Option<Duration> {
        if self.allows_one(now) {
            return None;
        }
        let warm_in = self.until.saturating_duration_since(now);
        let missing = (1.0 - self.allowed) / self.share.max(f64::MIN_POSITIVE);
        let due_in = Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX);
        Some(due_in.min(warm_in))
    }
}
