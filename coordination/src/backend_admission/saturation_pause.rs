use {
    super::AdmissionGate,
    std::time::{Duration, Instant},
};

/// Pause for a full back end that requested no back-off of its own.
const SATURATION_PAUSE: Duration = Duration::from_millis(60);

/// Pause after a back end refused a request because it was full.
#[derive(Debug, Clone, Default)]
pub struct SaturationPause {
    until: Option<Instant>,
}

impl SaturationPause {
    pub fn on_saturated(&mut self, now: Instant) {
        self.until = Some(now + SATURATION_PAUSE);
    }
}

impl AdmissionGate for SaturationPause {
    fn code(&self) -> &'static str {
        "full"
    }
    fn closed_for(&self, now: Instant) -> Option<Duration> {
        let until = self.until.filter(|until| now < *until)?;
        Some(until.saturating_duration_since(now))
    }
}
