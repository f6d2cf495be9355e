//! Software versions of back ends, and which of them began a stream.
//!
//! What two versions of a service write doesn't fit together, so a stream goes on only at the
//! version that began it. docs/design/software-versions.md describes who knows what.

mod earlier_versions;
mod origin_holders;
mod stream_origins;
mod take_up;
mod told_streams;
mod version_history;
mod version_mix;

pub use {
    earlier_versions::EarlierVersions,
    origin_holders::{ListedEngines, OriginHolders},
    stream_origins::StreamOrigins,
    take_up::{OriginSearch, TakeUp},
    told_streams::ToldStreams,
    version_history::VersionHistory,
    version_mix::{stream_memory, SoftwareVersions, VersionMix},
};
