use std::time::Duration;

/// the least: a load takes 250 ms while few are under way, and the word for it some 50 ms
const MIN_DELAY: Duration = Duration::from_millis(350);
/// the most: the sidecar is asked for an adapter no longer than 1.5 s
const MAX_DELAY: Duration = Duration::from_millis(1_200);
/// A request that came too early raises the time by this, one that found its adapter lowers
/// it by a tenth of that. So one in eleven comes too early: what it costs is a repeat, of
/// which a service has one in five requests for all its troubles.
const INCREASE: Duration = Duration::from_millis(100);
const DECREASE: Duration = Duration::from_millis(10);

/// Time after which an adapter is expected at an engine whose sidecar was asked for it and
/// is not heard. Loads are slower while many are under way over all engines, which this
/// entry can't see; it learns by what its requests met.
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
    /// a request came before the adapter
    pub fn on_adapter_missing(&mut self) {
        self.0 = (self.0 + INCREASE).min(MAX_DELAY);
    }
    /// the adapter was there
    pub fn on_adapter_present(&mut self) {
        self.0 = self.0.saturating_sub(DECREASE).max(MIN_DELAY);
    }
}
