//! Records published in the platform's store, converted to chalkcart's types.

mod record;
mod snapshot;
mod store_position;

pub use {
    record::{Record, RecordSubject, UnreadableCause},
    snapshot::{Snapshot, Topic},
    store_position::{StoreEra, StorePosition},
};
