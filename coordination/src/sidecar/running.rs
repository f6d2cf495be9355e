//! Requests that run on the target.

use {
    super::{RunEnd, SidecarAction, SidecarControl},
    crate::{fence::EngineStatus, queue::QueuedRequest, slots::AdapterKey},
    chalkcart_protocol::peer::{Outcome, Reason, Refusal, Step},
    chalkcart_state::ids::{GroupName, Incarnation, RequestId, ReservedId},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time per token assumed before the first measurement.
const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(20);
/// Weight of the latest measurement in the moving average.
const LATEST_WEIGHT: f64 = 0.1;

/// A request that runs.
#[derive(Debug)]
struct Run {
    group: GroupName,
    is_reserved: bool,
    /// Tokens charged to the group at the start.
    charged_tokens: u64,
    adapter: Option<AdapterKey>,
    /// The incarnation of the engine that runs the request.
    incarnation: Option<Incarnation>,
}

/// The requests that run, and those that the engine may still run.
#[derive(Debug)]
pub(super) struct RunTable {
    runs: HashMap<RequestId, Run>,
    /// Runs that ended without the engine's confirmation; their adapters stay pinned.
    orphans: HashMap<RequestId, Run>,
    /// Mean time per token, in seconds.
    token_time_s: Option<f64>,
}

impl RunTable {
    pub(super) fn new() -> Self {
        Self {
            runs: HashMap::new(),
            orphans: HashMap::new(),
            token_time_s: None,
        }
    }
    pub(super) fn len(&self) -> usize {
        self.runs.len()
    }
    fn count_of_group(&self, group: &str) -> usize {
        self.runs.values().filter(|run| run.group == group).count()
    }
    pub(super) fn contains(&self, request: &str) -> bool {
        self.runs.contains_key(request)
    }
    /// Returns the adapters that an engine incarnation uses or may use.
    pub(super) fn pinned(&self, incarnation: Incarnation) -> Vec<AdapterKey> {
        let all = self.runs.values().chain(self.orphans.values());
        all.filter(|run| run.incarnation == Some(incarnation))
            .filter_map(|run| run.adapter.clone())
            .collect()
    }
    /// Adds the requests that the engine runs for an earlier sidecar process, so that their
    /// adapters stay pinned.
    pub(super) fn adopt_orphans(&mut self, status: &EngineStatus) {
        for running in &status.running {
            if self.runs.contains_key(&running.request) {
                continue;
            }
            let run = Run {
                group: GroupName::new(),
                is_reserved: false,
                charged_tokens: 0,
                adapter: Some(running.adapter.clone()),
                incarnation: Some(status.incarnation),
            };
            self.orphans.insert(running.request.clone(), run);
        }
    }
    /// Returns the mean time per token of one request.
    pub(super) fn token_time(&self) -> Duration {
        self.measured_token_time().unwrap_or(DEFAULT_TOKEN_TIME)
    }
    pub(super) fn measured_token_time(&self) -> Option<Duration> {
        self.token_time_s.map(Duration::from_secs_f64)
    }
    /// Adds a run to the moving average of the time per token.
    fn record_run(&mut self, tokens: u64, duration: Duration) {
        let latest = duration.as_secs_f64() / tokens.max(1) as f64;
        let mean = self.token_time_s.unwrap_or(latest);
        self.token_time_s = Some(mean + LATEST_WEIGHT * (latest - mean));
    }
}

impl SidecarControl {
    /// Starts queued requests and advances the loads of missing adapters.
    pub(super) fn schedule(&mut self, now: Instant) {
        if self.is_leaving() || !self.is_ready() {
            return;
        }
        // each start is charged to its group, which changes the order of the queue
        while self.runs.len() < self.max_running as usize {
            let order = self.queue.order(now);
            if !order.iter().any(|request| self.try_start(request, now)) {
                break;
            }
        }
        self.advance_loads(now);
    }

    pub(super) fn is_stalled(&self, queued: &QueuedRequest) -> bool {
        let adapter = queued.adapter.as_ref();
        adapter.is_some_and(|key| !self.slots.is_ready(key))
    }

    pub(super) fn on_run_ended(&mut self, request: &RequestId, end: RunEnd) {
        let Some(run) = self.runs.runs.remove(request) else {
            return;
        };
        if end.failure.is_none() {
            self.runs.record_run(end.tokens, end.duration);
        }
        let correction = end.tokens.max(1) as f64 - run.charged_tokens as f64;
        if run.adapter.is_some() {
            self.queue.charge(&run.group, correction);
        }
        self.end_reserved(request, &run, end.outcome);
        self.reject_failed(request, &end);
        if end.may_still_run {
            self.runs.orphans.insert(request.clone(), run);
            self.invalidate_engine_state();
        } else {
            self.unpin_adapter(&run);
        }
        if end.failure == Some(Reason::Superseded) {
            self.invalidate_engine_state();
        }
    }

    /// Unpins the adapters of orphans that the engine no longer runs.
    pub(super) fn release_orphans(&mut self, status: &EngineStatus) {
        let orphans = std::mem::take(&mut self.runs.orphans);
        for (request, run) in orphans {
            let is_current = run.incarnation == Some(status.incarnation);
            if is_current && status.running.iter().any(|r| r.request == request) {
                self.runs.orphans.insert(request, run);
            } else {
                self.unpin_adapter(&run);
            }
        }
    }

    /// Reports the drain as complete once nothing runs or is queued.
    pub(super) fn finish_drain(&mut self) {
        if self.is_draining && self.runs.len() == 0 && self.queue.is_empty() {
            self.actions.push(SidecarAction::Drained);
        }
    }

    /// Starts a queued request if it may run now. Returns whether it was started or rejected.
    fn try_start(&mut self, request: &RequestId, now: Instant) -> bool {
        let Some(queued) = self.queue.get(request) else {
            return false;
        };
        if self.is_stalled(queued) || self.must_leave_headroom(&queued.group, now) {
            return false;
        }
        let order = self.order_fence();
        if let Some(key) = queued.adapter.clone() {
            if order.is_none() || !self.slots.pin(&key) {
                return false;
            }
        }
        self.start(request, now);
        true
    }

    /// Returns whether the group must leave the last places of the batch to groups below
    /// their fair share.
    fn must_leave_headroom(&self, group: &str, now: Instant) -> bool {
        let open_places = self.max_running.saturating_sub(self.policy.headroom_places);
        if self.runs.len() < open_places as usize {
            return false;
        }
        let fair_share = self.queue.fraction_among_active(group, now) * f64::from(self.max_running);
        self.runs.count_of_group(group) as f64 >= fair_share
    }

    fn start(&mut self, request: &RequestId, now: Instant) {
        let (Some(queued), Some(work)) = (self.queue.start(request), self.orders.remove(request))
        else {
            return;
        };
        let order = self.order_fence();
        let run = Run {
            group: queued.group.clone(),
            is_reserved: work.reserved,
            charged_tokens: queued.tokens,
            adapter: queued.adapter.clone(),
            incarnation: order.map(|o| o.incarnation),
        };
        if work.reserved && !self.start_reserved(request) {
            self.unpin_adapter(&run);
            let refusal = self.refusal(Step::Queue, Reason::Cancelled);
            self.reject(request, refusal);
            return;
        }
        self.record_overtaken(&queued, now);
        let has_stalled = self.loads.take_stalled(request);
        self.runs.runs.insert(request.clone(), run);
        self.actions.push(SidecarAction::Run {
            priority: queued.priority_at(now),
            deadline: queued.deadline,
            arrived: queued.arrived,
            has_stalled,
            order: queued.adapter.and(order),
            work,
        });
    }

    fn start_reserved(&mut self, request: &RequestId) -> bool {
        match request.parse::<ReservedId>() {
            Ok(id) => self.run_once.start(&id),
            Err(_) => false,
        }
    }

    fn end_reserved(&mut self, request: &RequestId, run: &Run, outcome: Outcome) {
        if !run.is_reserved {
            return;
        }
        if let Ok(id) = request.parse::<ReservedId>() {
            self.run_once.finish(&id, outcome);
        }
    }

    fn reject_failed(&mut self, request: &RequestId, end: &RunEnd) {
        let Some(reason) = end.failure else {
            return;
        };
        let peer = &self.settings.name;
        let refusal = Refusal::new(end.outcome, Step::Run, peer, reason);
        self.reject(request, refusal.with_detail(&end.detail));
    }

    fn unpin_adapter(&mut self, run: &Run) {
        let current = self.order_fence().map(|o| o.incarnation);
        // otherwise the pins are rebuilt when the slots are read again
        if run.incarnation.is_none() || run.incarnation != current {
            return;
        }
        if let Some(key) = &run.adapter {
            self.slots.unpin(key);
        }
    }

    /// Charges the started request's tokens to the requests that wait for a load and rank
    /// before it.
    fn record_overtaken(&mut self, started: &QueuedRequest, now: Instant) {
        let slots = &self.slots;
        let priority = started.priority_at(now);
        self.queue.record_overtaken(started.tokens, |w| {
            let is_stalled = w.adapter.as_ref().is_some_and(|key| !slots.is_ready(key));
            is_stalled && (w.priority_at(now), w.arrived) < (priority, started.arrived)
        });
    }
}
