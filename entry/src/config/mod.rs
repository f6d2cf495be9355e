//! the configuration and the list of boxes on this entry: kept, followed,
//! passed on

mod active_config;
mod config_watcher;
mod errors;
mod shard_source;

pub use {
    active_config::ActiveConfig,
    config_watcher::ConfigWatcher,
    errors::ConfigOfferError,
    shard_source::{PeerShards, PlatformShards, ShardSource},
};
