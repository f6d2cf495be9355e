//! Simulation of entries that choose engines for streams at the same moment: the real dispatcher
//! of each entry, engines with the steps of docs/design/uneven-load.md, and views with a delay.

// each user needs only some of the items
#![allow(dead_code)]

mod engine;
mod outcome;

pub use outcome::Outcome;
use {
    super::dispatch_fixture::{backend, digest, table, ENGINES},
    chalkcart_coordination::{
        dispatch::{
            Decision, DispatchEvent, DispatchRequest, DispatchSettings, Dispatcher, DueDemands,
            SendOutcome, Ticket,
        },
        features::FeatureSwitches,
    },
    chalkcart_protocol::peer::EngineView,
    chalkcart_state::{
        backends::{AdapterRef, Backend},
        ingress::SharedParts,
        published::StorePosition,
        regions::AllowedRegions,
    },
    engine::{Engine, LOAD_MS, SLOTS, TOKENS_PER_EVENT},
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// One-way delay between boxes, in ms.
const LINK_MS: f64 = 1.0;
const TICK_MS: f64 = 25.0;
const DEMANDS_MS: f64 = 250.0;
const URGENT_DEMANDS_MS: f64 = 10.0;
/// How long an engine is slow for a moment, in ms.
const SLOW_MS: f64 = 600.0;
const GAP_MS: u64 = 400;
/// Time after which a sidecar has measured that its engine became slow, or fast again, in ms.
const MEASURE_MS: f64 = 1_500.0;
const ADAPTERS: usize = 10_000;
const ZIPF: f64 = 1.2;
/// Time at the start that is not counted, in ms: adapters are being loaded.
const WARM_UP_MS: f64 = 3_000.0;
/// Time at the end in which streams arrive but are not counted, in ms: most of them do not end.
const COOL_DOWN_MS: f64 = 5_000.0;

#[derive(Debug, Clone)]
pub struct Scenario {
    pub entries: usize,
    pub engines: usize,
    /// Relative times of the thirds of the engines.
    pub thirds: [f64; 3],
    pub short_per_s: f64,
    pub long_per_s: f64,
    pub seconds: f64,
    /// Interval of the reports of an engine's stats, in ms.
    pub report_ms: f64,
    /// Share of the time in which an engine is slow for a moment.
    pub slow_share: f64,
    /// How many times as long a sixth of the engines takes, from 4 s on for 6.5 s.
    pub degradation: f64,
    /// Whether reports hold the pending prompt tokens.
    pub reports_tokens: bool,
    pub features: FeatureSwitches,
    pub seed: u64,
}

/// A request at an engine.
#[derive(Debug, Clone)]
pub struct Run {
    pub ticket: Ticket,
    pub entry: usize,
    pub adapter: AdapterRef,
    pub urgency: u8,
    pub queued_at: f64,
    /// Prompt tokens that are not prefilled yet.
    pub unread_tokens: u32,
    pub output_tokens: u32,
    pub made_tokens: u32,
    pub last_event_at: Option<f64>,
    pub longest_pause_ms: f64,
    pub arrived_at: f64,
    /// Whether it arrived in the time that is counted.
    pub is_counted: bool,
    pub deadline: f64,
    pub is_first_late: bool,
}

impl Run {
    fn on_event(&mut self, now: f64) {
        match self.last_event_at.replace(now) {
            Some(before) => self.longest_pause_ms = self.longest_pause_ms.max(now - before),
            None => self.is_first_late = now + LINK_MS - self.arrived_at > 1_000.0,
        }
    }
}

#[derive(Debug)]
enum Event {
    Arrival,
    Tick(usize),
    Demands(usize, bool),
    Queued(usize, Box<Run>),
    StepEnd(usize),
    LoadEnd(usize, AdapterRef),
    Report(usize),
    View(usize, Box<EngineView>, bool),
    Slow(usize),
    Degrade(f64),
    DegradeKnown(f64),
}

struct Entry {
    dispatcher: Dispatcher,
    waiting: BTreeMap<Ticket, (DispatchRequest, f64, f64)>,
}

pub struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    /// For arrivals alone, so that both runs of a comparison have the same streams.
    arrivals: StdRng,
    /// For slow phases alone, for the same reason.
    phases: StdRng,
    start: Instant,
    now: f64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: BTreeMap<(u64, u64), Event>,
    next_id: u64,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    /// Cumulative popularity of the adapters.
    popularity: Vec<f64>,
    next_ticket: Ticket,
    pub outcome: Outcome,
}

fn engine_addr(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 80))
}

