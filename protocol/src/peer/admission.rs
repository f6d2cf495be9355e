use {
    chalkcart_state::{backends::BackendId, ids::BoxName},
    serde::{Deserialize, Serialize},
};

/// An entry's report of an engine's advertised limit and of the requests that it has queued for
/// that engine. Added in wire version 5; a sidecar of an older build issues no permits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionReport {
    pub entry: BoxName,
    /// The engine's incarnation.
    pub backend: BackendId,
    /// The limit in the engine's latest response to this entry.
    pub named: Option<ObservedLimit>,
    /// Time since a response without a limit, in ms.
    pub freed_ago_ms: Option<u32>,
    /// Requests that wait for this engine.
    pub wanted: u32,
    /// Priority of the most urgent of them; 0 is the most urgent.
    pub priority: u8,
    /// Permits issued earlier that the entry will not use.
    pub unused: u32,
}

/// A rate limit that an engine advertised in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedLimit {
    /// Thousandths of requests per second.
    pub milli_per_s: u32,
    /// Time since the response, in ms.
    pub ago_ms: u32,
}

/// The permits that a sidecar issues to an entry, and the limit in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionResponse {
    /// The engine's incarnation; the response applies to no other.
    pub backend: BackendId,
    /// The limit in force, in thousandths of requests per second; `None` without a limit.
    pub limit_milli_per_s: Option<u32>,
    /// Time since the engine last responded without a limit, in ms.
    pub freed_ago_ms: Option<u32>,
    /// Requests that this entry may send now.
    pub granted: u32,
    /// Estimated time until this entry's next permit, in ms.
    pub next_ms: u32,
}
