use std::time::Duration;

/// Exponential back-off with full jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    pub first: Duration,
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(20),
            max: Duration::from_millis(500),
        }
    }
}

impl Backoff {
    /// Returns the delay before retry number `attempt`, counted from 1; `jitter` is between 0
    /// and 1.
    pub fn delay(&self, attempt: u32, jitter: f64) -> Duration {
        let doublings = attempt.saturating_sub(1).min(16);
        let bound = self.first.saturating_mul(1 << doublings).min(self.max);
        bound.mul_f64(jitter.clamp(0.0, 1.0))
    }
}