impl Simulation {
    /// Runs the scenario and returns what became of its streams.
    pub fn run(scenario: Scenario) -> Outcome {
        let mut simulation = Self::new(scenario);
        let end = simulation.scenario.seconds * 1e3;
        while let Some(Reverse(key)) = simulation.events.pop() {
            simulation.now = key.0 as f64 / 1e3;
            if simulation.now > end {
                break;
            }
            let event = simulation.payloads.remove(&key).expect("a payload");
            simulation.handle(event);
        }
        simulation.outcome
    }

    fn new(scenario: Scenario) -> Self {
        let start = Instant::now();
        let list: Vec<Backend> = (0..scenario.engines)
            .map(|n| Backend {
                id: format!("{ENGINES}-{n}").as_str().into(),
                addr: engine_addr(n),
                slots: SLOTS as u32,
                ..backend(ENGINES, 0)
            })
            .collect();
        let entries = (0..scenario.entries).map(|n| {
            let mut dispatcher = Dispatcher::new(DispatchSettings {
                entry: format!("entry-{n}"),
                zone: "z".to_string(),
                features: scenario.features,
                ..DispatchSettings::default()
            });
            dispatcher.handle(DispatchEvent::ConfigUpdated(Arc::new(table())), start);
            let list = list.clone();
            dispatcher.handle(
                DispatchEvent::ListUpdated {
                    at: StorePosition::new(1, 1),
                    list,
                },
                start,
            );
            Entry {
                dispatcher,
                waiting: BTreeMap::new(),
            }
        });
        let engines = (0..scenario.engines).map(|n| {
            let relative_time = scenario.thirds[n % 3];
            Engine::new(format!("{ENGINES}-{n}"), relative_time)
        });
        let mut total = 0.0;
        let popularity = (1..=ADAPTERS).map(|rank| {
            total += (rank as f64).powf(-ZIPF);
            total
        });
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(scenario.seed),
            arrivals: StdRng::seed_from_u64(scenario.seed + 1),
            phases: StdRng::seed_from_u64(scenario.seed + 2),
            start,
            now: 0.0,
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            next_id: 0,
            entries: entries.collect(),
            engines: engines.collect(),
            popularity: popularity.collect(),
            next_ticket: 0,
            outcome: Outcome::default(),
            scenario,
        };
        for engine in 0..simulation.engines.len() {
            simulation.publish(engine, true);
            let first = simulation.rng.random::<f64>() * simulation.scenario.report_ms;
            simulation.schedule(first, Event::Report(engine));
            if simulation.scenario.slow_share > 0.0 {
                let first =
                    simulation.phases.random::<f64>() * SLOW_MS / simulation.scenario.slow_share;
                simulation.schedule(first, Event::Slow(engine));
            }
        }
        for entry in 0..simulation.entries.len() {
            let first = simulation.rng.random::<f64>() * TICK_MS;
            simulation.schedule(first, Event::Tick(entry));
            simulation.schedule(10.0 + first, Event::Demands(entry, false));
        }
        if simulation.scenario.degradation != 1.0 {
            let degradation = simulation.scenario.degradation;
            for (at, factor) in [(4_000.0, degradation), (10_500.0, 1.0)] {
                simulation.schedule(at, Event::Degrade(factor));
                simulation.schedule(at + MEASURE_MS, Event::DegradeKnown(factor));
            }
        }
        simulation.schedule(100.0, Event::Arrival);
        simulation
    }

    fn schedule(&mut self, delay_ms: f64, event: Event) {
        let at = ((self.now + delay_ms) * 1e3).round() as u64;
        self.next_id += 1;
        let key = (at, self.next_id);
        self.events.push(Reverse(key));
        self.payloads.insert(key, event);
    }

    fn clock(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now / 1e3)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.on_arrival(),
            Event::Tick(entry) => {
                self.schedule(TICK_MS, Event::Tick(entry));
                self.abandon_late(entry);
                self.dispatch(entry, DispatchEvent::Tick);
            }
            Event::Demands(entry, is_urgent) => self.on_demands(entry, is_urgent),
            Event::Queued(engine, mut run) => {
                run.queued_at = self.now;
                self.engines[engine].queued.push(*run);
                self.start_step(engine);
            }
            Event::StepEnd(engine) => self.on_step_end(engine),
            Event::LoadEnd(engine, adapter) => {
                let state = &mut self.engines[engine];
                state.loading.remove(&adapter);
                state.held.push_back(adapter);
                self.publish(engine, true);
            }
            Event::Report(engine) => {
                self.publish(engine, false);
                self.schedule(self.scenario.report_ms, Event::Report(engine));
            }
            Event::View(engine, view, is_whole) => self.on_view(engine, &view, is_whole),
            Event::Degrade(factor) => {
                let engines = self.engines.iter_mut().step_by(6);
                engines.for_each(|engine| engine.degradation = factor);
            }
            Event::DegradeKnown(factor) => {
                let engines = self.engines.iter_mut().step_by(6);
                engines.for_each(|engine| engine.known_degradation = factor);
            }
            Event::Slow(engine) => {
                self.engines[engine].slow_until = self.now + SLOW_MS;
                let pause =
                    SLOW_MS / self.scenario.slow_share * (0.5 + self.phases.random::<f64>());
                self.schedule(pause, Event::Slow(engine));
            }
        }
    }

    fn publish(&mut self, engine: usize, is_whole: bool) {
        let mut view = self.engines[engine].view(self.entries.len() as u32);
        if !self.scenario.reports_tokens {
            view.figures.prefill_tokens = None;
        }
        let delay = LINK_MS + self.rng.random::<f64>() * 12.0;
        self.schedule(delay, Event::View(engine, Box::new(view), is_whole));
    }

    fn on_view(&mut self, engine: usize, view: &EngineView, is_whole: bool) {
        for entry in 0..self.entries.len() {
            let event = match is_whole {
                true => DispatchEvent::ViewReceived {
                    addr: engine_addr(engine),
                    view: view.clone(),
                },
                false => DispatchEvent::StatsReceived {
                    backend: view.backend.clone(),
                    stats: view.figures,
                },
            };
            self.dispatch(entry, event);
        }
    }

    fn on_arrival(&mut self) {
        let per_s = self.scenario.short_per_s + self.scenario.long_per_s;
        let pause = -(1.0 - self.arrivals.random::<f64>()).ln() * 1e3 / per_s;
        self.schedule(pause, Event::Arrival);
        let is_long = self.arrivals.random::<f64>() * per_s < self.scenario.long_per_s;
        let (shared, own, events, deadline_ms) = match is_long {
            true => (350, 1_110.0, 57, 15_000.0),
            false => (568, 1_800.0, 8, 5_000.0),
        };
        // sizes vary widely: twelve uniform numbers are nearly normal
        let normal: f64 = (0..12).map(|_| self.arrivals.random::<f64>()).sum::<f64>() - 6.0;
        let own = (own * (0.7 * normal - 0.245).exp()).clamp(50.0, 6_870.0) as u32;
        let pick = self.arrivals.random::<f64>() * self.popularity[ADAPTERS - 1];
        let rank = self.popularity.partition_point(|sum| *sum < pick);
        let entry = (self.arrivals.random::<f64>() * self.entries.len() as f64) as usize;
        let now = self.clock();
        let request = DispatchRequest {
            digest: digest("any"),
            shared_parts: SharedParts::default(),
            is_crash_suspect: false,
            service: ENGINES.to_string(),
            model: Some("m".to_string()),
            adapter: Some(AdapterRef {
                model: "m".to_string(),
                adapter: format!("a{rank}"),
            }),
            prompt_tokens: shared + own,
            expected_output_tokens: events * TOKENS_PER_EVENT,
            account: None,
            allowed_regions: AllowedRegions::default(),
            software_version: None,
            account_priority: 0,
            priority: 1,
            target_latency: Duration::from_secs(1),
            target_gap: Some(Duration::from_millis(GAP_MS)),
            arrived_at: now,
            deadline: now + Duration::from_secs_f64(deadline_ms / 1e3),
            tried_backends: Vec::new(),
            was_rejected_before: false,
            has_progress: false,
            is_beyond_share: false,
            is_load_time_checked: false,
            send_count: 0,
            is_repeat: false,
            earlier_unread_until: None,
            start_tag: 0,
        };
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        if self.is_counted(self.now) {
            self.outcome.streams += 1;
        }
        let waiting = (request.clone(), self.now, self.now + deadline_ms);
        self.entries[entry].waiting.insert(ticket, waiting);
        self.dispatch(entry, DispatchEvent::RequestArrived { ticket, request });
        if self.entries[entry].dispatcher.has_urgent_demands() {
            self.schedule(URGENT_DEMANDS_MS, Event::Demands(entry, true));
        }
    }

    fn dispatch(&mut self, entry: usize, event: DispatchEvent) {
        let now = self.clock();
        let decided = self.entries[entry].dispatcher.handle(event, now);
        let turns = self.entries[entry].dispatcher.take_turn_waits();
        self.outcome.turn_waits += turns.len();
        for (ticket, decision) in decided {
            let (request, arrived_at, deadline) = self.entries[entry]
                .waiting
                .remove(&ticket)
                .expect("a request");
            let is_counted = self.is_counted(arrived_at);
            match decision {
                Decision::Reject { cause, .. } if is_counted => self.outcome.on_rejected(cause),
                Decision::Reject { .. } => {}
                Decision::Send(assignment) => {
                    let engine = self.number(assignment.backend.as_str());
                    let state = &self.engines[engine];
                    let adapter = request.adapter.expect("an adapter");
                    // the shared part is kept while the adapter is used
                    let is_kept = state.is_used(&adapter);
                    let shared = if request.expected_output_tokens > 24 {
                        350
                    } else {
                        568
                    };
                    let unread = request.prompt_tokens - if is_kept { shared } else { 0 };
                    let run = Run {
                        ticket,
                        entry,
                        adapter,
                        urgency: assignment.urgency,
                        queued_at: 0.0,
                        unread_tokens: unread,
                        output_tokens: request.expected_output_tokens,
                        made_tokens: 0,
                        last_event_at: None,
                        longest_pause_ms: 0.0,
                        arrived_at,
                        is_counted,
                        deadline,
                        is_first_late: false,
                    };
                    self.schedule(LINK_MS, Event::Queued(engine, Box::new(run)));
                }
            }
        }
    }

    fn is_counted(&self, arrived_at: f64) -> bool {
        let end = self.scenario.seconds * 1e3 - COOL_DOWN_MS;
        arrived_at > WARM_UP_MS && arrived_at < end
    }

    fn number(&self, backend: &str) -> usize {
        let (_, number) = backend.rsplit_once('-').expect("a number");
        number.parse().expect("a number")
    }

    /// Ends the requests whose clients give up at their deadline.
    fn abandon_late(&mut self, entry: usize) {
        let now = self.now;
        let late = self.entries[entry].waiting.iter();
        let late = late.filter(|(_, (_, _, deadline))| *deadline < now);
        let late: Vec<Ticket> = late.map(|(ticket, _)| *ticket).collect();
        for ticket in late {
            self.entries[entry].waiting.remove(&ticket);
            self.outcome.abandoned += 1;
            self.dispatch(entry, DispatchEvent::RequestWithdrawn(ticket));
        }
    }

    fn on_demands(&mut self, entry: usize, is_urgent: bool) {
        let due = match is_urgent {
            true => DueDemands::Urgent,
            false => DueDemands::Changed,
        };
        if !is_urgent {
            self.schedule(DEMANDS_MS, Event::Demands(entry, false));
        }
        let now = self.clock();
        let demands = self.entries[entry].dispatcher.demands(due, now);
        for (_, demand) in demands {
            let engine = self.number(demand.backend.as_str());
            for wanted in demand.wanted {
                let Some(load_ms) = self.engines[engine].start_load(&wanted.adapter, self.now)
                else {
                    continue;
                };
                match load_ms == LOAD_MS {
                    true => self.outcome.loads += 1,
                    false => self.outcome.reloads += 1,
                }
                self.publish(engine, true);
                let end = Event::LoadEnd(engine, wanted.adapter);
                self.schedule(LINK_MS + load_ms, end);
            }
        }
    }

    fn start_step(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        if state.is_stepping {
            return;
        }
        if let Some(step_ms) = state.start_step(self.now) {
            state.is_stepping = true;
            self.schedule(step_ms, Event::StepEnd(engine));
        }
    }

    fn on_step_end(&mut self, engine: usize) {
        let now = self.now;
        let state = &mut self.engines[engine];
        state.is_stepping = false;
        let changed = state.end_step(now);
        // clients that gave up free their place
        let expired = state.running.iter().chain(&state.queued);
        let expired: Vec<Run> = expired.filter(|run| run.deadline < now).cloned().collect();
        state.running.retain(|run| run.deadline >= now);
        state.queued.retain(|run| run.deadline >= now);
        let third = engine % 3;
        for run in expired {
            let (ticket, entry) = (run.ticket, run.entry);
            self.outcome.on_ended(third, &run, false);
            let outcome = SendOutcome::Abandoned;
            self.dispatch(entry, DispatchEvent::SendEnded { ticket, outcome });
        }
        for run in changed {
            let (ticket, entry) = (run.ticket, run.entry);
            self.dispatch(entry, DispatchEvent::ResponseStarted(ticket));
            if run.made_tokens == run.output_tokens {
                self.outcome.on_ended(third, &run, true);
                let outcome = SendOutcome::Answered;
                self.dispatch(entry, DispatchEvent::SendEnded { ticket, outcome });
            }
        }
        self.start_step(engine);
    }
}
