use {
    chalkcart_state::{backends::BackendId, ids::BoxName},
    serde::{Deserialize, Serialize},
};

/// What an entry has heard of the requests that an engine takes, and how many it would send
/// there now. Since 5: a sidecar that lacks the path deals out nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionReport {
    pub entry: BoxName,
    /// the life of the engine that it speaks of
    pub backend: BackendId,
    /// the limit that an answer to this entry named last
    pub named: Option<ObservedLimit>,
    /// time since an answer that named none any more, in ms
    pub freed_ago_ms: Option<u32>,
    /// requests that wait for this engine
    pub wanted: u32,
    /// of the most urgent of them; 0 is the most urgent
    pub priority: u8,
    /// permits that it was given before and will not use
    pub unused: u32,
}

/// a limit that an answer named
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedLimit {
    /// thousandths of requests a second
    pub milli_per_s: u32,
    /// time since the answer came, in ms
    pub ago_ms: u32,
}

/// the sidecar's answer
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionResponse {
    /// the life of the engine that it speaks of; what it says holds for no other
    pub backend: BackendId,
    /// the limit in force, in thousandths of requests a second; none if there is none
    pub limit_milli_per_s: Option<u32>,
    /// time since the engine was last heard to name none any more, in ms
    pub freed_ago_ms: Option<u32>,
    /// requests that this entry may send there now
    pub granted: u32,
    /// time until the next turn of this entry, in ms, as it stands now
    pub next_ms: u32,
}
