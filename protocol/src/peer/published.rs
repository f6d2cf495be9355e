use {
    chalkcart_state::published::{Snapshot, Topic},
    serde::{Deserialize, Serialize},
};

/// Requests the records of the platform's store from a relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedRequest {
    pub topic: Topic,
    /// Store revision that the entry has; `None` to request all records.
    pub after: Option<u64>,
    /// How long the relay may hold the request until there is a newer revision, in ms.
    pub wait_ms: u64,
}

/// A relay's response; revisions are those of the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PublishedResponse {
    /// The newer records, or all records if all were requested.
    Records {
        snapshot: Snapshot,
        /// Time at which the store had nothing newer, in ms relative to the relay's receipt of
        /// the request; negative if before it.
        current_ms: i64,
    },
    /// The relay no longer has the changes since; all records must be requested.
    HistoryLost,
    /// The relay's own copy is too old.
    Stale,
    /// The relay has no copy yet and is reading the topic from the store. Since wire version 6;
    /// callers of earlier versions receive `Stale`.
    Starting {
        /// Time since it began to read, in ms.
        since_ms: u32,
    },
}
