use std::time::{Duration, Instant};

/// Weight of the newest outcome in the moving average of failures.
const NEWEST_WEIGHT: f64 = 0.2;
/// Failure rate above which a back end is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.6;
const FIRST_EJECTION: Duration = Duration::from_millis(500);
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Half-life, in seconds, of the failure rate without new outcomes.
const FAILURE_HALF_LIFE_S: f64 = 3.0;

/// Passive health check of a back end: ejects it for a while when requests to it fail.
#[derive(Debug, Clone)]
pub struct Health {
    failure_rate: f64,
    updated_at: Instant,
    ejected_until: Option<Instant>,
    next_ejection: Duration,
}

impl Health {
    pub fn new(now: Instant) -> Self {
        Self {
            failure_rate: 0.0,
            updated_at: now,
            ejected_until: None,
            next_ejection: FIRST_EJECTION,
        }
    }

    /// Returns the moving average of failures, between 0 and 1.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.failure_rate * 0.5f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE_S)
    }
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub fn on_success(&mut self, now: Instant) {
        self.failure_rate = self.failure_rate(now) * (1.0 - NEWEST_WEIGHT);
        self.updated_at = now;
        self.next_ejection = FIRST_EJECTION;
    }
    pub fn on_failure(&mut self, now: Instant) {
        self.failure_rate = self.failure_rate(now) * (1.0 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
        self.updated_at = now;
        if self.failure_rate > EJECTION_FAILURE_RATE {
            self.eject(now);
        }
    }
    /// Ejects the back end, as no connection to it could be made.
    pub fn on_unreachable(&mut self, now: Instant) {
        self.on_failure(now);
        self.eject(now);
    }

    fn eject(&mut self, now: Instant) {
        if self.is_ejected(now) {
            return;
        }
        self.ejected_until = Some(now + self.next_ejection);
        self.next_ejection = (self.next_ejection * 2).min(MAX_EJECTION);
    }
}
