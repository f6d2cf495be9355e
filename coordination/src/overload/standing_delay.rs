use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The least of the latest delays, which a single long step does not raise: work is delayed by
/// it at any time.
#[derive(Debug, Clone)]
pub struct StandingDelay {
    /// Number of delays that are compared.
    samples: usize,
    /// Time after which a delay is forgotten.
    max_age: Duration,
    latest: VecDeque<(Instant, Duration)>,
}

impl StandingDelay {
    pub fn new(samples: usize, max_age: Duration) -> Self {
        Self {
            samples,
            max_age,
            latest: VecDeque::with_capacity(samples),
        }
    }

    pub fn record(&mut self, now: Instant, delay: Duration) {
        if self.latest.len() >= self.samples {
            self.latest.pop_front();
        }
        self.latest.push_back((now, delay));
    }

    /// Returns the standing delay, or zero while too few delays are recent.
    pub fn get(&self, now: Instant) -> Duration {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= self.max_age;
        let recent = self.latest.iter().filter(|(at, _)| is_recent(*at));
        match recent.clone().count() < self.samples {
            true => Duration::ZERO,
            false => recent.map(|(_, delay)| *delay).min().unwrap_or_default(),
        }
    }
}
