/// Ratio of two successive published values.
const STEP_RATIO: f64 = 1.05;
/// Steps that a measured value must differ from the published one before another is published, so
/// that views don't change with the noise of the measurement.
const HYSTERESIS_STEPS: f64 = 1.0;

/// A published value in steps of 5 in 100.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PublishedStep(Option<i32>);

impl PublishedStep {
    /// Handles a measured value, above 0.
    pub fn update(&mut self, measured: f64) {
        let exact = measured.ln() / STEP_RATIO.ln();
        let is_near = |step: i32| (exact - f64::from(step)).abs() <= HYSTERESIS_STEPS;
        if !self.0.is_some_and(is_near) {
            self.0 = Some(exact.round() as i32);
        }
    }
    pub fn value(self) -> Option<f64> {
        self.0.map(|step| STEP_RATIO.powi(step))
    }
}
