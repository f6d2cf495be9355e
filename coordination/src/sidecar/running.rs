//! requests that run

use {
    super::{RunEnd, SidecarAction, SidecarControl},
    crate::{fence::EngineStatus, queue::Waiting, slots::AdapterKey},
    chalkcart_protocol::peer::{Outcome, Reason, Refusal, Step},
    chalkcart_state::ids::{GroupName, Incarnation, RequestId, ReservedId},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// assumed until a run was measured
const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(20);
/// weight of the newest measurement
const SMOOTHING: f64 = 0.1;

/// one request that runs
#[derive(Debug)]
struct Run {
    group: GroupName,
    reserved: bool,
    /// tokens charged at its start
    charged: u64,
    adapter: Option<AdapterKey>,
    /// the engine's incarnation
    incarnation: Option<Incarnation>,
}

/// the requests that run, and those that may still run unheard
#[derive(Debug)]
pub(super) struct RunBook {
    runs: HashMap<RequestId, Run>,
    /// ended for us, but the engine did not confirm it: their pins stay
    orphans: HashMap<RequestId, Run>,
    token_time: Option<f64>,
}

impl RunBook {
    pub(super) fn new() -> Self {
        Self {
            runs: HashMap::new(),
            orphans: HashMap::new(),
            token_time: None,
        }
    }
    pub(super) fn len(&self) -> usize {
        self.runs.len()
    }
    fn of_group(&self, group: &str) -> usize {
        self.runs.values().filter(|run| run.group == group).count()
    }
    pub(super) fn contains(&self, request: &str) -> bool {
        self.runs.contains_key(request)
    }
    /// adapters that an engine incarnation uses or may use
    pub(super) fn pinned(&self, incarnation: Incarnation) -> Vec<AdapterKey> {
        let all = self.runs.values().chain(self.orphans.values());
        all.filter(|run| run.incarnation == Some(incarnation))
            .filter_map(|run| run.adapter.clone())
            .collect()
    }
    /// hold the adapters of what the engine runs for an earlier sidecar
    pub(super) fn adopt(&mut self, status: &EngineStatus) {
        for running in &status.running {
            if self.runs.contains_key(&running.request) {
                continue;
            }
            let run = Run {
                group: GroupName::new(),
                reserved: false,
                charged: 0,
                adapter: Some(running.adapter.clone()),
                incarnation: Some(status.incarnation),
            };
            self.orphans.insert(running.request.clone(), run);
        }
    }
    /// time of one token of one request, smoothed
    pub(super) fn token_time(&self) -> Duration {
        self.measured_token_time().unwrap_or(DEFAULT_TOKEN_TIME)
    }
    pub(super) fn measured_token_time(&self) -> Option<Duration> {
        self.token_time.map(Duration::from_secs_f64)
    }
    fn measure(&mut self, tokens: u64, took: Duration) {
        let newest = took.as_secs_f64() / tokens.max(1) as f64;
        let before = self.token_time.unwrap_or(newest);
        self.token_time = Some(before + SMOOTHING * (newest - before));
    }
}

impl SidecarControl {
    /// start what may start, and load what is waited for
    pub(super) fn schedule(&mut self, now: Instant) {
        if self.is_leaving() || !self.is_ready() {
            return;
        }
        // the order changes with each start, since starts are charged
        while self.runs.len() < self.max_running as usize {
            let order = self.queue.order(now);
            if !order.iter().any(|request| self.try_start(request, now)) {
                break;
            }
        }
        self.load_what_waits(now);
    }

    pub(super) fn is_stalled(&self, waiting: &Waiting) -> bool {
        let adapter = waiting.adapter.as_ref();
        adapter.is_some_and(|key| !self.slots.is_ready(key))
    }

    pub(super) fn on_run_ended(&mut self, request: &RequestId, end: RunEnd) {
        let Some(run) = self.runs.runs.remove(request) else {
            return;
        };
        if end.failure.is_none() {
            self.runs.measure(end.tokens, end.took);
        }
        let correction = end.tokens.max(1) as f64 - run.charged as f64;
        if run.adapter.is_some() {
            self.queue.charge(&run.group, correction);
        }
        self.end_reserved(request, &run, end.outcome);
        self.refuse_failed(request, &end);
        if end.may_run_on {
            self.runs.orphans.insert(request.clone(), run);
            self.doubt();
        } else {
            self.release(&run);
        }
        if end.failure == Some(Reason::Superseded) {
            self.doubt();
        }
    }

    /// let go the adapters of orphans that the engine no longer runs
    pub(super) fn release_orphans(&mut self, status: &EngineStatus) {
        let orphans = std::mem::take(&mut self.runs.orphans);
        for (request, run) in orphans {
            let is_current = run.incarnation == Some(status.incarnation);
            if is_current && status.running.iter().any(|r| r.request == request) {
                self.runs.orphans.insert(request, run);
            } else {
                self.release(&run);
            }
        }
    }

    pub(super) fn finish_drain(&mut self) {
        if self.draining && self.runs.len() == 0 && self.queue.is_empty() {
            self.actions.push(SidecarAction::Drained);
        }
    }

    /// start a request if its adapter is loaded; false if it still waits
    fn try_start(&mut self, request: &RequestId, now: Instant) -> bool {
        let Some(waiting) = self.queue.get(request) else {
            return false;
        };
        if self.is_stalled(waiting) || self.must_leave_headroom(&waiting.group, now) {
            return false;
        }
        let order = self.order_fence();
        if let Some(key) = waiting.adapter.clone() {
            if order.is_none() || !self.slots.pin(&key) {
                return false;
            }
        }
        self.start(request, now);
        true
    }

    /// the last places of the batch are for groups below their fair part
    fn must_leave_headroom(&self, group: &str, now: Instant) -> bool {
        let open_places = self.max_running.saturating_sub(self.policy.headroom_places);
        if self.runs.len() < open_places as usize {
            return false;
        }
        let fair = self.queue.active_part(group, now) * f64::from(self.max_running);
        self.runs.of_group(group) as f64 >= fair
    }

    fn start(&mut self, request: &RequestId, now: Instant) {
        let (Some(waiting), Some(work)) = (self.queue.start(request), self.orders.remove(request))
        else {
            return;
        };
        let order = self.order_fence();
        let run = Run {
            group: waiting.group.clone(),
            reserved: work.reserved,
            charged: waiting.tokens,
            adapter: waiting.adapter.clone(),
            incarnation: order.map(|o| o.incarnation),
        };
        if work.reserved && !self.start_reserved(request) {
            self.release(&run);
            let refusal = self.refusal(Step::Queue, Reason::Cancelled);
            self.push_refusal(request, refusal);
            return;
        }
        self.note_overtaken(&waiting, now);
        let stalled = self.loads.take_stalled(request);
        self.runs.runs.insert(request.clone(), run);
        self.actions.push(SidecarAction::Run {
            priority: waiting.priority_at(now),
            deadline: waiting.deadline,
            arrived: waiting.arrived,
            stalled,
            order: waiting.adapter.and(order),
            work,
        });
    }

    fn start_reserved(&mut self, request: &RequestId) -> bool {
        match request.parse::<ReservedId>() {
            Ok(id) => self.once.start(&id),
            Err(_) => false,
        }
    }

    fn end_reserved(&mut self, request: &RequestId, run: &Run, outcome: Outcome) {
        if !run.reserved {
            return;
        }
        if let Ok(id) = request.parse::<ReservedId>() {
            self.once.finish(&id, outcome);
        }
    }

    fn refuse_failed(&mut self, request: &RequestId, end: &RunEnd) {
        let Some(reason) = end.failure else {
            return;
        };
        let peer = &self.settings.name;
        let refusal = Refusal::new(end.outcome, Step::Run, peer, reason);
        self.push_refusal(request, refusal.with_detail(&end.detail));
    }

    fn release(&mut self, run: &Run) {
        let current = self.order_fence().map(|o| o.incarnation);
        // after a restart or a doubt the slots are read again with their pins
        if run.incarnation.is_none() || run.incarnation != current {
            return;
        }
        if let Some(key) = &run.adapter {
            self.slots.unpin(key);
        }
    }

    /// those that wait for a load and came first were overtaken
    fn note_overtaken(&mut self, started: &Waiting, now: Instant) {
        let slots = &self.slots;
        let priority = started.priority_at(now);
        self.queue.note_overtaken(started.tokens, |w| {
            let stalled = w.adapter.as_ref().is_some_and(|key| !slots.is_ready(key));
            stalled && (w.priority_at(now), w.arrived) < (priority, started.arrived)
        });
    }
}
