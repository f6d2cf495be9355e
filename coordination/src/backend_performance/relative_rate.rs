/// Ratio of two successive steps. Sidecars publish figures in steps of 5 in 100: a difference of
/// one of their steps counts as equal.
const STEP_RATIO: f64 = 1.1;
/// Largest factor between the rates of two engines of a service that is taken into account; a
/// larger one is more likely a wrong measurement.
const MAX_FACTOR: f64 = 16.0;

/// Rate of an engine relative to the median of its service, rounded to steps toward 1, so that
/// entries whose views differ slightly use the same.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelativeRate(f64);

impl Default for RelativeRate {
    fn default() -> Self {
        Self(1.0)
    }
}

impl RelativeRate {
    /// Returns the relative rate of an engine with this event interval, if the median is `median`.
    pub fn of_intervals(own: u32, median: u32) -> Self {
        let ratio = f64::from(median.max(1)) / f64::from(own.max(1));
        let ratio = ratio.clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        let steps = (ratio.ln() / STEP_RATIO.ln()).trunc();
        Self(STEP_RATIO.powi(steps as i32))
    }
    pub fn value(self) -> f64 {
        self.0
    }
    /// Returns how many times as long the engine takes as the median.
    pub fn slowness(self) -> f64 {
        1.0 / self.0
    }
}
