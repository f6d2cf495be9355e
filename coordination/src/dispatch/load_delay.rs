use std::time::Duration;

/// Minimum: a load while few are under way, plus the time to request it.
const MIN_DELAY: Duration = Duration::from_millis(350);
/// Maximum; less than the time for which a load stays requested.
const MAX_DELAY: Duration = Duration::from_millis(1_200);
/// Increase for each request that came before its adapter; ten times the decrease, so that
/// about one request in eleven is early and costs a retry. The retry budget of a service is one
/// retry for five requests.
const INCREASE: Duration = Duration::from_millis(100);
const DECREASE: Duration = Duration::from_millis(10);

/// Time after which an adapter is expected at an engine without a reporting sidecar. Loads
/// are slower while many run in the fleet, which an entry can't see, so the delay adapts to
/// the outcomes of its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadDelay(Duration);

impl Default for LoadDelay {
    fn default() -> Self {
        Self(MIN_DELAY)
    }
}

impl LoadDelay {
    pub fn get(self) -> Duration {
        self.0
    }
    /// Handles a request that came before its adapter.
    pub fn on_adapter_missing(&mut self) {
        self.0 = (self.0 + INCREASE).min(MAX_DELAY);
    }
    /// Handles a request that found its adapter.
    pub fn on_adapter_present(&mut self) {
        self.0 = self.0.saturating_sub(DECREASE).max(MIN_DELAY);
    }
}
