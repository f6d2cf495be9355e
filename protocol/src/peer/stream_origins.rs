use {
    chalkcart_state::{
        backends::SoftwareVersion,
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
    /// `None` while the version of its engine is not known.
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
