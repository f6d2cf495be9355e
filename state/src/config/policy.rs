use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Fleet-wide scheduling settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Tokens of requests with a loaded adapter that may overtake a request waiting for a load.
    /// 0 keeps the queue order; higher values fill batches better.
    pub batch_ahead_tokens: u64,
    /// Batch slots of an engine that a group may not take beyond its fair share while other
    /// groups are active, so that their requests start without waiting.
    pub headroom_places: u32,
    /// Minimum time that a loaded adapter keeps its slot, in ms.
    pub min_residence_ms: u64,
    /// Queued tokens at which a target rejects further requests.
    pub max_queued_tokens: u64,
    /// Loads per second that the weight store can start.
    pub store_loads_per_second: u32,
    /// Concurrent loads that the weight store serves at full speed.
    pub store_loads_at_once: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            batch_ahead_tokens: 2_000,
            headroom_places: 1,
            min_residence_ms: 2_000,
            max_queued_tokens: 20_000,
            store_loads_per_second: 3,
            store_loads_at_once: 2,
        }
    }
}

impl Policy {
    pub fn min_residence(&self) -> Duration {
        Duration::from_millis(self.min_residence_ms)
    }
}
