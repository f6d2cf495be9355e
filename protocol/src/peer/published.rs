use {
    chalkcart_state::published::{Snapshot, Topic},
    serde::{Deserialize, Serialize},
};

/// an entry asks its relay what the platform's store publishes
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedRequest {
    pub topic: Topic,
    /// revision up to which the entry knows the topic; none to hear all of it
    pub after: Option<u64>,
    /// how long the relay may wait for something newer, in ms
    pub wait_ms: u64,
}

/// the relay's answer; revisions are those of the store
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PublishedResponse {
    /// what is newer, or all of it if all was asked for
    Records {
        snapshot: Snapshot,
        /// when the store knew nothing newer, after the relay received the question,
        /// or before it if negative, in ms
        current_ms: i64,
    },
    /// the relay has forgotten what was changed since: all must be asked for
    HistoryLost,
    /// the relay has not heard the store lately enough to speak for it
    Stale,
}
