//! the platform's store, read by whoever needs what it publishes

mod source;
mod store_watcher;

pub use {
    source::{MetadataSource, SourceError, WatchOutcome, WatchUpdate},
    store_watcher::{RecordSink, StoreWatcher},
};
