use {
    chalkcart_protocol::peer::{GenerateWork, LoadedAdapter},
    chalkcart_state::ids::{AdapterName, VersionNumber, WeightsDigest},
    std::fmt,
};

/// One version of an adapter, as held by a slot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AdapterKey {
    pub adapter: AdapterName,
    pub version: VersionNumber,
    pub digest: WeightsDigest,
}

impl From<&GenerateWork> for AdapterKey {
    fn from(work: &GenerateWork) -> Self {
        Self {
            adapter: work.adapter.clone(),
            version: work.version,
            digest: work.digest,
        }
    }
}

impl From<&AdapterKey> for LoadedAdapter {
    fn from(key: &AdapterKey) -> Self {
        Self {
            adapter: key.adapter.clone(),
            version: key.version,
        }
    }
}

impl fmt::Display for AdapterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}
