use {
    chalkcart_state::{
        backends::{AdapterRef, BackendId, BackendName},
        ids::BaseModelName,
    },
    std::fmt::{self, Display, Formatter},
};

/// An operation that a sidecar orders its engine to perform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Loads an adapter, or replaces it by its newest version.
    LoadAdapter(AdapterRef),
    UnloadAdapter(AdapterRef),
    LoadModel(BaseModelName),
}

impl Display for OrderKind {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::LoadAdapter(adapter) => write!(f, "load {adapter}"),
            Self::UnloadAdapter(adapter) => write!(f, "unload {adapter}"),
            Self::LoadModel(model) => write!(f, "load {model}"),
        }
    }
}

/// An order with the identity and the fence that the engine checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    pub kind: OrderKind,
    /// The incarnation of the engine that the order is meant for.
    pub backend: BackendId,
    pub fence: u64,
    /// Number of orders that the engine must have taken before; another number refuses the order.
    pub expected_count: Option<u64>,
}

/// The engine's response to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine has started the operation.
    Taken,
    /// Nothing to do: the engine is already in the requested state.
    Done,
    /// The engine is performing another order, or has taken another number of them.
    Busy,
    /// The engine has seen a higher fence.
    Fenced,
    /// The engine is another incarnation, with its name if it reported one.
    OtherBackend(Option<BackendName>),
    /// The engine refused the operation.
    Refused,
    /// No response: the engine may have started the operation.
    Unknown,
}
