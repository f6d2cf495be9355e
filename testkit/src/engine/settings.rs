use std::time::Duration;

/// size and speed of an engine
#[derive(Debug, Clone)]
pub struct EngineSettings {
    pub base_model: String,
    /// adapters that fit at once
    pub slots: usize,
    /// requests that one batch takes
    pub max_batch: u32,
    /// time of one step without requests
    pub step: Duration,
    /// added to a step by each request in it
    pub step_per_request: Duration,
    /// prompt words read in one step
    pub prefill_words: usize,
    /// prompt prefixes remembered
    pub cached_prefixes: usize,
    /// how late load figures and cache events are
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

/// what goes wrong with an engine's streams and answers
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// each event is sent twice
    pub duplicate_events: bool,
    /// neighbouring events change places
    pub swap_events: bool,
    /// a stream breaks after so many events
    pub cut_after: Option<u32>,
    /// answers name this version, whatever ran
    pub wrong_version: bool,
}
