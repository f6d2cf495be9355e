use std::time::{Duration, Instant};

/// weight of the newest outcome in the failure rate
const NEWEST: f64 = 0.2;
/// rate of failure above which a back end rests
const REST_RATE: f64 = 0.6;
const FIRST_REST: Duration = Duration::from_millis(500);
const LONGEST_REST: Duration = Duration::from_secs(4);
/// the failure rate halves in this time without evidence
const FORGET: f64 = 3.0;

/// what this entry has seen of a back end's soundness
#[derive(Debug, Clone)]
pub struct Health {
    rate: f64,
    rated_at: Instant,
    resting_until: Option<Instant>,
    rest: Duration,
}

impl Health {
    pub fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            rated_at: now,
            resting_until: None,
            rest: FIRST_REST,
        }
    }

    /// the part of sends that failed, the latest counting most
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.rated_at);
        self.rate * 0.5f64.powf(age.as_secs_f64() / FORGET)
    }
    pub fn is_resting(&self, now: Instant) -> bool {
        self.resting_until.is_some_and(|until| now < until)
    }

    pub fn on_success(&mut self, now: Instant) {
        self.rate = self.failure_rate(now) * (1.0 - NEWEST);
        self.rated_at = now;
        self.rest = FIRST_REST;
    }
    pub fn on_failure(&mut self, now: Instant) {
        self.rate = self.failure_rate(now) * (1.0 - NEWEST) + NEWEST;
        self.rated_at = now;
        if self.rate > REST_RATE {
            self.start_rest(now);
        }
    }
    /// nothing answers there
    pub fn on_unreachable(&mut self, now: Instant) {
        self.on_failure(now);
        self.start_rest(now);
    }

    fn start_rest(&mut self, now: Instant) {
        if self.is_resting(now) {
            return;
        }
        self.resting_until = Some(now + self.rest);
        self.rest = (self.rest * 2).min(LONGEST_REST);
    }
}
