//! Reading and watching of the platform's metadata store.

mod known_era;
mod source;
mod store_watcher;

pub use {
    known_era::KnownEra,
    source::{
        FirstPage, MetadataSource, PastChange, SourceError, WatchOutcome, WatchUpdate,
        HISTORY_TIMEOUT,
    },
    store_watcher::{RecordSink, StoreWatcher},
};
