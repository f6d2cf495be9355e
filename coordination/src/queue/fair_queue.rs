use {
    super::QueuedRequest,
    chalkcart_state::ids::{GroupName, RequestId},
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// share of a group that the configuration does not name
const DEFAULT_SHARE: u32 = 1;
/// a group is active for this long after its last request
const ACTIVE_FOR: Duration = Duration::from_secs(10);

/// the waiting requests of one target.
///
/// The order: priority, aged for the first of each group and class; then the
/// group that got least service against its share (start-time fair queueing
/// over tokens); then arrival.
#[derive(Debug, Default)]
pub struct FairQueue {
    waiting: Vec<QueuedRequest>,
    shares: HashMap<GroupName, u32>,
    /// service that each group got, in tokens over its share
    service: HashMap<GroupName, f64>,
    /// service of the group that was served last
    floor: f64,
    /// when each group's last request came
    last_seen: HashMap<GroupName, Instant>,
}

impl FairQueue {
    pub fn new() -> Self {
        Self::default()
    }

    pub fn set_shares(&mut self, shares: HashMap<GroupName, u32>) {
        self.service.retain(|group, _| shares.contains_key(group));
        self.last_seen.retain(|group, _| shares.contains_key(group));
        self.shares = shares;
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.waiting.iter()
    }
    pub fn contains(&self, request: &str) -> bool {
        self.waiting.iter().any(|w| w.request == request)
    }
    pub fn tokens(&self) -> u64 {
        self.waiting.iter().map(|w| w.tokens).sum()
    }
    /// tokens of one group's waiting requests
    pub fn group_tokens(&self, group: &str) -> u64 {
        let of_group = self.waiting.iter().filter(|w| w.group == group);
        of_group.map(|w| w.tokens).sum()
    }
    /// the part of the whole that a group may claim among the waiting ones
    pub fn fair_part(&self, group: &str) -> f64 {
        let mut groups: HashSet<&str> = self.waiting.iter().map(|w| w.group.as_str()).collect();
        groups.insert(group);
        let sum: u32 = groups.iter().map(|g| self.share(g)).sum();
        f64::from(self.share(group)) / f64::from(sum.max(1))
    }

    /// the part of the whole that a group may claim among the active ones
    pub fn active_part(&self, group: &str, now: Instant) -> f64 {
        let is_active = |at: &Instant| now.saturating_duration_since(*at) < ACTIVE_FOR;
        let active = self.last_seen.iter().filter(|(_, at)| is_active(at));
        let others = active.filter(|(name, _)| *name != group);
        let sum: u32 = others.map(|(name, _)| self.share(name)).sum();
        let own = self.share(group);
        f64::from(own) / f64::from(own + sum)
    }

    pub fn push(&mut self, waiting: QueuedRequest) {
        self.last_seen
            .insert(waiting.group.clone(), waiting.arrived);
        // a group that was idle does not get its idle time back
        let floor = self.floor;
        let service = self.service.entry(waiting.group.clone()).or_insert(floor);
        let is_idle = !self.waiting.iter().any(|w| w.group == waiting.group);
        if is_idle {
            *service = service.max(floor);
        }
        self.waiting.push(waiting);
    }

    /// the requests in the order in which they should start
    pub fn order(&mut self, now: Instant) -> Vec<RequestId> {
        self.mark_heads(now);
        let mut rows: Vec<&QueuedRequest> = self.waiting.iter().collect();
        rows.sort_by(|a, b| {
            let by_priority = a.priority_at(now).cmp(&b.priority_at(now));
            by_priority
                .then(
                    self.service_of(&a.group)
                        .total_cmp(&self.service_of(&b.group)),
                )
                .then(a.arrived.cmp(&b.arrived))
        });
        rows.into_iter().map(|w| w.request.clone()).collect()
    }

    pub fn get(&self, request: &str) -> Option<&QueuedRequest> {
        self.waiting.iter().find(|w| w.request == request)
    }

    /// take a request out without service
    pub fn remove(&mut self, request: &str) -> Option<QueuedRequest> {
        let index = self.waiting.iter().position(|w| w.request == request)?;
        Some(self.waiting.remove(index))
    }

    /// take a request out to start it, and charge its group
    pub fn start(&mut self, request: &str) -> Option<QueuedRequest> {
        let started = self.remove(request)?;
        self.floor = self.floor.max(self.service_of(&started.group));
        self.charge(&started.group, started.tokens as f64);
        Some(started)
    }

    /// correct a group's service when the real cost is known
    pub fn charge(&mut self, group: &str, tokens: f64) {
        let share = f64::from(self.share(group));
        if let Some(service) = self.service.get_mut(group) {
            *service += tokens / share;
        }
    }

    /// note that a started request overtook those that wait for a load
    pub fn note_overtaken(&mut self, tokens: u64, is_overtaken: impl Fn(&QueuedRequest) -> bool) {
        for waiting in self.waiting.iter_mut().filter(|w| is_overtaken(w)) {
            waiting.overtaken += tokens;
        }
    }

    /// take out all that would not end by their deadline, at a time per token
    pub fn remove_late(&mut self, token_time: Duration, now: Instant) -> Vec<QueuedRequest> {
        let run_time = |w: &QueuedRequest| token_time.saturating_mul(w.output_tokens);
        let (late, rest) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w| now + run_time(w) >= w.deadline);
        self.waiting = rest;
        late
    }

    /// take out everything
    pub fn drain(&mut self) -> Vec<QueuedRequest> {
        std::mem::take(&mut self.waiting)
    }

    /// the first of each group and class begins to age; the rows stand in
    /// the order of their arrival
    fn mark_heads(&mut self, now: Instant) {
        let mut seen: HashSet<(GroupName, u8)> = HashSet::new();
        for waiting in &mut self.waiting {
            if seen.insert((waiting.group.clone(), waiting.priority)) {
                waiting.head_since.get_or_insert(now);
            }
        }
    }
    fn share(&self, group: &str) -> u32 {
        self.shares.get(group).copied().unwrap_or(DEFAULT_SHARE)
    }
    fn service_of(&self, group: &str) -> f64 {
        self.service.get(group).copied().unwrap_or(self.floor)
    }
}
