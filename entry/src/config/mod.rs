//! The configuration and the list of boxes that this entry uses, and the task that keeps them
//! up to date.

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
