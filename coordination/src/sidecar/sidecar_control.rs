use {
    super::{
        load_table::LoadTable, running::RunTable, OrderFence, OrderResult, SidecarAction,
        SidecarEvent, SidecarSettings, TargetKind,
    },
    crate::{
        fence::{EngineStatus, FenceAction, FenceController, FenceState, PauseDetector},
        queue::FairQueue,
        run_once::{RunOnceSettings, RunOnceTable},
        slots::SlotTable,
    },
    chalkcart_protocol::peer::{Reason, TargetReport, WorkOrder},
    chalkcart_state::{
        config::{Policy, Root},
        ids::{Fence, Incarnation, RequestId},
    },
    rand::{rngs::SmallRng, SeedableRng},
    std::{collections::HashMap, sync::Arc, time::Instant},
};

/// The state machine of one sidecar. `handle` takes an event with the time and returns
/// the actions to perform.
pub struct SidecarControl {
    pub(super) settings: SidecarSettings,
    pub(super) root: Option<Arc<Root>>,
    pub(super) policy: Policy,
    pub(super) rng: SmallRng,
    pub(super) run_once: RunOnceTable,
    pub(super) queue: FairQueue,
    /// Work orders of the queued requests.
    pub(super) orders: HashMap<RequestId, Box<WorkOrder>>,
    pub(super) slots: SlotTable,
    pub(super) loads: LoadTable,
    pub(super) runs: RunTable,
    pub(super) fence: FenceController,
    pub(super) max_running: u32,
    pub(super) is_draining: bool,
    pause: PauseDetector,
    /// Whether a read of the engine is in progress.
    is_reading: bool,
    /// Whether the slots must be rebuilt from the next read before any order is sent.
    is_resync_needed: bool,
    last_read_at: Instant,
    pub(super) actions: Vec<SidecarAction>,
}

impl SidecarControl {
    pub fn new(settings: SidecarSettings, now: Instant) -> Self {
        let run_once = RunOnceSettings {
            target: settings.name.clone(),
            incarnation: settings.incarnation,
            capacity: settings.id_capacity,
            valid_for: settings.id_valid_for,
        };
        let policy = Policy::default();
        let max_running = match settings.kind {
            TargetKind::Engine => 0,
            TargetKind::Service { max_running } => max_running,
        };
        Self {
            root: None,
            rng: SmallRng::seed_from_u64(settings.seed),
            run_once: RunOnceTable::new(run_once),
            queue: FairQueue::new(),
            orders: HashMap::new(),
            slots: SlotTable::new(0, policy.min_residence()),
            policy,
            loads: LoadTable::new(),
            runs: RunTable::new(),
            fence: FenceController::new(settings.epoch, settings.incarnation),
            max_running,
            is_draining: false,
            pause: PauseDetector::new(settings.lease, now),
            is_reading: false,
            is_resync_needed: true,
            last_read_at: now.checked_sub(settings.read_interval).unwrap_or(now),
            actions: Vec::new(),
            settings,
        }
    }

    pub fn handle(&mut self, event: SidecarEvent, now: Instant) -> Vec<SidecarAction> {
        if self.pause.is_after_pause(now) {
            self.invalidate_engine_state();
        }
        self.apply(event, now);
        self.reject_late(now);
        self.read_engine_if_due(now);
        self.schedule(now);
        self.finish_drain();
        std::mem::take(&mut self.actions)
    }

    /// Returns the report about the target for the entries.
    pub fn report(&self) -> TargetReport {
        TargetReport {
            name: self.settings.name.clone(),
            incarnation: self.settings.incarnation,
            generation: self.root.as_ref().map_or(0, |r| r.generation),
            leaving: self.is_leaving(),
            queued_tokens: self.queue.tokens(),
            running: self.runs.len() as u32,
            max_running: self.max_running,
            wished: self.loads.missing_count as u32,
            token_micros: self.runs.token_time().as_micros() as u64,
            load_millis: self.loads.expected_load_delay().as_millis() as u64,
            loaded: self.slots.loaded().iter().map(Into::into).collect(),
        }
    }

    /// Returns whether the request was sent to the target and its end is not known.
    pub fn is_running(&self, request: &str) -> bool {
        self.runs.contains(request)
    }

    /// Returns whether the sidecar rejects new requests.
    pub fn is_leaving(&self) -> bool {
        self.is_draining || self.fence.is_superseded()
    }
    /// Returns whether the engine was read and holds this process's fence.
    pub fn is_ready(&self) -> bool {
        match self.settings.kind {
            TargetKind::Engine => self.order_fence().is_some(),
            TargetKind::Service { .. } => true,
        }
    }

