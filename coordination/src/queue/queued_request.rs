use {
    crate::slots::AdapterKey,
    chalkcart_state::ids::{GroupName, RequestId},
    std::time::{Duration, Instant},
};

/// a request that waits in a target's queue
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    pub request: RequestId,
    pub group: GroupName,
    /// 0 is the most urgent
    pub priority: u8,
    /// waiting this long at the head of its group and class makes it one
    /// priority more urgent
    pub age_after: Duration,
    pub arrived: Instant,
    pub deadline: Instant,
    /// its cost
    pub tokens: u64,
    /// tokens that it may generate
    pub output_tokens: u32,
    /// what it needs loaded; none for a plain service
    pub adapter: Option<AdapterKey>,
    /// tokens of requests that overtook it because their adapter was loaded
    pub overtaken: u64,
    /// since when it has been the first of its group and class
    pub head_since: Option<Instant>,
}

impl QueuedRequest {
    /// priority after ageing; only the first of a group and class ages, so
    /// that a long queue of one group does not overtake the others
    pub fn priority_at(&self, now: Instant) -> u8 {
        let Some(since) = self.head_since else {
            return self.priority;
        };
        let waited = now.saturating_duration_since(since).as_nanos();
        let steps = waited / self.age_after.as_nanos().max(1);
        let steps = u8::try_from(steps).unwrap_or(u8::MAX);
        self.priority.saturating_sub(steps)
    }
}
