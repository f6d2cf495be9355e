use chalkcart_state::{
    backends::{AdapterRef, HeldAdapter},
    ids::BaseModelName,
};

/// The state of an engine as read from its status endpoint.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineReport {
    pub models: Vec<BaseModelName>,
    pub held: Vec<HeldAdapter>,
    /// Adapters that are being loaded.
    pub loading: Vec<AdapterRef>,
    pub busy: bool,
    pub running: u32,
    pub queued: u32,
    /// Running and queued requests whose prefill has not ended.
    pub prefilling: u32,
    pub kv_used: u64,
    pub kv_total: u64,
    /// Start time in Unix ms; 0 if the platform does not provide it.
    pub start_time_ms: u64,
}
