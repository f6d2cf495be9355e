use {
    chalkcart_state::published::{Snapshot, StoreEra, StorePosition, Topic},
    serde::{Deserialize, Serialize},
};

/// Requests the records of the platform's store from a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EncodedRequest", into = "EncodedRequest")]
pub struct PublishedRequest {
    pub topic: Topic,
    /// Position that the entry has; `None` to request all records. Builds before wire version 8
    /// send no era.
    pub after: Option<StorePosition>,
    /// How long the relay may hold the request until there is a later position, in ms.
    pub wait_ms: u64,
}

/// The encoded form.
#[derive(Serialize, Deserialize)]
#[serde(rename = "PublishedRequest")]
struct EncodedRequest {
    topic: Topic,
    after: Option<u64>,
    wait_ms: u64,
    #[serde(default)]
    era: StoreEra,
}

impl From<EncodedRequest> for PublishedRequest {
    fn from(encoded: EncodedRequest) -> Self {
        let after = encoded.after;
        Self {
            topic: encoded.topic,
            after: after.map(|revision| StorePosition::new(encoded.era, revision)),
            wait_ms: encoded.wait_ms,
        }
    }
}

impl From<PublishedRequest> for EncodedRequest {
    fn from(request: PublishedRequest) -> Self {
        Self {
            topic: request.topic,
            after: request.after.map(|after| after.revision),
            wait_ms: request.wait_ms,
            era: request.after.map_or(0, |after| after.era),
        }
    }
}

/// A relay's response; positions are those of the store.
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
