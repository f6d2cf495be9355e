use {
    crate::slots::AdapterKey,
    chalkcart_state::ids::{GroupName, RequestId},
    std::time::{Duration, Instant},
};

/// A request in a target's queue.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    pub request: RequestId,
    pub group: GroupName,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Time at the head of its group and class after which it becomes one priority more urgent.
    pub age_after: Duration,
    pub arrived: Instant,
    pub deadline: Instant,
    /// Cost in tokens.
    pub tokens: u64,
    pub max_output_tokens: u32,
    /// Adapter that must be loaded; none for a plain service.
    pub adapter: Option<AdapterKey>,
    /// Tokens of the requests that overtook it because their adapter was loaded.
    pub overtaken: u64,
    /// Since when it has been the first of its group and class.
    pub head_since: Option<Instant>,
}

impl QueuedRequest {
    /// Returns the priority after aging. Only the first of a group and class ages, so that a
    /// group with a long queue doesn't overtake the others.
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
