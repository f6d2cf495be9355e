use {
    super::QueuedRequest,
    chalkcart_state::ids::{GroupName, RequestId},
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// Share of a group that the configuration doesn't list.
const DEFAULT_SHARE: u32 = 1;
/// Time after its last request for which a group counts as active.
const ACTIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// The queued requests of one target.
///
/// They are ordered by priority, which ages for the first request of each group and class; then
/// by the service that their groups received relative to their shares (start-time fair queueing
/// over tokens); then by arrival.
#[derive(Debug, Default)]
pub struct FairQueue {
    /// In the order of arrival.
    requests: Vec<QueuedRequest>,
    shares: HashMap<GroupName, u32>,
    /// Service that each group received: the tokens charged to it, divided by its share.
    received_service: HashMap<GroupName, f64>,
    /// Service of the group that was served last: the starting value of a group that becomes
    /// active.
    virtual_time: f64,
    /// Arrival of each group's last request.
    last_arrival: HashMap<GroupName, Instant>,
}

impl FairQueue {
    pub fn new() -> Self {
        Self::default()
    }

    pub fn set_shares(&mut self, shares: HashMap<GroupName, u32>) {
        self.received_service
            .retain(|group, _| shares.contains_key(group));
        self.last_arrival
            .retain(|group, _| shares.contains_key(group));
        self.shares = shares;
    }

    pub fn len(&self) -> usize {
        self.requests.len()
    }
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.requests.iter()
    }
    pub fn contains(&self, request: &str) -> bool {
        self.requests.iter().any(|r| r.request == request)
    }
    /// Returns the tokens of all queued requests.
    pub fn tokens(&self) -> u64 {
        self.requests.iter().map(|r| r.tokens).sum()
    }
    /// Returns the tokens of one group's queued requests.
    pub fn group_tokens(&self, group: &str) -> u64 {
        let of_group = self.requests.iter().filter(|r| r.group == group);
        of_group.map(|r| r.tokens).sum()
    }
    /// Returns the fraction of the target due to a group, among the groups with queued
    /// requests.
    pub fn fraction_among_queued(&self, group: &str) -> f64 {
        let mut groups: HashSet<&str> = self.requests.iter().map(|r| r.group.as_str()).collect();
        groups.insert(group);
        let sum: u32 = groups.iter().map(|g| self.share_of(g)).sum();
        f64::from(self.share_of(group)) / f64::from(sum.max(1))
    }

    /// Returns the fraction of the target due to a group, among the active groups.
    pub fn fraction_among_active(&self, group: &str, now: Instant) -> f64 {
        let is_active = |at: &Instant| now.saturating_duration_since(*at) < ACTIVE_TIMEOUT;
        let active = self.last_arrival.iter().filter(|(_, at)| is_active(at));
        let others = active.filter(|(name, _)| *name != group);
        let sum: u32 = others.map(|(name, _)| self.share_of(name)).sum();
        let own = self.share_of(group);
        f64::from(own) / f64::from(own + sum)
    }

    pub fn push(&mut self, request: QueuedRequest) {
        self.last_arrival
            .insert(request.group.clone(), request.arrived);
        // a group gets no credit for the time in which it had no requests
        let virtual_time = self.virtual_time;
        let service = self
            .received_service
            .entry(request.group.clone())
            .or_insert(virtual_time);
        let is_idle = !self.requests.iter().any(|r| r.group == request.group);
        if is_idle {
            *service = service.max(virtual_time);
        }
        self.requests.push(request);
    }

    /// Returns the requests in the order in which they should start.
    pub fn order(&mut self, now: Instant) -> Vec<RequestId> {
        self.start_aging_heads(now);
        let mut requests: Vec<&QueuedRequest> = self.requests.iter().collect();
        requests.sort_by(|a, b| {
            let by_priority = a.priority_at(now).cmp(&b.priority_at(now));
            by_priority
                .then(
                    self.received_service_of(&a.group)
                        .total_cmp(&self.received_service_of(&b.group)),
                )
                .then(a.arrived.cmp(&b.arrived))
        });
        requests.into_iter().map(|r| r.request.clone()).collect()
    }

    pub fn get(&self, request: &str) -> Option<&QueuedRequest> {
        self.requests.iter().find(|r| r.request == request)
    }

    /// Removes a request without charging its group.
    pub fn remove(&mut self, request: &str) -> Option<QueuedRequest> {
        let index = self.requests.iter().position(|r| r.request == request)?;
        Some(self.requests.remove(index))
    }

    /// Removes a request that starts, and charges its group.
    pub fn start(&mut self, request: &str) -> Option<QueuedRequest> {
        let started = self.remove(request)?;
        self.virtual_time = self
            .virtual_time
            .max(self.received_service_of(&started.group));
        self.charge(&started.group, started.tokens as f64);
        Some(started)
    }

    /// Charges a group for tokens beyond the estimate, or credits it if `tokens` is negative.
    pub fn charge(&mut self, group: &str, tokens: f64) {
        let share = f64::from(self.share_of(group));
        if let Some(service) = self.received_service.get_mut(group) {
            *service += tokens / share;
        }
    }

    /// Records the tokens of a started request with those that it overtook while they wait for
    /// a load.
    pub fn record_overtaken(&mut self, tokens: u64, is_overtaken: impl Fn(&QueuedRequest) -> bool) {
        for request in self.requests.iter_mut().filter(|r| is_overtaken(r)) {
            request.overtaken += tokens;
        }
    }

    /// Removes and returns the requests that would end after their deadline, at this time per
    /// token.
    pub fn remove_late(&mut self, token_time: Duration, now: Instant) -> Vec<QueuedRequest> {
        let run_time = |r: &QueuedRequest| token_time.saturating_mul(r.max_output_tokens);
        let (late, remaining) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(|r| now + run_time(r) >= r.deadline);
        self.requests = remaining;
        late
    }

    /// Removes and returns all requests.
    pub fn drain(&mut self) -> Vec<QueuedRequest> {
        std::mem::take(&mut self.requests)
    }

    /// Starts the aging of the first request of each group and class.
    fn start_aging_heads(&mut self, now: Instant) {
        let mut seen: HashSet<(GroupName, u8)> = HashSet::new();
        for request in &mut self.requests {
            if seen.insert((request.group.clone(), request.priority)) {
                request.head_since.get_or_insert(now);
            }
        }
    }
    fn share_of(&self, group: &str) -> u32 {
        self.shares.get(group).copied().unwrap_or(DEFAULT_SHARE)
    }
    fn received_service_of(&self, group: &str) -> f64 {
        self.received_service
            .get(group)
            .copied()
            .unwrap_or(self.virtual_time)
    }
}
