use {
    chalkcart_state::{
        backends::{BackendId, SoftwareVersion},
        ids::{RequestId, ServiceName},
    },
    serde::{Deserialize, Serialize},
};

/// The software version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The client's attempt that brought the first event.
    pub request: RequestId,
    pub service: ServiceName,
    /// The engine that began it.
    pub backend: BackendId,
    /// Version of that engine's software; `None` if it was not listed yet.
    pub version: Option<SoftwareVersion>,
}

/// Has a sidecar keep origins, and asks it for those of other streams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOriginsRequest {
    pub kept: Vec<StreamOrigin>,
    /// How long to keep them, in ms.
    pub keep_ms: u64,
    pub asked: Vec<RequestId>,
}

/// The origins that the sidecar has of those asked for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOriginsResponse {
    pub known: Vec<StreamOrigin>,
}
