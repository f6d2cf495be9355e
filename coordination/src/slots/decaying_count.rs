use std::time::{Duration, Instant};

/// time in which heat halves
const HALF_LIFE: Duration = Duration::from_secs(20);

/// a count of recent uses that decays with time
#[derive(Debug, Clone, Copy)]
pub struct DecayingCount {
    value: f64,
    at: Instant,
}

impl DecayingCount {
    pub fn new(now: Instant) -> Self {
        Self {
            value: 0.0,
            at: now,
        }
    }
    pub fn add(&mut self, weight: f64, now: Instant) {
        self.value = self.value_at(now) + weight;
        self.at = now;
    }
    pub fn value_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        let half_lives = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.value * 0.5f64.powf(half_lives)
    }
}
