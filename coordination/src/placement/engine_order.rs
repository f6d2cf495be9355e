use {
    chalkcart_state::{
        backends::{AdapterRef, BackendId, BackendName},
        ids::BaseModelName,
    },
    std::fmt::{self, Display, Formatter},
};

/// what an engine is told to do
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// bring in an adapter, or replace it by its newest version
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

/// an order with what lets the engine refuse it
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    pub kind: OrderKind,
    /// the incarnation that is meant
    pub backend: BackendId,
    pub fence: u64,
}

/// what became of an order
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAnswer {
    /// it is being done
    Taken,
    /// it is done already
    Done,
    /// another order is under way
    Busy,
    /// a higher fence was seen
    Fenced,
    /// the engine is another incarnation, if it said which
    OtherBackend(Option<BackendName>),
    /// the engine will not do it
    Refused,
    /// no answer: it may have been taken
    Unknown,
}
