use {
    super::RelativeRate,
    std::time::{Duration, Instant},
};

/// Time for which a rate must differ before the order of homes follows it. Two short slow phases in
/// succession change an engine's figure for a second or less; following them at once moved 3 in 100
/// of the homes each second in a simulation of load U, with this time 1 in 100.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// The rate of an engine that the order of homes uses, which follows lasting changes only.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SettledRate {
    rate: Option<RelativeRate>,
    /// Whether the rate has been higher, and since when it has been so or lower.
    deviating: Option<(bool, Instant)>,
}

impl SettledRate {
    /// Handles the current rate; the first one is used at once.
    pub fn update(&mut self, current: RelativeRate, now: Instant) {
        let Some(rate) = self.rate.filter(|rate| *rate != current) else {
            self.rate = Some(current);
            self.deviating = None;
            return;
        };
        let is_higher = current.value() > rate.value();
        match self.deviating {
            Some((was_higher, since)) if was_higher == is_higher => {
                if now.saturating_duration_since(since) >= SETTLING_TIME {
                    self.rate = Some(current);
                    self.deviating = None;
                }
            }
            _ => self.deviating = Some((is_higher, now)),
        }
    }
    pub fn value(&self) -> f64 {
        self.rate.unwrap_or_default().value()
    }
}
