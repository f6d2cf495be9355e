use {
    super::{
        admission_exchange::AdmissionExchange,
        control_state::ControlState,
        engine_stats_buffer::EngineStatsBuffer,
        fleet_links::FleetLinks,
        request_exchange_log::{counted_ago_ms, counted_by_text},
        shared_crash_registry::SharedCrashRegistry,
    },
    chalkcart_coordination::{
        dispatch::{
            Decision, DispatchEvent, DispatchRequest, Dispatcher, DueDemands, MeasuredEngines,
            RequestedLoad, SendOutcome, Ticket, TurnWait,
        },
        recovery::FaultSettings,
        relay::RelayCandidate,
        retry_budget::BudgetUsage,
        software_versions::ListedEngines,
    },
    chalkcart_node::runtime::start_thread,
    chalkcart_protocol::peer::{EngineStats, EngineView},
    chalkcart_state::{
        backends::{Backend, BackendId},
        ids::ServiceName,
        published::StorePosition,
    },
    chalkcart_transport::{
        clock,
        links::ViewSink,
        supervision::{thread_end, Guard, Step, ThreadEnd},
    },
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::{
            atomic::Ordering,
            mpsc::{self, RecvTimeoutError},
            Arc, MutexGuard, PoisonError,
        },
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
};

/// Maximum time between two ticks of the dispatcher while requests are queued.
const TICK: Duration = Duration::from_millis(25);
/// Maximum time between two ticks of the dispatcher while no request is queued.
const IDLE_TICK: Duration = Duration::from_millis(250);
/// Minimum time between two messages to the same sidecar.
const URGENT_DEMANDS_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum time between two messages to a sidecar whose engine is in use.
const CHANGED_DEMANDS_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time between two messages to the same sidecar.
const ALL_DEMANDS_INTERVAL: Duration = Duration::from_millis(900);

/// Entry count assumed for the pacing of store calls until a sidecar reports it: when a large
/// fleet starts, all its entries call the store at once.
const ASSUMED_ENTRY_COUNT: u32 = 32;

enum Command {
    Event(DispatchEvent),
    Dispatch {
        ticket: Ticket,
        request: DispatchRequest,
        decision: oneshot::Sender<Decision>,
    },
}

impl Command {
    /// Returns what it is about, for logs.
    fn code(&self) -> &'static str {
        match self {
            Self::Event(event) => event.code(),
            Self::Dispatch { .. } => "request",
        }
    }
}

/// Sends commands to the control thread and reads the state that it publishes.
#[derive(Clone)]
pub struct ControlHandle {
    commands: mpsc::Sender<Command>,
    stats: Arc<EngineStatsBuffer>,
    state: Arc<ControlState>,
    end: ThreadEnd,
}

impl ControlHandle {
    pub fn send_event(&self, event: DispatchEvent) {
        // Nobody needs it once the control thread has ended.
        let _ = self.commands.send(Command::Event(event));
    }

    /// Returns the end of the control thread, without which no request is served.
    pub fn end(&self) -> &ThreadEnd {
        &self.end
    }

    /// Returns whether any back end was reachable recently.
    pub fn can_reach_backends(&self) -> bool {
        self.state.can_reach_backends.load(Ordering::Relaxed)
    }

    /// Returns the number of requests queued for a back end.
    pub fn waiting_count(&self) -> usize {
        self.state.waiting_count.load(Ordering::Relaxed)
    }

    /// Returns the numbers of engines that are measured and slow, as of the last second.
    pub fn measured_engines(&self) -> MeasuredEngines {
        **self.state.measured_engines.load()
    }

    /// Returns the usage of each service's retry budget, as of the last second.
    pub fn budget_usages(&self) -> Arc<Vec<(ServiceName, BudgetUsage)>> {
        self.state.budget_usages.load_full()
    }

    /// Returns the number of entries in the fleet, or an assumed one until a sidecar reports it.
    pub fn entry_count(&self) -> u32 {
        self.reported_entry_count().unwrap_or(ASSUMED_ENTRY_COUNT)
    }

    /// Returns the number of entries in the fleet as reported by sidecars.
    pub fn reported_entry_count(&self) -> Option<u32> {
        let count = self.state.entry_count.load(Ordering::Relaxed);
        (count > 0).then_some(count)
    }

