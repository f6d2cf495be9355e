use {
    super::AdmissionGate,
    crate::membership::stable_hash,
    chalkcart_state::{backends::BackendId, spans::later},
    std::time::{Duration, Instant},
};

/// Fraction of the slow-start rate that all entries together use. Entries don't coordinate
/// their requests, so bursts above the average must stay below the engine's capacity.
/// With 24 entries and 8.2 requests per second the sum has a mean of 5.7 and a standard deviation
/// of 2.1 (counted), and 17 in one second make the engine collapse.
const USED_FRACTION: f64 = 0.7;

/// Request rate of an engine in slow start.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SlowStartSettings {
    /// Requests per second from all entries together.
    pub requests_per_s: f64,
}

/// Token bucket for this entry's share of the requests to an engine in slow start.
#[derive(Debug, Clone)]
pub struct SlowStart {
    until: Instant,
    /// Requests that may be sent now, at most one.
    tokens: f64,
    refilled_at: Instant,
    /// This entry's share of the rate.
    requests_per_s: f64,
}

impl SlowStart {
    pub fn new(entry: &str, engine: &BackendId, remaining: Duration, now: Instant) -> Self {
        // entries start with different levels, so that they don't all send at once
        let seed = stable_hash(&format!("{entry} {engine}"));
        Self {
            until: later(now, remaining),
            tokens: (seed % 1_000) as f64 / 1_000.0,
            refilled_at: now,
            requests_per_s: 0.0,
        }
    }

    pub fn set_remaining(&mut self, remaining: Duration, now: Instant) {
        self.until = later(now, remaining);
    }
    pub fn is_active(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Adds the tokens due since the last call. `entries` is the number of entries that share
    /// the rate.
    pub fn refill(&mut self, settings: SlowStartSettings, entries: u32, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.requests_per_s = settings.requests_per_s * USED_FRACTION / f64::from(entries.max(1));
        self.tokens = (self.tokens + elapsed * self.requests_per_s).min(1.0);
        self.refilled_at = now;
    }
    pub fn admits_request(&self, now: Instant) -> bool {
        !self.is_active(now) || self.tokens >= 1.0
    }
    pub fn on_request_sent(&mut self) {
        self.tokens -= 1.0;
    }
}

impl AdmissionGate for SlowStart {
    fn code(&self) -> &'static str {
        "cold"
    }
    fn closed_for(&self, now: Instant) -> Option<Duration> {
        if self.admits_request(now) {
            return None;
        }
        let ends_in = self.until.saturating_duration_since(now);
        let missing = (1.0 - self.tokens) / self.requests_per_s.max(f64::MIN_POSITIVE);
        let next_token_in = Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX);
        Some(next_token_in.min(ends_in))
    }
}
