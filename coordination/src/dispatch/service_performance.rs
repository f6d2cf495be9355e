use {
    chalkcart_state::ids::ServiceName,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Interval between two computations of the medians and checks for figures that have become too
/// old. At 4,000 engines, where some figure changes before each decision, one takes 0.6 ms. An
/// engine's own rate changes with its figures.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Median figures of the engines of one service that report them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct MedianFigures {
    pub(super) event_interval_us: Option<u32>,
    pub(super) prefill_tokens_per_s: Option<u32>,
}

/// Median figures by service.
#[derive(Debug, Default)]
pub(super) struct ServicePerformance {
    pub(super) medians: HashMap<ServiceName, MedianFigures>,
    /// Whether any engine's figures have changed since the medians were computed.
    pub(super) is_outdated: bool,
    pub(super) refreshed_at: Option<Instant>,
}

impl ServicePerformance {
    /// Handles the change of an engine's figures, or of the engines of a service.
    pub fn invalidate(&mut self) {
        self.is_outdated = true;
    }

    pub(super) fn is_refresh_due(&self, now: Instant) -> bool {
        let Some(at) = self.refreshed_at else {
            return true;
        };
        let elapsed = now.saturating_duration_since(at);
        elapsed >= REFRESH_INTERVAL || self.is_outdated && self.medians.is_empty()
    }
}

/// Numbers of engines by what is known of their performance, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MeasuredEngines {
    /// Engines whose sidecars report how fast they are.
    pub measured: u32,
    /// Of these, the ones that take twice as long as the median of their service.
    pub slow: u32,
}
