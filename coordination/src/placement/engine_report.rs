use chalkcart_state::{
    backends::{AdapterRef, HeldAdapter},
    ids::BaseModelName,
};

/// what an engine says of itself
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineReport {
    pub models: Vec<BaseModelName>,
    pub held: Vec<HeldAdapter>,
    /// adapters on their way
    pub loading: Vec<AdapterRef>,
    pub busy: bool,
    pub running: u32,
    pub queued: u32,
    /// of both, those whose prompts were not read to the end
    pub prefilling: u32,
    pub kv_used: u64,
    pub kv_total: u64,
    /// Unix ms of its start; 0 where the platform does not tell it
    pub start_time_ms: u64,
}
