use {
    chalkcart_state::ids::{AdapterName, BoxName, Generation, Incarnation, VersionNumber},
    serde::{Deserialize, Serialize},
};

/// An adapter version in an engine's slot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadedAdapter {
    pub adapter: AdapterName,
    pub version: VersionNumber,
}

/// State of a target, sent with each reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    pub name: BoxName,
    /// Incarnation of the sidecar's process.
    pub incarnation: Incarnation,
    pub generation: Generation,
    /// Whether it is draining and takes no new requests.
    pub leaving: bool,
    pub queued_tokens: u64,
    pub running: u32,
    pub max_running: u32,
    /// Adapters that queued requests need and that are not loaded.
    pub wished: u32,
    /// Measured time per token of one request, in µs.
    pub token_micros: u64,
    /// Measured time from the load request of an adapter to its completion, in ms.
    pub load_millis: u64,
    pub loaded: Vec<LoadedAdapter>,
}
