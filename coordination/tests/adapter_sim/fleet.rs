//! The whole simulation: clients, entries, sidecars and engines.

use {
    super::{
        engine::{Engine, EngineEvent},
        entry::{DelayedView, Entry},
        ms,
        sidecar::Sidecar,
        workload::Workload,
        Outcome, Scenario, SimTime, MODEL, SERVICE, STEP_MS,
    },
    chalkcart_coordination::{
        dispatch::{DispatchEvent, DispatchSettings, SendOutcome, Ticket},
        placement::{OrderKind, PlacementControl, PlacementEvent, PlacementSettings},
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
/// Relative times of a step, by engine.
const SLOWNESS: [f64; 3] = [0.7, 0.7, 1.7];
/// Now and then an engine takes this many times as long for a while.
const SLOWDOWN: f64 = 2.5;
const SLOWDOWN_MS: SimTime = 600;
const SLOWDOWN_RATIO: f64 = 0.15;

pub struct Fleet {
    pub scenario: Scenario,
    pub start: Instant,
    pub rng: StdRng,
    pub engines: Vec<Engine>,
    pub sidecars: Vec<Sidecar>,
    pub entries: Vec<Entry>,
    pub demands: BTreeMap<(SimTime, u64), (usize, AdapterDemand)>,
    pub slow_until: Vec<SimTime>,
    pub next_ticket: Ticket,
    pub attempts: BTreeMap<usize, usize>,
    pub outcome: Outcome,
    pub requested: BTreeSet<u32>,
    /// Why entries requested a load last, by order and engine.
    pub causes: BTreeMap<(String, usize), &'static str>,
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

pub fn addr(engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, engine as u8], 80))
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Self {
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
                software_version: None,
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

    pub fn at(&self, now: SimTime) -> Instant {
        self.start + ms(now)
    }

    pub fn step(&mut self, now: SimTime) {
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

    pub fn run_engines(&mut self, now: SimTime) {
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

    pub fn on_engine_event(&mut self, event: EngineEvent, now: SimTime) {
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

    pub fn end_send(&mut self, entry: usize, ticket: Ticket, outcome: SendOutcome, now: SimTime) {
        let event = DispatchEvent::SendEnded { ticket, outcome };
        let at = self.at(now);
        let decided = self.entries[entry].dispatcher.handle(event, at);
        self.on_decisions(entry, decided, now);
    }

    pub fn run_entry(&mut self, entry: usize, now: SimTime) {
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

    pub fn finish(self) -> Outcome {
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
