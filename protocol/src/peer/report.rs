use {
    chalkcart_state::ids::{AdapterName, BoxName, Generation, Incarnation, VersionNumber},
    serde::{Deserialize, Serialize},
};

/// an adapter version in an engine's slot
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadedAdapter {
    pub adapter: AdapterName,
    pub version: VersionNumber,
}

/// what a target says of itself on each reply
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    pub name: BoxName,
    /// of the sidecar's process
    pub incarnation: Incarnation,
    pub generation: Generation,
    /// takes nothing new
    pub leaving: bool,
    pub queued_tokens: u64,
    pub running: u32,
    pub max_running: u32,
    /// adapters that waiting requests lack
    pub wished: u32,
    /// time of one token of one request, in µs, as measured
    pub token_micros: u64,
    /// time from the wish for an adapter until it is loaded, in ms, as
    /// measured
    pub load_millis: u64,
    pub loaded: Vec<LoadedAdapter>,
}
