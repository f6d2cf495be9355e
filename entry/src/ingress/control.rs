use {
    super::{
        admission_exchange::AdmissionExchange, engine_stats_buffer::EngineStatsBuffer,
        fleet_links::FleetLinks, shared_crash_registry::SharedCrashRegistry,
    },
    anyhow::{Context, Result},
    arc_swap::ArcSwap,
    chalkcart_coordination::{
        dispatch::{
            Decision, DispatchEvent, DispatchRequest, Dispatcher, DueDemands, RequestedLoad, Ticket,
        },
        relay::RelayCandidate,
    },
    chalkcart_protocol::peer::{EngineStats, EngineView},
    chalkcart_state::backends::BackendId,
    chalkcart_transport::{clock, links::ViewSink},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
            mpsc::{self, RecvTimeoutError},
            Arc,
        },
        thread,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
};

/// longest time between two looks at the requests that wait
const TICK: Duration = Duration::from_millis(25);
/// longest time between two looks while none wait
const CALM_TICK: Duration = Duration::from_millis(250);
/// shortest time between two messages to one sidecar
const URGENT_EVERY: Duration = Duration::from_millis(10);
/// longest time between two messages to a sidecar whose engine is in use
const DEMANDS_EVERY: Duration = Duration::from_millis(250);
/// longest time between two messages to one sidecar
const ALL_DEMANDS_EVERY: Duration = Duration::from_millis(900);

/// entries assumed for the pace of calls before a sidecar has counted them: when a
/// large fleet starts, all of it asks the store at once
const ENTRIES_UNCOUNTED: u32 = 32;

enum Command {
    Event(DispatchEvent),
    Dispatch {
        ticket: Ticket,
        ask: DispatchRequest,
        answer: oneshot::Sender<Decision>,
    },
}

/// the traffic threads' way to the control thread
#[derive(Clone)]
pub struct ControlHandle {
    commands: mpsc::Sender<Command>,
    stats: Arc<EngineStatsBuffer>,
    reach: Arc<AtomicBool>,
    waiting: Arc<AtomicUsize>,
    entries: Arc<AtomicU32>,
    engines: Arc<ArcSwap<Vec<SocketAddr>>>,
}

impl ControlHandle {
    pub fn send_event(&self, event: DispatchEvent) {
        // the control thread ends only with the process
        let _ = self.commands.send(Command::Event(event));
    }
    /// whether any back end was heard of lately
    pub fn can_reach_backends(&self) -> bool {
        self.reach.load(Ordering::Relaxed)
    }
    /// requests that wait for a back end
    pub fn waiting_count(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }
    /// entries of the fleet, as the sidecars count them
    pub fn entry_count(&self) -> u32 {
        self.reported_entry_count().unwrap_or(ENTRIES_UNCOUNTED)
    }
    /// the same, none before a sidecar has counted them
    pub fn reported_entry_count(&self) -> Option<u32> {
        let counted = self.entries.load(Ordering::Relaxed);
        (counted > 0).then_some(counted)
    }
    /// engines that are listed
    pub fn engines(&self) -> Arc<Vec<SocketAddr>> {
        self.engines.load_full()
    }
    /// ask for a back end; none if the control thread is gone
    pub async fn decide(&self, ticket: Ticket, ask: DispatchRequest) -> Option<Decision> {
        let (answer, answered) = oneshot::channel();
        let command = Command::Dispatch {
            ticket,
            ask,
            answer,
        };
        self.commands.send(command).ok()?;
        answered.await.ok()
    }
}

impl ViewSink for ControlHandle {
    fn on_view(&self, engine: SocketAddr, view: EngineView) {
        self.send_event(DispatchEvent::ViewReceived { addr: engine, view });
    }
    /// figures wait here, without waking the control thread
    fn on_stats(&self, _engine: SocketAddr, backend: &BackendId, stats: EngineStats) {
        self.stats.insert(backend, stats);
    }
    fn on_unresponsive(&self, _engine: SocketAddr, backend: &BackendId) {
        self.send_event(DispatchEvent::ViewLost(backend.clone()));
    }
    fn on_demand_result(&self, engine: SocketAddr, is_taken: bool) {
        self.send_event(DispatchEvent::DemandSent {
            addr: engine,
            is_accepted: is_taken,
        });
    }
}

/// the control thread's own state
struct ControlLoop {
    dispatcher: Dispatcher,
    links: FleetLinks,
    admission: AdmissionExchange,
    stats: Arc<EngineStatsBuffer>,
    crashes: Arc<SharedCrashRegistry>,
    reply_senders: HashMap<Ticket, oneshot::Sender<Decision>>,
    last_urgent: Instant,
    last_changed: Instant,
    last_all: Instant,
    reach: Arc<AtomicBool>,
    waiting: Arc<AtomicUsize>,
    entries: Arc<AtomicU32>,
    engines: Arc<ArcSwap<Vec<SocketAddr>>>,
}