    /// Returns the addresses of the listed engines.
    pub fn engines(&self) -> Arc<Vec<SocketAddr>> {
        self.state.engines.load_full()
    }

    /// Returns the addresses of the listed engines by whether they are leaving.
    pub fn listed_engines(&self) -> Arc<ListedEngines> {
        self.state.listed_engines.load_full()
    }

    /// Returns the engines whose sidecars were lost since the last call.
    pub fn take_lost_sidecars(&self) -> HashSet<SocketAddr> {
        std::mem::take(&mut self.lost_sidecars())
    }

    fn lost_sidecars(&self) -> MutexGuard<'_, HashSet<SocketAddr>> {
        // No holder panics in the middle of an update.
        let lost = self.state.lost_sidecars.lock();
        lost.unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a request until the dispatcher assigns a back end or rejects it; `None` if its
    /// decision failed, or if the control thread has ended.
    pub async fn decide(&self, ticket: Ticket, request: DispatchRequest) -> Option<Decision> {
        let (decision, decided) = oneshot::channel();
        let command = Command::Dispatch {
            ticket,
            request,
            decision,
        };
        self.commands.send(command).ok()?;
        decided.await.ok()
    }
}

impl ViewSink for ControlHandle {
    fn on_view(&self, engine: SocketAddr, view: EngineView) {
        self.send_event(DispatchEvent::ViewReceived { addr: engine, view });
    }

    /// Buffers the stats without waking the control thread.
    fn on_stats(&self, _engine: SocketAddr, backend: &BackendId, stats: EngineStats) {
        self.stats.insert(backend, stats);
    }

    fn on_unresponsive(&self, engine: SocketAddr, backend: &BackendId) {
        self.lost_sidecars().insert(engine);
        self.send_event(DispatchEvent::ViewLost(backend.clone()));
    }

    fn on_demand_result(&self, engine: SocketAddr, is_accepted: bool) {
        self.send_event(DispatchEvent::DemandSent {
            addr: engine,
            is_accepted,
        });
    }
}

/// State of the control thread.
struct ControlLoop {
    dispatcher: Dispatcher,
    links: FleetLinks,
    admission: AdmissionExchange,
    stats: Arc<EngineStatsBuffer>,
    crashes: Arc<SharedCrashRegistry>,
    /// Tasks that wait for the decision on their request.
    pending_decisions: HashMap<Ticket, oneshot::Sender<Decision>>,
    last_urgent_demands: Instant,
    last_changed_demands: Instant,
    last_all_demands: Instant,
    /// Number of entries that share the retry budgets, as logged last.
    logged_entries: u32,
    state: Arc<ControlState>,
}

/// Starts the control thread, which ends when the last handle is dropped, or when it fails again
/// and again.
pub fn start(
    dispatcher: Dispatcher,
    crashes: Arc<SharedCrashRegistry>,
    make_links: impl FnOnce(ControlHandle) -> (FleetLinks, AdmissionExchange),
) -> ControlHandle {
    let (commands, received) = mpsc::channel();
    let stats = Arc::new(EngineStatsBuffer::default());
    let state = Arc::new(ControlState::default());
    let (end_on_drop, end) = thread_end();
    let handle = ControlHandle {
        commands,
        stats: stats.clone(),
        state: state.clone(),
        end,
    };
    let now = clock::now();
    let (links, admission) = make_links(handle.clone());
    let mut control = ControlLoop {
        dispatcher,
        links,
        admission,
        stats,
        crashes,
        pending_decisions: HashMap::new(),
        last_urgent_demands: now,
        last_changed_demands: now,
        last_all_demands: now,
        logged_entries: 0,
        state,
    };
    let run = move || {
        let _end = end_on_drop;
        control.run(&received);
    };
    start_thread("control", None, run);
    handle
}

