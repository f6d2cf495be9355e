use {
    super::{
        load_book::LoadBook, running::RunBook, OrderFence, OrderResult, SidecarAction,
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

/// the state and the decisions of one sidecar.
///
/// `handle` is the only way in: an event and the time, and out come actions.
pub struct SidecarControl {
    pub(super) settings: SidecarSettings,
    pub(super) root: Option<Arc<Root>>,
    pub(super) policy: Policy,
    pub(super) rng: SmallRng,
    pub(super) once: RunOnceTable,
    pub(super) queue: FairQueue,
    /// orders of the waiting requests
    pub(super) orders: HashMap<RequestId, Box<WorkOrder>>,
    pub(super) slots: SlotTable,
    pub(super) loads: LoadBook,
    pub(super) runs: RunBook,
    pub(super) fence: FenceController,
    pub(super) max_running: u32,
    pub(super) draining: bool,
    pause: PauseDetector,
    /// a read of the engine is under way
    reading: bool,
    /// the slots must be taken over from the next read
    doubtful: bool,
    last_read: Instant,
    pub(super) actions: Vec<SidecarAction>,
}

impl SidecarControl {
    pub fn new(settings: SidecarSettings, now: Instant) -> Self {
        let once = RunOnceSettings {
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
            once: RunOnceTable::new(once),
            queue: FairQueue::new(),
            orders: HashMap::new(),
            slots: SlotTable::new(0, policy.min_residence()),
            policy,
            loads: LoadBook::new(),
            runs: RunBook::new(),
            fence: FenceController::new(settings.epoch, settings.incarnation),
            max_running,
            draining: false,
            pause: PauseDetector::new(settings.lease, now),
            reading: false,
            doubtful: true,
            last_read: now.checked_sub(settings.read_every).unwrap_or(now),
            actions: Vec::new(),
            settings,
        }
    }

    /// decide on one event
    pub fn handle(&mut self, event: SidecarEvent, now: Instant) -> Vec<SidecarAction> {
        if self.pause.is_after_pause(now) {
            self.doubt();
        }
        self.apply(event, now);
        self.refuse_late(now);
        self.read_engine_if_due(now);
        self.schedule(now);
        self.finish_drain();
        std::mem::take(&mut self.actions)
    }

    /// what the target says of itself
    pub fn report(&self) -> TargetReport {
        TargetReport {
            name: self.settings.name.clone(),
            incarnation: self.settings.incarnation,
            generation: self.root.as_ref().map_or(0, |r| r.generation),
            leaving: self.is_leaving(),
            queued_tokens: self.queue.tokens(),
            running: self.runs.len() as u32,
            max_running: self.max_running,
            wished: self.loads.wished_count as u32,
            token_micros: self.runs.token_time().as_micros() as u64,
            load_millis: self.loads.expected_time().as_millis() as u64,
            loaded: self.slots.loaded().iter().map(Into::into).collect(),
        }
    }

    /// the request was handed to the target, and its end is not known
    pub fn is_running(&self, request: &str) -> bool {
        self.runs.contains(request)
    }

    /// takes nothing new
    pub fn is_leaving(&self) -> bool {
        self.draining || self.fence.is_superseded()
    }
    /// the engine was read and obeys this process
    pub fn is_ready(&self) -> bool {
        match self.settings.kind {
            TargetKind::Engine => self.order_fence().is_some(),
            TargetKind::Service { .. } => true,
        }
    }

    fn apply(&mut self, event: SidecarEvent, now: Instant) {
        match event {
            SidecarEvent::Arrived(work) => self.on_arrived(work, now),
            SidecarEvent::ReserveAsked { ticket, count } => self.on_reserve(ticket, count, now),
            SidecarEvent::CancelAsked { ticket, request } => self.on_cancel(ticket, &request),
            SidecarEvent::EngineRead(status) => self.on_engine_read(status, now),
            SidecarEvent::FenceAnswered {
                incarnation,
                fence,
                result,
            } => self.on_fence_answered(incarnation, fence, result),
            SidecarEvent::LoadEnded {
                adapter,
                incarnation,
                result,
                took,
            } => self.on_load_ended(&adapter, incarnation, result, took, now),
            SidecarEvent::UnloadEnded {
                adapter,
                incarnation,
                result,
            } => self.on_unload_ended(&adapter, incarnation, result),
            SidecarEvent::RunEnded { request, end } => self.on_run_ended(&request, end),
            SidecarEvent::PermitAnswered { adapter, answer } => {
                self.on_permit(&adapter, answer, now)
            }
            SidecarEvent::Configured(root) => self.on_configured(root),
            SidecarEvent::DrainAsked => self.on_drain(),
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
        self.reading = false;
        let Some(status) = status else {
            self.doubt();
            return;
        };
        match self.fence.on_status(&status) {
            FenceAction::Stop => self.give_up(),
            FenceAction::Take { incarnation, fence } => {
                self.doubtful = true;
                let order = OrderFence { incarnation, fence };
                self.actions.push(SidecarAction::TakeFence(order));
            }
            FenceAction::Keep => {
                if self.doubtful {
                    self.take_over(&status, now);
                }
                self.release_orphans(&status);
            }
        }
    }

    fn on_fence_answered(&mut self, incarnation: Incarnation, fence: Fence, result: OrderResult) {
        match result {
            OrderResult::Done => self.fence.on_accepted(incarnation, fence),
            OrderResult::Failed | OrderResult::Fenced | OrderResult::Unknown => self.doubt(),
        }
        // the slots are read after the fence, so that no earlier order can
        // still change them
        self.read_engine();
    }

    /// nothing believed of the engine counts until it is read again, behind a
    /// higher fence: an order that was sent before may still arrive
    pub(super) fn doubt(&mut self) {
        if self.settings.kind != TargetKind::Engine {
            return;
        }
        self.doubtful = true;
        self.fence.invalidate();
    }

    fn take_over(&mut self, status: &EngineStatus, now: Instant) {
        self.doubtful = false;
        self.max_running = status.max_batch;
        self.slots.reset(status.slots, status.loaded.clone(), now);
        self.runs.adopt(status);
        for adapter in self.runs.pinned(status.incarnation) {
            self.slots.restore_pin(&adapter, now);
        }
        self.loads.forget_orders();
    }

    fn give_up(&mut self) {
        self.refuse_all_waiting(Reason::Superseded);
    }

    fn read_engine_if_due(&mut self, now: Instant) {
        let since = now.saturating_duration_since(self.last_read);
        let is_due = since >= self.settings.read_every;
        if is_due || (self.doubtful && !self.reading && since >= self.settings.read_every / 4) {
            self.last_read = now;
            self.read_engine();
        }
    }

    fn read_engine(&mut self) {
        if self.settings.kind != TargetKind::Engine || self.reading {
            return;
        }
        self.reading = true;
        self.actions.push(SidecarAction::ReadEngine);
    }

    /// what orders carry now; none while the engine must be read first
    pub(super) fn order_fence(&self) -> Option<OrderFence> {
        match self.fence.state() {
            FenceState::Held { incarnation, fence } if !self.doubtful => {
                Some(OrderFence { incarnation, fence })
            }
            _ => None,
        }
    }
}
