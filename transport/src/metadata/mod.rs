//! what the platform's store publishes, in the product's own types

mod source;

pub use source::{MetadataSource, Record, Snapshot, SourceError, Topic, Watched};
