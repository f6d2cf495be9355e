use {
    chalkcart_state::{
        config::{Root, Shard},
        fleet::FleetList,
        ids::{BoxName, Generation},
    },
    serde::{Deserialize, Serialize},
};

/// asks a peer for what it knows and the asker does not
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    pub from: BoxName,
    pub generation: Generation,
    pub list_version: u64,
    /// the asker is a sidecar: of the list it needs only the entry boxes, of
    /// the root everything but the shards' digests
    pub from_sidecar: bool,
}

/// newer knowledge of a peer
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncResponse {
    pub generation: Generation,
    pub root: Option<Root>,
    pub list: Option<FleetList>,
}

/// asks a peer for a shard of one generation
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRequest {
    pub index: usize,
    pub digest: String,
}

/// the shard, if the peer has that content
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardResponse {
    pub shard: Option<Shard>,
}
