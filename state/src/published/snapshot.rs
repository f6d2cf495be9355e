use {
    super::Record,
    serde::{Deserialize, Serialize},
};

/// a part of what is published
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Topic {
    /// the configuration of the ingress and the versions of adapters
    Configuration,
    Backends,
}

impl Topic {
    /// the word in logs and metrics
    pub fn code(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Backends => "backends",
        }
    }
}

/// records of a topic, at a revision of the store
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub records: Vec<Record>,
    pub at: u64,
}
