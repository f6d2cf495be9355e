//! The whole simulation: clients, entries, sidecars and engines.

use {
    super::{
        engine::{Engine, EngineEvent, EngineRequest},
        entry::{request, DelayedView, Entry},
        ms,
        outcome::StreamRecord,
        workload::{Stream, Workload},
        Outcome, SimTime, MODEL, SERVICE, STEP_MS,
    },
    chalkcart_coordination::{
        dispatch::{Decision, DispatchEvent, DispatchSettings, SendOutcome, Ticket},
        features::FeatureSwitches,
        placement::{
            OrderKind, PlacementAction, PlacementControl, PlacementEvent, PlacementSettings,
        },
    },
    chalkcart_protocol::peer::{AdapterDemand, EngineView},
    chalkcart_state::backends::Backend,
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Instant,
    },
};

/// Delay of a demand on its way to a sidecar, in ms.
const DEMAND_DELAY_MS: SimTime = 10;
/// Bounds of the delay of a view on its way to an entry, in ms.
const VIEW_DELAY_MS: std::ops::Range<SimTime> = 100..200;
/// Time between two views that differ in stats only, in ms.
const STATS_INTERVAL_MS: SimTime = 100;
/// Clients' attempts for one stream.
const MAX_CLIENT_ATTEMPTS: usize = 3;
/// Relative times of a step, by engine.
const SLOWNESS: [f64; 3] = [0.7, 0.7, 1.7];
/// Now and then an engine takes this many times as long for a while.
const SLOWDOWN: f64 = 2.5;
const SLOWDOWN_MS: SimTime = 600;
const SLOWDOWN_RATIO: f64 = 0.15;
const CRASH_DOWN_MS: SimTime = 2_000;

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub entries: usize,
    pub engines: usize,
    pub adapter_slots: u32,
    /// Adapters in use at a time; `None`: those of deployment U.
    pub adapters_in_use: Option<usize>,
    pub is_shifting: bool,
    pub seconds: SimTime,
    /// Factor of the usual rate, and times of bursts in ms with theirs.
    pub rate: f64,
    pub burst: Option<(SimTime, SimTime, f64)>,
    /// When a quarter of the engines crashes.
    pub crash_at: Option<SimTime>,
    pub features: FeatureSwitches,
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            entries: 21,
            engines: 38,
            adapter_slots: 5,
            adapters_in_use: None,
            is_shifting: true,
            seconds: 30,
            rate: 1.0,
            burst: None,
            crash_at: None,
            features: FeatureSwitches::default(),
            seed: 1,
        }
    }
}

struct Sidecar {
    control: PlacementControl,
    polled_at: SimTime,
    published: EngineView,
    published_at: SimTime,
}

struct Fleet {
    scenario: Scenario,
    start: Instant,
    rng: StdRng,
    engines: Vec<Engine>,
    sidecars: Vec<Sidecar>,
    entries: Vec<Entry>,
    demands: BTreeMap<(SimTime, u64), (usize, AdapterDemand)>,
    slow_until: Vec<SimTime>,
    next_ticket: Ticket,
    attempts: BTreeMap<usize, usize>,
    outcome: Outcome,
    requested: BTreeSet<u32>,
    /// Why entries requested a load last, by order and engine.
    causes: BTreeMap<(String, usize), &'static str>,
}

/// Runs a scenario.
pub fn run(scenario: Scenario) -> Outcome {
    let mut fleet = Fleet::new(scenario);
    let mut workload = Workload::new(scenario.seed, scenario.adapters_in_use);
    let end = scenario.seconds * 1_000;
    // the last streams get some time to end
    let mut now = 0;
    while now < end + 8_000 {
        now += STEP_MS;
        let rate = match scenario.burst {
            Some((from, until, factor)) if (from..until).contains(&now) => scenario.rate * factor,
            _ => scenario.rate,
        };
        if scenario.crash_at == Some(now) {
            fleet.crash(now);
        }
        fleet.step(now);
        if (1_500..end).contains(&now) {
            for stream in workload.arrivals(now, STEP_MS, rate, scenario.is_shifting) {
                fleet.on_client(stream, now);
            }
        }
    }
    fleet.finish()
}

/// Returns where else an adapter is that an engine loads from the weight store.
fn repeat_cause(engines: &[Engine], engine: usize, kind: &OrderKind) -> Option<&'static str> {
    let OrderKind::LoadAdapter(adapter) = kind else {
        return None;
    };
    let name = &adapter.adapter;
    if engines[engine].has_in_host_memory(name) {
        return None;
    }
    let others = || engines.iter().enumerate().filter(|(n, _)| *n != engine);
    if others().any(|(_, e)| e.holds(name)) {
        return Some("held elsewhere");
    }
    if others().any(|(_, e)| e.is_loading(name)) {
        return Some("loading elsewhere");
    }
    let in_host = || others().filter(|(_, e)| e.has_in_host_memory(name));
    if in_host().any(|(_, e)| e.has_idle_slot()) {
        return Some("in host memory elsewhere, idle slot there");
    }
    match in_host().next() {
        Some(_) => Some("in host memory elsewhere, all slots in use there"),
        None => Some("in no host memory"),
    }
}