    fn apply(&mut self, event: SidecarEvent, now: Instant) {
        match event {
            SidecarEvent::Arrived(work) => self.on_arrived(work, now),
            SidecarEvent::ReserveRequested { reply, count } => self.on_reserve(reply, count, now),
            SidecarEvent::CancelRequested { reply, request } => self.on_cancel(reply, &request),
            SidecarEvent::EngineRead(status) => self.on_engine_read(status, now),
            SidecarEvent::FenceTakeEnded {
                incarnation,
                fence,
                result,
            } => self.on_fence_take_ended(incarnation, fence, result),
            SidecarEvent::LoadEnded {
                adapter,
                incarnation,
                result,
                duration,
            } => self.on_load_ended(&adapter, incarnation, result, duration, now),
            SidecarEvent::UnloadEnded {
                adapter,
                incarnation,
                result,
            } => self.on_unload_ended(&adapter, incarnation, result),
            SidecarEvent::RunEnded { request, end } => self.on_run_ended(&request, end),
            SidecarEvent::PermitRequestEnded { adapter, response } => {
                self.on_permit(&adapter, response, now)
            }
            SidecarEvent::Configured(root) => self.on_configured(root),
            SidecarEvent::DrainRequested => self.on_drain(),
            SidecarEvent::Tick => {}
        }
    }

    fn on_configured(&mut self, root: Arc<Root>) {
        let shares = root.groups.iter().map(|g| (g.name.clone(), g.share));
        self.queue.set_shares(shares.collect());
        self.policy = root.policy.clone();
        self.slots.set_min_residence(self.policy.min_residence());
        self.root = Some(root);
    }

    fn on_engine_read(&mut self, status: Option<EngineStatus>, now: Instant) {
        self.is_reading = false;
        let Some(status) = status else {
            self.invalidate_engine_state();
            return;
        };
        match self.fence.on_status(&status) {
            FenceAction::Stop => self.stop_superseded(),
            FenceAction::Take { incarnation, fence } => {
                self.is_resync_needed = true;
                let order = OrderFence { incarnation, fence };
                self.actions.push(SidecarAction::TakeFence(order));
            }
            FenceAction::Keep => {
                if self.is_resync_needed {
                    self.resync(&status, now);
                }
                self.release_orphans(&status);
            }
        }
    }

    fn on_fence_take_ended(&mut self, incarnation: Incarnation, fence: Fence, result: OrderResult) {
        match result {
            OrderResult::Done => self.fence.on_accepted(incarnation, fence),
            OrderResult::Failed | OrderResult::Fenced | OrderResult::Unknown => {
                self.invalidate_engine_state()
            }
        }
        // the slots are read under the new fence, so that no earlier order can change them
        self.read_engine();
    }

    /// Requires a new fence and a new read of the engine before the next order, because an
    /// earlier order may still reach it.
    pub(super) fn invalidate_engine_state(&mut self) {
        if self.settings.kind != TargetKind::Engine {
            return;
        }
        self.is_resync_needed = true;
        self.fence.invalidate();
    }

    /// Rebuilds the slots and their pins from the engine's status.
    fn resync(&mut self, status: &EngineStatus, now: Instant) {
        self.is_resync_needed = false;
        self.max_running = status.max_batch;
        self.slots.reset(status.slots, status.loaded.clone(), now);
        self.runs.adopt_orphans(status);
        for adapter in self.runs.pinned(status.incarnation) {
            self.slots.restore_pin(&adapter, now);
        }
        self.loads.clear_unloading();
    }

    /// Rejects all queued requests after another sidecar process has taken the engine over.
    fn stop_superseded(&mut self) {
        self.reject_all_queued(Reason::Superseded);
    }

    fn read_engine_if_due(&mut self, now: Instant) {
        let since_read = now.saturating_duration_since(self.last_read_at);
        let is_due = since_read >= self.settings.read_interval;
        let is_resync_due = self.is_resync_needed
            && !self.is_reading
            && since_read >= self.settings.read_interval / 4;
        if is_due || is_resync_due {
            self.last_read_at = now;
            self.read_engine();
        }
    }

    fn read_engine(&mut self) {
        if self.settings.kind != TargetKind::Engine || self.is_reading {
            return;
        }
        self.is_reading = true;
        self.actions.push(SidecarAction::ReadEngine);
    }

    /// Returns what orders carry; `None` while the engine must be read first.
    pub(super) fn order_fence(&self) -> Option<OrderFence> {
        match self.fence.state() {
            FenceState::Held { incarnation, fence } if !self.is_resync_needed => {
                Some(OrderFence { incarnation, fence })
            }
            _ => None,
        }
    }
}
