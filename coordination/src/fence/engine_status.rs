use {
    crate::slots::AdapterKey,
    chalkcart_state::ids::{BaseModelName, Fence, Incarnation},
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
}