/// start the control thread; it ends when the last handle is gone
pub fn start(
    dispatcher: Dispatcher,
    crashes: Arc<SharedCrashRegistry>,
    make_links: impl FnOnce(ControlHandle) -> (FleetLinks, AdmissionExchange),
) -> Result<ControlHandle> {
    let (commands, received) = mpsc::channel();
    let stats = Arc::new(EngineStatsBuffer::default());
    let reach = Arc::new(AtomicBool::new(true));
    let waiting = Arc::new(AtomicUsize::new(0));
    let entries = Arc::new(AtomicU32::new(0));
    let engines = Arc::new(ArcSwap::default());
    let handle = ControlHandle {
        commands,
        stats: stats.clone(),
        reach: reach.clone(),
        waiting: waiting.clone(),
        entries: entries.clone(),
        engines: engines.clone(),
    };
    let now = clock::now();
    let (links, admission) = make_links(handle.clone());
    let mut control = ControlLoop {
        dispatcher,
        links,
        admission,
        stats,
        crashes,
        reply_senders: HashMap::new(),
        last_urgent: now,
        last_changed: now,
        last_all: now,
        reach,
        waiting,
        entries,
        engines,
    };
    let builder = thread::Builder::new().name("control".to_string());
    let run = move || control.run(&received);
    builder.spawn(run).context("start the control thread")?;
    Ok(handle)
}

impl ControlLoop {
    fn run(&mut self, received: &mpsc::Receiver<Command>) {
        loop {
            let command = received.recv_timeout(self.next_tick());
            self.take_stats();
            match command {
                Ok(command) => self.handle(command),
                Err(RecvTimeoutError::Timeout) => self.on_event(DispatchEvent::Tick),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let reaches = self.dispatcher.reaches_backends(clock::now());
            self.reach.store(reaches, Ordering::Relaxed);
            let waiting = self.dispatcher.waiting_count();
            self.waiting.store(waiting, Ordering::Relaxed);
            self.send_demands();
            self.request_permits();
        }
    }

    fn take_stats(&mut self) {
        for (backend, stats) in self.stats.take_all() {
            self.on_event(DispatchEvent::StatsReceived { backend, stats });
        }
    }

    fn next_tick(&self) -> Duration {
        match self.dispatcher.waiting_count() {
            0 if !self.dispatcher.has_urgent_demands() => CALM_TICK,
            0 => URGENT_EVERY,
            _ => TICK,
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Event(event) => self.on_event(event),
            Command::Dispatch {
                ticket,
                ask,
                answer,
            } => {
                self.reply_senders.insert(ticket, answer);
                self.on_event(DispatchEvent::RequestArrived {
                    ticket,
                    request: ask,
                });
            }
        }
    }

    fn on_event(&mut self, event: DispatchEvent) {
        // which back ends are engines stands in the configuration, which may
        // come after the list
        let may_change_engines = matches!(
            event,
            DispatchEvent::ListUpdated { .. } | DispatchEvent::ConfigUpdated(_)
        );
        if let DispatchEvent::RequestWithdrawn(ticket) = &event {
            self.reply_senders.remove(ticket);
        }
        for (ticket, decision) in self.dispatcher.handle(event, clock::now()) {
            if let Some(answer) = self.reply_senders.remove(&ticket) {
                // an asker that is gone says so by itself
                let _ = answer.send(decision);
            }
        }
        self.dispatcher
            .take_requested_loads()
            .iter()
            .for_each(log_requested_load);
        self.crashes.on_completed(self.dispatcher.take_completed());
        self.crashes
            .on_engine_crashes(self.dispatcher.take_crashes());
        if may_change_engines {
            let dispatcher = &self.dispatcher;
            let engines = dispatcher.listed_backends().filter(|b| {
                let service = dispatcher.service(&b.service);
                service.is_some_and(|s| s.engine.is_some())
            });
            let candidates = engines.map(|b| RelayCandidate {
                engine: b.addr,
                zone: b.zone.clone(),
            });
            let candidates: Vec<RelayCandidate> = candidates.collect();
            let engines = candidates.iter().map(|c| c.engine).collect();
            self.engines.store(Arc::new(engines));
            self.links.set_engines(candidates);
        }
    }

    fn request_permits(&mut self) {
        let questions = self.dispatcher.permit_queries(clock::now());
        questions
            .into_iter()
            .for_each(|q| self.admission.request_permits(q));
    }

    fn demands_due(&self, now: Instant) -> Option<DueDemands> {
        let passed = |since: Instant| now.saturating_duration_since(since);
        if passed(self.last_all) >= ALL_DEMANDS_EVERY {
            return Some(DueDemands::All);
        }
        if passed(self.last_changed) >= DEMANDS_EVERY {
            return Some(DueDemands::Changed);
        }
        let is_urgent = self.dispatcher.has_urgent_demands();
        (is_urgent && passed(self.last_urgent) >= URGENT_EVERY).then_some(DueDemands::Urgent)
    }

    fn send_demands(&mut self) {
        let now = clock::now();
        let Some(due) = self.demands_due(now) else {
            return;
        };
        self.last_urgent = now;
        if due != DueDemands::Urgent {
            self.last_changed = now;
        }
        if due == DueDemands::All {
            self.last_all = now;
            if let Some(entries) = self.dispatcher.reported_entry_count() {
                self.entries.store(entries, Ordering::Relaxed);
            }
        }
        for (engine, demand) in self.dispatcher.demands(due, now) {
            self.links.send(engine, demand, now);
        }
    }
}

fn log_requested_load(wished: &RequestedLoad) {
    let backends: Vec<String> = wished.backends.iter().map(ToString::to_string).collect();
    log::info!(
        adapter = wished.adapter.to_string().as_str(),
        backends = backends.join(",").as_str(),
        cause = wished.cause.code(),
        waiting = wished.waiting;
        "dispatch: wished"
    );
}
