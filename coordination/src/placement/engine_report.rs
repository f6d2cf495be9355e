use {
    chalkcart_state::{
        backends::{AdapterRef, HeldAdapter},
        ids::BaseModelName,
    },
    std::time::Duration,
};

/// The state of an engine as read from its status endpoint.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineReport {
    pub models: Vec<BaseModelName>,
    pub held: Vec<HeldAdapter>,
    /// Adapters that are being loaded.
    pub loading: Vec<AdapterRef>,
    pub busy: bool,
    /// Orders taken in this incarnation; `None` if the engine does not report it.
    pub order_count: Option<u64>,
    pub running: u32,
    pub queued: u32,
    /// Running and queued requests whose prefill has not ended.
    pub prefilling: u32,
    pub kv_used: u64,
    pub kv_total: u64,
    /// Start time in Unix ms; 0 if the platform does not provide it.
    pub start_time_ms: u64,
    /// The running requests; `None` if the engine does not report them.
    pub runs: Option<Vec<EngineRun>>,
    /// Prompt tokens of the first queued request; 0 if none is queued or it is not reported.
    pub next_prompt_tokens: u64,
    /// Time after which an engine that is taken away ends; `None` otherwise.
    pub time_left: Option<Duration>,
}

/// A running request as an engine reports it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineRun {
    /// Id of the client's request.
    pub request_id: String,
    /// Tokens of the prompt and of the response that are in the engine's memory.
    pub tokens: u64,
    /// Events generated so far; 0 during prefill.
    pub events: u64,
    pub priority: u8,
}
