//! Reading and watching of the platform's metadata store.

mod source;
mod store_watcher;

pub use {
    source::{FirstPage, MetadataSource, SourceError, WatchOutcome, WatchUpdate},
    store_watcher::{RecordSink, StoreWatcher},
};
