//! what the platform's store publishes, in the product's own types

mod record;
mod snapshot;

pub use {
    record::{Record, RecordSubject, UnreadableCause},
    snapshot::{Snapshot, Topic},
};