impl ControlLoop {
    fn run(&mut self, received: &mpsc::Receiver<Command>) {
        let mut guard = Guard::new("control", FaultSettings::default());
        loop {
            let command = match received.recv_timeout(self.next_tick()) {
                Ok(command) => command,
                Err(RecvTimeoutError::Timeout) => Command::Event(DispatchEvent::Tick),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let doing = command.code();
            let mut step = guard.step(doing, || self.step(command));
            if step == Step::Failed {
                step = guard.step("lost decisions", || self.drop_lost_decisions());
            }
            if step == Step::GaveUp {
                return;
            }
        }
    }

    /// Handles a command, and does what has become due.
    fn step(&mut self, command: Command) {
        self.take_stats();
        self.handle(command);
        let can_reach_backends = self.dispatcher.can_reach_backends(clock::now());
        self.state
            .can_reach_backends
            .store(can_reach_backends, Ordering::Relaxed);
        let waiting_count = self.dispatcher.waiting_count();
        self.state
            .waiting_count
            .store(waiting_count, Ordering::Relaxed);
        self.send_demands();
        self.request_permits();
    }

    /// Ends the wait of requests whose decision was lost in a step that failed: none of them was
    /// sent.
    fn drop_lost_decisions(&mut self) {
        let dispatcher = &self.dispatcher;
        let is_lost = |ticket: &Ticket| !dispatcher.is_waiting(*ticket);
        let lost: Vec<Ticket> = self
            .pending_decisions
            .extract_if(|ticket, _| is_lost(ticket))
            .map(|(ticket, _)| ticket)
            .collect();
        for ticket in lost {
            let outcome = SendOutcome::Abandoned;
            self.on_event(DispatchEvent::SendEnded { ticket, outcome });
        }
    }

    fn take_stats(&mut self) {
        for (backend, stats) in self.stats.take_all() {
            self.on_event(DispatchEvent::StatsReceived { backend, stats });
        }
    }

    fn next_tick(&self) -> Duration {
        match self.dispatcher.waiting_count() {
            0 if !self.dispatcher.has_urgent_demands() => IDLE_TICK,
            0 => URGENT_DEMANDS_INTERVAL,
            _ => TICK,
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Event(event) => self.on_event(event),
            Command::Dispatch {
                ticket,
                request,
                decision,
            } => {
                self.pending_decisions.insert(ticket, decision);
                self.on_event(DispatchEvent::RequestArrived { ticket, request });
            }
        }
    }

    fn on_event(&mut self, event: DispatchEvent) {
        // The list has the back ends, the configuration says which of them are engines; either
        // may arrive first.
        let may_change_engines = matches!(
            event,
            DispatchEvent::ListUpdated { .. } | DispatchEvent::ConfigUpdated(_)
        );
        match &event {
            DispatchEvent::RequestWithdrawn(ticket) => {
                self.pending_decisions.remove(ticket);
            }
            DispatchEvent::ListUpdated { at, .. } => self.log_older_list(*at),
            _ => {}
        }
        for (ticket, decision) in self.dispatcher.handle(event, clock::now()) {
            if let Some(sender) = self.pending_decisions.remove(&ticket) {
                // A task that was cancelled withdraws its request by itself.
                let _ = sender.send(decision);
            }
        }
        self.dispatcher
            .take_requested_loads()
            .iter()
            .for_each(log_requested_load);
        self.dispatcher
            .take_turn_waits()
            .iter()
            .for_each(|(_, wait)| log_turn_wait(wait));
        self.crashes.on_completed(self.dispatcher.take_completed());
        self.crashes
            .on_survived(self.dispatcher.take_survived_runs());
        self.crashes
            .on_engine_crashes(self.dispatcher.take_crashes());
        if may_change_engines {
            self.publish_engines();
        }
    }

    /// Publishes the listed engines and connects their sidecars.
    fn publish_engines(&mut self) {
        let dispatcher = &self.dispatcher;
        let is_engine = |b: &&Backend| {
            let service = dispatcher.service(&b.service);
            service.is_some_and(|s| s.engine.is_some())
        };
        let engines: Vec<&Backend> = dispatcher.listed_backends().filter(is_engine).collect();
        self.crashes.set_engines(engines.len());
        let addrs = engines.iter().map(|b| b.addr).collect();
        self.state.engines.store(Arc::new(addrs));
        let (leaving, staying): (Vec<&Backend>, _) = engines.iter().partition(|b| b.leaving);
        let addrs = |engines: Vec<&Backend>| engines.iter().map(|b| b.addr).collect();
        self.state.listed_engines.store(Arc::new(ListedEngines {
            staying: addrs(staying),
            leaving: addrs(leaving),
        }));
        let candidates = engines.iter().map(|b| RelayCandidate {
            engine: b.addr,
            zone: b.zone.clone(),
        });
        let candidates = candidates.collect();
        self.links.set_engines(candidates);
    }

    /// Logs a list that the dispatcher is going to leave out. Lists are paced, which limits the
    /// rate of lines.
    fn log_older_list(&self, at: StorePosition) {
        let in_use = self.dispatcher.list_position();
        if at < in_use {
            log::warn!(at:%, in_use:%; "dispatch: older list not used");
        }
    }

    fn request_permits(&mut self) {
        let queries = self.dispatcher.permit_queries(clock::now());
        queries
            .into_iter()
            .for_each(|query| self.admission.request_permits(query));
    }

    fn due_demands(&self, now: Instant) -> Option<DueDemands> {
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        if elapsed(self.last_all_demands) >= ALL_DEMANDS_INTERVAL {
            return Some(DueDemands::All);
        }
        if elapsed(self.last_changed_demands) >= CHANGED_DEMANDS_INTERVAL {
            return Some(DueDemands::Changed);
        }
        let is_urgent = self.dispatcher.has_urgent_demands();
        (is_urgent && elapsed(self.last_urgent_demands) >= URGENT_DEMANDS_INTERVAL)
            .then_some(DueDemands::Urgent)
    }

    fn send_demands(&mut self) {
        let now = clock::now();
        let Some(due) = self.due_demands(now) else {
            return;
        };
        self.last_urgent_demands = now;
        if due != DueDemands::Urgent {
            self.last_changed_demands = now;
        }
        if due == DueDemands::All {
            self.last_all_demands = now;
            let measured = self.dispatcher.measured_engines();
            self.state.measured_engines.store(Arc::new(measured));
            self.publish_budgets(now);
            if let Some(count) = self.dispatcher.highest_entry_count(now) {
                self.state.entry_count.store(count, Ordering::Relaxed);
                self.crashes.set_entries(count);
            }
        }
        for (engine, demand) in self.dispatcher.demands(due, now) {
            self.links.send_demand(engine, demand, now);
        }
    }
}

impl ControlLoop {
    /// Publishes the usage of the retry budgets, and logs a change of the number of entries that
    /// share them.
    fn publish_budgets(&mut self, now: Instant) {
        let usages = self.dispatcher.budget_usages(now);
        let usage = usages.first().map(|(_, usage)| *usage).unwrap_or_default();
        let entries = usage.entries;
        let before = std::mem::replace(&mut self.logged_entries, entries);
        if before != entries {
            log::info!(
                entries = entries,
                before = before,
                known = usage.known.entries,
                known_ago_s = usage.known.age_s,
                counted_by = counted_by_text(&usage).as_str(),
                counted_ago_ms = counted_ago_ms(&usage);
                "dispatch: entries that share the retry budget"
            );
        }
        self.state.budget_usages.store(Arc::new(usages));
    }
}

fn log_turn_wait(wait: &TurnWait) {
    log::info!(
        digest = wait.digest.to_string().as_str(),
        backend = wait.backend.as_str(),
        pacing = wait.inputs.to_string().as_str();
        "dispatch: waits for a turn"
    );
}

fn log_requested_load(load: &RequestedLoad) {
    let backends: Vec<String> = load.backends.iter().map(ToString::to_string).collect();
    log::info!(
        adapter = load.adapter.to_string().as_str(),
        backends = backends.join(",").as_str(),
        cause = load.cause.code(),
        waiting = load.waiting,
        holders = load.inputs.holders,
        in_memory = load.inputs.in_memory,
        is_reload = load.inputs.is_reload,
        queue_ms = load.inputs.queue.as_millis() as u64,
        spare_slots = load.inputs.spare_slots,
        view_age_ms = load.inputs.view_age.map_or(-1, |age| age.as_millis() as i64),
        slots_short = load.inputs.are_slots_short;
        "dispatch: wished"
    );
}
