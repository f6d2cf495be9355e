use {
    crate::ids::{AdapterName, BaseModelName},
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// An adapter of a base model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdapterRef {
    pub model: BaseModelName,
    pub adapter: AdapterName,
}

impl Display for AdapterRef {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}/{}", self.model, self.adapter)
    }
}

/// A version of an adapter that is loaded on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAdapter {
    pub adapter: AdapterRef,
    pub version: u64,
}
