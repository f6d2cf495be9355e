use std::time::{Duration, Instant};

const HALF_LIFE: Duration = Duration::from_secs(20);

/// An exponentially decaying count of recent uses.
#[derive(Debug, Clone, Copy)]
pub struct DecayingCount {
    value: f64,
    updated_at: Instant,
}

impl DecayingCount {
    pub fn new(now: Instant) -> Self {
        Self {
            value: 0.0,
            updated_at: now,
        }
    }
    pub fn add(&mut self, weight: f64, now: Instant) {
        self.value = self.value_at(now) + weight;
        self.updated_at = now;
    }
    pub fn value_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        let half_lives = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.value * 0.5f64.powf(half_lives)
    }
}
