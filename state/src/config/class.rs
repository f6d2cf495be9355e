use {
    crate::ids::ClassName,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// a class of service: how urgent its requests are
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: ClassName,
    /// 0 is the most urgent
    pub priority: u8,
    /// time within which a request is answered, unless the caller asks for less, in ms
    pub timeout_ms: u64,
    /// after waiting this long a request counts as one priority more urgent, in ms
    pub age_after_ms: u64,
    /// how much a load stall costs in this class, against 1 for the least
    pub stall_cost: u32,
}

impl Class {
    /// the class's own deadline
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
    /// the step of ageing
    pub fn age_after(&self) -> Duration {
        Duration::from_millis(self.age_after_ms)
    }
}
