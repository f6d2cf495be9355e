use std::time::{Duration, Instant};

/// An exponentially decaying sum.
#[derive(Debug, Clone, Copy)]
pub(super) struct DecayedSum {
    value: f64,
    at: Instant,
    decay_time: Duration,
}

impl DecayedSum {
    pub fn new(decay_time: Duration, now: Instant) -> Self {
        Self {
            value: 0.0,
            at: now,
            decay_time,
        }
    }
    pub fn add(&mut self, units: f64, now: Instant) {
        self.value = self.get(now) + units;
        self.at = self.at.max(now);
    }
    pub fn get(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at);
        self.value * (-elapsed.as_secs_f64() / self.decay_time.as_secs_f64()).exp()
    }
}
