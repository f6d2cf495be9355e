use {
    crate::slots::AdapterKey,
    chalkcart_state::ids::{GroupName, RequestId},
    std::time::{Duration, Instant},
};

/// a request that waits in a target's queue
#[derive(Debug, Clone)]
pub struct Waiting {
    pub request: RequestId,
    pub group: GroupName,
    /// 0 is the most urgent
    pub priority: u8,
    /// waiting this long makes it one priority more urgent
    pub age_after: Duration,
    pub arrived: Instant,
    pub deadline: Instant,
    /// its cost
    pub tokens: u64,
    /// what it needs loaded; none for a plain service
    pub adapter: Option<AdapterKey>,
    /// tokens of requests that overtook it because their adapter was loaded
    pub overtaken: u64,
}

impl Waiting {
    /// priority after ageing
    pub fn priority_at(&self, now: Instant) -> u8 {
        let waited = now.saturating_duration_since(self.arrived).as_nanos();
        let steps = waited / self.age_after.as_nanos().max(1);
        let steps = u8::try_from(steps).unwrap_or(u8::MAX);
        self.priority.saturating_sub(steps)
    }
}
