use std::time::Duration;

/// growing pauses between attempts, with full jitter
#[derive(Debug, Clone)]
pub struct Backoff {
    pub first: Duration,
    pub longest: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(20),
            longest: Duration::from_millis(500),
        }
    }
}

impl Backoff {
    /// the pause before attempt number `attempt` (1 is the first retry);
    /// `jitter` lies between 0 and 1
    pub fn pause(&self, attempt: u32, jitter: f64) -> Duration {
        let doublings = attempt.saturating_sub(1).min(16);
        let bound = self.first.saturating_mul(1 << doublings).min(self.longest);
        bound.mul_f64(jitter.clamp(0.0, 1.0))
    }
}
