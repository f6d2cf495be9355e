use std::time::Duration;

/// Capacity and speed of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    pub base_model: String,
    pub slots: usize,
    pub max_batch: u32,
    /// Duration of a step with an empty batch.
    pub step: Duration,
    /// Added to a step for each request in the batch.
    pub step_per_request: Duration,
    /// Prompt words processed per prefill step.
    pub prefill_words: usize,
    pub cached_prefixes: usize,
    /// Delay of the reported batch size and of cache events.
    pub lag: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            base_model: "base".to_string(),
            slots: 4,
            max_batch: 8,
            step: Duration::from_millis(5),
            step_per_request: Duration::from_micros(200),
            prefill_words: 256,
            cached_prefixes: 64,
            lag: Duration::from_millis(500),
        }
    }
}

/// Faults of an engine's event streams and responses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// Sends each event twice.
    pub duplicate_events: bool,
    /// Swaps neighboring events.
    pub swap_events: bool,
    /// Cuts a stream after this number of events.
    pub cut_after: Option<u32>,
    /// Reports a version that is one higher than the one used.
    pub wrong_version: bool,
}
