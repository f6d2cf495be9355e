use {
    crate::slots::AdapterKey,
    chalkcart_state::ids::{BaseModelName, Fence, Incarnation, RequestId},
};

/// Status as reported by an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineStatus {
    pub incarnation: Incarnation,
    pub fence: Fence,
    pub base_model: BaseModelName,
    /// Number of adapters that fit in memory.
    pub slots: usize,
    /// Maximum number of requests in one batch.
    pub max_batch: u32,
    pub loaded: Vec<AdapterKey>,
    pub running: Vec<RunningRequest>,
}

/// A request that an engine is running, regardless of which process sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRequest {
    pub request: RequestId,
    pub adapter: AdapterKey,
}
