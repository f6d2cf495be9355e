use {
    chalkcart_state::{
        ids::{BoxName, Incarnation},
        ingress::RequestDigest,
    },
    serde::{Deserialize, Serialize},
};

/// what is known of a request that was under an engine's end
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    pub digest: RequestDigest,
    pub event: CrashEvent,
    /// time since it happened, in ms
    pub age_ms: u64,
}

/// what happened to a request
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashEvent {
    /// an engine ended under it; a hash tells one life of an engine from another
    Ended { life: u64 },
    /// an engine ran it to its end
    Served,
}

/// an entry tells a keeper what it has learnt, and asks for what others have
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRequest {
    pub entry: BoxName,
    /// up to where the entry has heard the keeper; none before its first answer
    pub heard: Option<CrashCursor>,
    pub words: Vec<CrashReport>,
    /// how long the keeper may wait for something newer, in ms
    pub wait_ms: u64,
}

/// a place in what a keeper has to say, within one life of it
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCursor {
    pub keeper: Incarnation,
    pub revision: u64,
}

/// what the keeper knows beyond the entry's mark
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashResponse {
    pub mark: CrashCursor,
    pub words: Vec<CrashReport>,
}
