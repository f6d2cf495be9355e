use {
    chalkcart_state::{
        ids::{BoxName, Incarnation},
        ingress::RequestDigest,
    },
    serde::{Deserialize, Serialize},
};

/// Event of a request that was running when an engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    pub digest: RequestDigest,
    pub event: CrashEvent,
    /// Time since the event, in ms.
    pub age_ms: u64,
    /// Identifies a completed run for as long as it is known, so that a repeated report is
    /// recognised whatever its age says. 0 for a crash, which its engine's incarnation
    /// identifies, and for a report of a build before wire version 7.
    #[serde(default)]
    pub run_id: u64,
}

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashEvent {
    /// An engine ended while it ran the request; `life` is a hash of the engine's incarnation.
    Ended { life: u64 },
    /// An engine completed the request.
    Served,
}

/// Sends an entry's reports to the aggregator and requests those of other entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRequest {
    pub entry: BoxName,
    /// Position up to which the entry has received reports; `None` before the first response.
    pub heard: Option<CrashCursor>,
    pub words: Vec<CrashReport>,
    /// How long the aggregator may hold the request until it has newer reports, in ms.
    pub wait_ms: u64,
}

/// Position in an aggregator's sequence of reports, valid for one incarnation of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCursor {
    pub keeper: Incarnation,
    pub revision: u64,
}

/// The reports after the position that the entry gave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashResponse {
    pub mark: CrashCursor,
    pub words: Vec<CrashReport>,
}
