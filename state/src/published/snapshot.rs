use {
    super::Record,
    serde::{Deserialize, Serialize},
};

/// A topic of published records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Topic {
    /// The ingress configuration and the versions of adapters.
    Configuration,
    Backends,
}

impl Topic {
    /// Returns the value used in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Backends => "backends",
        }
    }
}

/// Records of a topic at a revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub records: Vec<Record>,
    /// Revision of the store.
    pub at: u64,
}
