use {
    crate::slots::AdapterKey,
    chalkcart_state::ids::{BaseModelName, Fence, Incarnation, RequestId},
};

/// what an engine says of itself
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineStatus {
    pub incarnation: Incarnation,
    pub fence: Fence,
    pub base_model: BaseModelName,
    /// adapters that fit at once
    pub slots: usize,
    /// requests that one batch takes
    pub max_batch: u32,
    pub loaded: Vec<AdapterKey>,
    pub running: Vec<RunningRequest>,
}

/// a request that an engine runs, whoever ordered it
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRequest {
    pub request: RequestId,
    pub adapter: AdapterKey,
}
