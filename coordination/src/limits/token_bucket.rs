use std::time::Instant;

/// A token bucket whose level may become negative: the debt is paid back before the
/// level is positive again.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    level: f64,
    rate_per_s: f64,
    capacity: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Returns an empty bucket.
    pub fn new(rate_per_s: f64, capacity: f64, now: Instant) -> Self {
        Self {
            level: 0.0,
            rate_per_s,
            capacity,
            updated_at: now,
        }
    }
    /// Changes the rate and the capacity from now on.
    pub fn set_bounds(&mut self, rate_per_s: f64, capacity: f64, now: Instant) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.capacity = capacity;
    }
    pub fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }
    pub fn capacity(&self) -> f64 {
        self.capacity
    }
    pub fn level(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        (self.level + self.rate_per_s * elapsed.as_secs_f64()).min(self.capacity)
    }
    pub fn set_level(&mut self, level: f64, now: Instant) {
        self.updated_at = self.updated_at.max(now);
        self.level = level.min(self.capacity);
    }
    /// Takes units out of the bucket; a negative number puts them back.
    pub fn spend(&mut self, units: f64, now: Instant) {
        self.refill(now);
        self.level = (self.level - units).min(self.capacity);
    }

    fn refill(&mut self, now: Instant) {
        self.level = self.level(now);
        self.updated_at = self.updated_at.max(now);
    }
}