fn addr(engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, engine as u8], 80))
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let start = Instant::now();
        let list: Vec<Backend> = (0..scenario.engines)
            .map(|n| Backend {
                id: format!("{SERVICE}-{n}").into(),
                service: SERVICE.to_string(),
                addr: addr(n),
                zone: "z".to_string(),
                slots: 64,
                leaving: false,
                slow_start_left: ms(0),
                models: vec![MODEL.to_string()],
                held: Vec::new(),
            })
            .collect();
        let settings = DispatchSettings {
            features: scenario.features,
            ..DispatchSettings::default()
        };
        let entries = (0..scenario.entries).map(|n| {
            let mut entry = Entry::new(n, settings.clone(), list.clone(), start);
            entry.configure(scenario.adapter_slots, start);
            entry
        });
        let placement = PlacementSettings {
            features: scenario.features,
            ..PlacementSettings::default()
        };
        let sidecars = (0..scenario.engines).map(|_| Sidecar {
            control: PlacementControl::new(placement.clone(), 1),
            polled_at: 0,
            published: EngineView::default(),
            published_at: 0,
        });
        let engines = (0..scenario.engines)
            .map(|n| Engine::new(SLOWNESS[n % 3], scenario.adapter_slots as usize));
        Self {
            scenario,
            start,
            rng: StdRng::seed_from_u64(scenario.seed ^ 0x5eed),
            engines: engines.collect(),
            sidecars: sidecars.collect(),
            entries: entries.collect(),
            demands: BTreeMap::new(),
            slow_until: vec![0; scenario.engines],
            next_ticket: 0,
            attempts: BTreeMap::new(),
            outcome: Outcome::default(),
            requested: BTreeSet::new(),
            causes: BTreeMap::new(),
        }
    }

    fn at(&self, now: SimTime) -> Instant {
        self.start + ms(now)
    }

    fn step(&mut self, now: SimTime) {
        self.run_engines(now);
        while let Some(entry) = self.demands.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let (engine, demand) = entry.remove();
            let at = self.start + ms(now);
            self.sidecars[engine]
                .control
                .handle(PlacementEvent::Demand(demand), at);
        }
        for engine in 0..self.engines.len() {
            self.run_sidecar(engine, now);
        }
        for entry in 0..self.entries.len() {
            self.run_entry(entry, now);
        }
    }

    fn run_engines(&mut self, now: SimTime) {
        for engine in 0..self.engines.len() {
            // the time between two slow phases makes them SLOWDOWN_RATIO of the time
            if now >= self.slow_until[engine] {
                let chance =
                    STEP_MS as f64 / SLOWDOWN_MS as f64 * SLOWDOWN_RATIO / (1.0 - SLOWDOWN_RATIO);
                if self.rng.random::<f64>() < chance {
                    self.slow_until[engine] = now + SLOWDOWN_MS;
                }
            }
            let slowdown = match now < self.slow_until[engine] {
                true => SLOWDOWN,
                false => 1.0,
            };
            for event in self.engines[engine].advance(slowdown, now) {
                self.on_engine_event(event, now);
            }
        }
    }

    fn on_engine_event(&mut self, event: EngineEvent, now: SimTime) {
        let EngineEvent::Stream {
            entry,
            ticket,
            is_first,
            is_last,
        } = event;
        let at = self.at(now);
        let Some((_, record, _)) = self.entries[entry].streams.get(&ticket) else {
            return;
        };
        let record = &mut self.outcome.streams[*record];
        match record.first_event_at {
            None => record.first_event_at = Some(now),
            Some(_) => {
                let gap = now - record.last_event_at;
                record.longest_gap_ms = record.longest_gap_ms.max(gap);
            }
        }
        record.last_event_at = now;
        record.is_complete |= is_last;
        if is_first {
            let event = DispatchEvent::ResponseStarted(ticket);
            let decided = self.entries[entry].dispatcher.handle(event, at);
            self.on_decisions(entry, decided, now);
        }
        if is_last {
            self.entries[entry].streams.remove(&ticket);
            self.end_send(entry, ticket, SendOutcome::Answered, now);
        }
    }

    fn end_send(&mut self, entry: usize, ticket: Ticket, outcome: SendOutcome, now: SimTime) {
        let event = DispatchEvent::SendEnded { ticket, outcome };
        let at = self.at(now);
        let decided = self.entries[entry].dispatcher.handle(event, at);
        self.on_decisions(entry, decided, now);
    }

    fn run_sidecar(&mut self, engine: usize, now: SimTime) {
        let at = self.at(now);
        let sidecar = &mut self.sidecars[engine];
        match sidecar.control.next_action(at) {
            PlacementAction::Identify { .. } => {
                let name =
                    (!self.engines[engine].is_down(now)).then(|| format!("{SERVICE}-{engine}"));
                sidecar.control.handle(PlacementEvent::Identified(name), at);
            }
            PlacementAction::Order(order) => {
                if let Some(place) = repeat_cause(&self.engines, engine, &order.kind) {
                    let cause = self.causes.get(&(order.kind.to_string(), engine));
                    let key = (place, cause.copied().unwrap_or("none"));
                    *self.outcome.repeats.entry(key).or_default() += 1;
                }
                let running: usize = self.engines.iter().map(Engine::store_loads_running).sum();
                let answer = self.engines[engine].order(&order.kind, running, now);
                let event = PlacementEvent::OrderAnswered { order, answer };
                sidecar.control.handle(event, at);
                self.poll(engine, now);
            }
            PlacementAction::Read { after } => {
                if ms(now - sidecar.polled_at) >= after {
                    self.poll(engine, now);
                }
            }
            PlacementAction::BackOff { .. } => {}
        }
        self.publish(engine, now);
    }

    fn poll(&mut self, engine: usize, now: SimTime) {
        let event = match self.engines[engine].is_down(now) {
            true => PlacementEvent::ReportFailed { is_down: true },
            false => PlacementEvent::Report(self.engines[engine].report()),
        };
        let at = self.at(now);
        self.sidecars[engine].control.handle(event, at);
        self.sidecars[engine].polled_at = now;
    }

    fn publish(&mut self, engine: usize, now: SimTime) {
        let sidecar = &mut self.sidecars[engine];
        let mut view = sidecar.control.view(self.start + ms(now));
        let is_due = now >= sidecar.published_at + STATS_INTERVAL_MS;
        if !(view.is_urgent_after(&sidecar.published) || is_due && view != sidecar.published) {
            return;
        }
        let is_first = sidecar.published.backend != view.backend;
        sidecar.published_at = now;
        sidecar.published = view.clone();
        if !is_first {
            // only full views list them
            view.lately.clear();
        }
        for entry in &mut self.entries {
            let delay = self.rng.random_range(VIEW_DELAY_MS);
            let last = entry.views.iter().rev().find(|v| v.addr == addr(engine));
            let delivered_at = (now + delay).max(last.map_or(0, |v| v.at));
            let position = entry.views.partition_point(|v| v.at <= delivered_at);
            entry.views.insert(
                position,
                DelayedView {
                    at: delivered_at,
                    addr: addr(engine),
                    view: view.clone(),
                },
            );
        }
    }

    fn run_entry(&mut self, entry: usize, now: SimTime) {
        let at = self.at(now);
        while self.entries[entry]
            .views
            .front()
            .is_some_and(|v| v.at <= now)
        {
            let Some(DelayedView { addr, view, .. }) = self.entries[entry].views.pop_front() else {
                break;
            };
            let event = DispatchEvent::ViewReceived { addr, view };
            let decided = self.entries[entry].dispatcher.handle(event, at);
            self.on_decisions(entry, decided, now);
        }
        while let Some(retry) = self.entries[entry].retries.first_entry() {
            if retry.key().0 > now {
                break;
            }
            let ((_, record), stream) = retry.remove_entry();
            self.submit(entry, stream, record, true, now);
        }
        if self.entries[entry].is_tick_due(entry, now) {
            let decided = self.entries[entry]
                .dispatcher
                .handle(DispatchEvent::Tick, at);
            self.on_decisions(entry, decided, now);
        }
        for load in self.entries[entry].dispatcher.take_requested_loads() {
            *self
                .outcome
                .requested_loads
                .entry(load.cause.code())
                .or_default() += 1;
            for id in &load.backends {
                let engine = (0..self.engines.len()).find(|n| id.name == format!("{SERVICE}-{n}"));
                let code = match load.backends.len() {
                    1 => load.cause.code(),
                    _ if load.cause.code() == "home" => "homes",
                    _ => load.cause.code(),
                };
                let key = (
                    OrderKind::LoadAdapter(load.adapter.clone()).to_string(),
                    engine.expect("an engine"),
                );
                self.causes.insert(key, code);
            }
        }
        self.entries[entry].dispatcher.take_completed();
        for (engine_addr, demand) in self.entries[entry].demands(now, at) {
            let engine = (0..self.engines.len()).find(|n| addr(*n) == engine_addr);
            self.next_ticket += 1;
            let key = (now + DEMAND_DELAY_MS, self.next_ticket);
            self.demands
                .insert(key, (engine.expect("a listed engine"), demand));
        }
    }

    fn on_client(&mut self, stream: Stream, now: SimTime) {
        self.requested.insert(stream.adapter);
        let record = self.outcome.streams.len();
        self.outcome.streams.push(StreamRecord {
            requested_at: now,
            objective_ms: stream.kind.objective_ms,
            ..StreamRecord::default()
        });
        let entry = self.rng.random_range(0..self.entries.len());
        self.submit(entry, stream, record, false, now);
    }

    fn submit(
        &mut self,
        entry: usize,
        stream: Stream,
        record: usize,
        was_rejected: bool,
        now: SimTime,
    ) {
        *self.attempts.entry(record).or_default() += 1;
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let at = self.at(now);
        let left = (stream.arrived_at + stream.kind.deadline_ms).saturating_sub(now);
        let request = request(&stream, was_rejected, at, ms(left));
        self.entries[entry]
            .streams
            .insert(ticket, (stream, record, request.clone()));
        let event = DispatchEvent::RequestArrived { ticket, request };
        let decided = self.entries[entry].dispatcher.handle(event, at);
        self.on_decisions(entry, decided, now);
    }

    fn on_decisions(&mut self, entry: usize, decided: Vec<(Ticket, Decision)>, now: SimTime) {
        for (ticket, decision) in decided {
            match decision {
                Decision::Send(assignment) => {
                    let Some((stream, record, _)) = self.entries[entry].streams.get(&ticket) else {
                        continue;
                    };
                    self.outcome.streams[*record].sent_at = Some(now);
                    let sent = EngineRequest {
                        ticket,
                        entry,
                        adapter: format!("a{}", stream.adapter),
                        shared_tokens: stream.kind.shared_tokens,
                        own_tokens: stream.own_tokens,
                        events: stream.kind.events,
                        urgency: assignment.urgency,
                    };
                    let engine = (0..self.engines.len()).find(|n| addr(*n) == assignment.addr);
                    let engine = &mut self.engines[engine.expect("a listed engine")];
                    if engine.is_down(now) {
                        self.retry_send(entry, ticket, SendOutcome::Unreachable, now);
                    } else if engine.accept(sent).is_err() {
                        self.outcome.misdirected += 1;
                        self.retry_send(entry, ticket, SendOutcome::Misdirected, now);
                    }
                }
                Decision::Reject {
                    cause, retry_after, ..
                } => {
                    let Some((stream, record, _)) = self.entries[entry].streams.remove(&ticket)
                    else {
                        continue;
                    };
                    *self.outcome.rejections.entry(cause.code()).or_default() += 1;
                    let at = now + retry_after.as_millis() as SimTime;
                    let is_over = at >= stream.arrived_at + stream.kind.deadline_ms
                        || self.attempts[&record] >= MAX_CLIENT_ATTEMPTS;
                    if !is_over {
                        self.entries[entry].retries.insert((at, record), stream);
                    }
                }
            }
        }
    }

    /// Ends a send that did not run, and dispatches the request again.
    fn retry_send(&mut self, entry: usize, ticket: Ticket, outcome: SendOutcome, now: SimTime) {
        self.end_send(entry, ticket, outcome, now);
        let Some((stream, record, mut request)) = self.entries[entry].streams.remove(&ticket)
        else {
            return;
        };
        request.send_count += 1;
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.entries[entry]
            .streams
            .insert(ticket, (stream, record, request.clone()));
        let event = DispatchEvent::RequestArrived { ticket, request };
        let at = self.at(now);
        let decided = self.entries[entry].dispatcher.handle(event, at);
        self.on_decisions(entry, decided, now);
    }

    /// Restarts a quarter of the engines at once; clients request the cut streams again.
    fn crash(&mut self, now: SimTime) {
        for engine in (0..self.engines.len()).filter(|n| n % 4 == 0) {
            for cut in self.engines[engine].crash(now, CRASH_DOWN_MS) {
                let entry = cut.entry;
                self.end_send(entry, cut.ticket, SendOutcome::Broken, now);
                let Some((stream, record, _)) = self.entries[entry].streams.remove(&cut.ticket)
                else {
                    continue;
                };
                self.entries[entry]
                    .retries
                    .insert((now + 20, record), stream);
            }
        }
    }

    fn finish(self) -> Outcome {
        let mut outcome = self.outcome;
        for engine in &self.engines {
            for name in &engine.counts.store_loads {
                *outcome.store_loads.entry(name.clone()).or_default() += 1;
            }
            outcome.reloads += engine.counts.reloads;
            outcome.evictions += engine.counts.evictions;
        }
        outcome.requested_adapters = self.requested.len();
        outcome
    }
}
