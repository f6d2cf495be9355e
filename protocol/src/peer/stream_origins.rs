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

/// A software version that was listed, and how long ago that was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVersion {
    pub version: SoftwareVersion,
    /// Time since it was listed last, in ms; 0 while it is listed.
    pub listed_ago_ms: u64,
}

/// The software versions of a service that lists had over some time.
///
/// No version that is missing served in that time; nothing is said of the time before and after.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionReport {
    pub service: ServiceName,
    pub versions: Vec<ListedVersion>,
    /// How long ago the time began, in ms; `None` if nothing served before it.
    pub since_ms: Option<u64>,
    /// How long ago it ended, in ms; 0 for an entry's own lists.
    pub until_ms: u64,
}

/// Has a sidecar keep origins, and asks it for those of other streams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOriginsRequest {
    pub kept: Vec<StreamOrigin>,
    /// How long to keep them, in ms.
    pub keep_ms: u64,
    pub asked: Vec<RequestId>,
    /// What the entry knows of the versions of the origins' services. Empty before wire version 11:
    /// nothing is known then.
    #[serde(default)]
    pub versions: Vec<VersionReport>,
}

/// The origins that the sidecar has of those asked for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOriginsResponse {
    pub known: Vec<StreamOrigin>,
    /// Time for which the sidecar has kept origins, in ms: it can't know older ones. `None` before
    /// wire version 11.
    #[serde(default)]
    pub kept_for_ms: Option<u64>,
    /// What entries told the sidecar of the versions of services. Empty before wire version 11.
    #[serde(default)]
    pub versions: Vec<VersionReport>,
}
