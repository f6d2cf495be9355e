//! the configuration and the list of boxes on this entry: kept, followed,
//! passed on

mod config_keeper;
mod errors;
mod follower;
mod shard_source;

pub use {
    config_keeper::ConfigKeeper,
    errors::KeepError,
    follower::Follower,
    shard_source::{PeerShards, PlatformShards, ShardSource},
};
