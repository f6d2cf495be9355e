use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// the settings of the whole fleet that operators tune
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// how many tokens of requests whose adapter is loaded may overtake one
    /// that waits for a load; 0 keeps the order, more fills batches better
    pub batch_ahead_tokens: u64,
    /// places of an engine's batch that a group may not fill beyond its fair
    /// part while other groups are active, so that those start at once
    pub headroom_places: u32,
    /// shortest time that a loaded adapter keeps its slot, in ms
    pub min_residence_ms: u64,
    /// queued tokens at which a target refuses more
    pub max_queued_tokens: u64,
    /// loads that the weight store starts in a second
    pub store_loads_per_second: u32,
    /// loads that the weight store serves at full speed at once
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
    /// shortest time that a loaded adapter keeps its slot
    pub fn min_residence(&self) -> Duration {
        Duration::from_millis(self.min_residence_ms)
    }
}
