//! Records published in the platform's store, converted to chalkcart's types.

mod record;
mod snapshot;

pub use {
    record::{Record, RecordSubject, UnreadableCause},
    snapshot::{Snapshot, Topic},
};
