use chalkcart_protocol::peer::EngineStats;

/// Performance of one engine, as measured by its sidecar.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EnginePerformance {
    /// Prefill rate in prompt tokens per ms. Parts of prompts that the engine kept count as
    /// prefilled, as they do in the prompt sizes that entries know.
    pub prefill_tokens_per_ms: f64,
    /// Interval between two events of a stream while nothing is prefilled, in ms.
    pub event_interval_ms: f64,
}

impl EnginePerformance {
    /// Returns the performance that a sidecar reports, if it has measured both figures.
    pub fn reported(stats: &EngineStats) -> Option<Self> {
        Some(Self {
            prefill_tokens_per_ms: f64::from(stats.prefill_tokens_per_s?) / 1e3,
            event_interval_ms: f64::from(stats.event_interval_us?) / 1e3,
        })
    }
}
