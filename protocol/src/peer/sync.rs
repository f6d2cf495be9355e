use {
    chalkcart_state::{
        config::{Root, Shard},
        fleet::FleetList,
        ids::{BoxName, Generation},
    },
    serde::{Deserialize, Serialize},
};

/// Requests the root document and the fleet list from a peer if its versions are newer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    pub from: BoxName,
    pub generation: Generation,
    pub list_version: u64,
    /// Whether the caller is a sidecar, which needs only the entry boxes of the list, and the
    /// root without the shards' digests.
    pub from_sidecar: bool,
}

/// The newer documents of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncResponse {
    pub generation: Generation,
    pub root: Option<Root>,
    pub list: Option<FleetList>,
}

/// Requests a shard by its digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRequest {
    pub index: usize,
    pub digest: String,
}

/// The shard, if the peer has one with that digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardResponse {
    pub shard: Option<Shard>,
}
