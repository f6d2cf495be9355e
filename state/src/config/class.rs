use {
    crate::ids::ClassName,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A service class: the urgency and the deadline of its requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: ClassName,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Deadline of a request in ms, unless the caller sets a shorter one.
    pub timeout_ms: u64,
    /// Waiting time in ms after which a request is raised by one priority level.
    pub age_after_ms: u64,
    /// Relative cost of a stall caused by a load; 1 is the lowest.
    pub stall_cost: u32,
}

impl Class {
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
    /// Returns the waiting time that raises a request by one priority level.
    pub fn age_after(&self) -> Duration {
        Duration::from_millis(self.age_after_ms)
    }
}
