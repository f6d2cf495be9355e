use {
    super::AdmissionGate,
    std::time::{Duration, Instant},
};

/// a back end that was full, and did not say for how long, is left alone for this long
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// The pause after a back end has turned a request away, as it was full.
#[derive(Debug, Clone, Default)]
pub struct SaturationPause {
    until: Option<Instant>,
}

impl SaturationPause {
    pub fn on_full(&mut self, now: Instant) {
        self.until = Some(now + FULL_PAUSE);
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
