//! An adapter in use is never unloaded, and each request runs on the adapter version that it
//! named, over random interleavings of two sidecars and one engine with orders that fail, get
//! lost or arrive late.

use {
    chalkcart_coordination::{
        fence::EngineStatus,
        sidecar::{
            OrderResult, RunEnd, SidecarAction, SidecarControl, SidecarEvent, SidecarSettings,
        },
        slots::AdapterKey,
    },
    chalkcart_protocol::peer::{GenerateWork, Outcome, PermitResponse, Reason, Work, WorkOrder},
    chalkcart_state::ids::WeightsDigest,
    chalkcart_testkit::engine::{EngineSettings, EngineState},
    chalkcart_transport::engine::{AdapterBody, EventBody, FenceBody, GenerateBody},
    quickcheck::{Gen, QuickCheck},
    rand::{rngs::SmallRng, RngExt, SeedableRng},
    std::{
        collections::HashSet,
        sync::atomic::{AtomicU64, Ordering},
        time::{Duration, Instant},
    },
};

const SEED: u64 = 20_261_202;
const RUNS: u64 = 800;
const STEPS: usize = 1_500;
/// Maximum number of unfinished requests, which keeps the queue short.
const MAX_UNFINISHED: usize = 10;
const ADAPTERS: u8 = 6;
const SLOTS: usize = 2;
const LEASE: Duration = Duration::from_secs(1);
/// Steps without faults in which all requests must end.
const FAULT_FREE_STEPS: usize = 4_000;

/// Event counts over all runs; the test fails if too few events occur.
static STARTS: AtomicU64 = AtomicU64::new(0);
static UNLOADS: AtomicU64 = AtomicU64::new(0);
static LATE_ORDERS_REJECTED: AtomicU64 = AtomicU64::new(0);

/// An order in flight to the engine.
#[derive(Debug, Clone)]
struct InFlightOrder {
    from: usize,
    action: SidecarAction,
}

/// A load in progress on the engine.
struct Loading {
    from: Option<usize>,
    order: FenceBody,
    adapter: AdapterKey,
}

struct SidecarNode {
    control: SidecarControl,
    /// Requests without a final result.
    unfinished: HashSet<String>,
}

/// One engine that up to two sidecars control.
struct Simulation {
    now: Instant,
    engine: EngineState,
    sidecars: Vec<SidecarNode>,
    in_flight: Vec<InFlightOrder>,
    /// Orders that their sender has timed out on but that may still arrive.
    delayed: Vec<InFlightOrder>,
    loading: Vec<Loading>,
    pending_events: Vec<(usize, SidecarEvent)>,
    next_request: u32,
    has_faults: bool,
}

impl Simulation {
    fn new() -> Self {
        let now = Instant::now();
        let settings = EngineSettings {
            slots: SLOTS,
            max_batch: 3,
            ..EngineSettings::default()
        };
        Self {
            now,
            engine: EngineState::new(settings),
            sidecars: vec![new_sidecar(1, now)],
            in_flight: Vec::new(),
            delayed: Vec::new(),
            loading: Vec::new(),
            pending_events: Vec::new(),
            next_request: 0,
            has_faults: true,
        }
    }

    fn step(&mut self, code: u16) {
        let choice = (code >> 8) as u8;
        let detail = code as u8;
        match choice % 16 {
            0..=3 => self.submit_request(detail),
            4..=7 => self.send_order(detail),
            8..=9 => self.deliver_event(detail),
            10 => self.finish_load(detail),
            11 => self.finish_run(detail),
            12 => self.tick(Duration::from_millis(u64::from(detail) * 4)),
            13 if self.has_faults => self.deliver_delayed_order(detail),
            14 if self.has_faults && detail < 6 => self.engine.restart(),
            14 if self.has_faults && detail < 90 => self.skip_past_lease(),
            15 if self.has_faults && detail < 2 && self.sidecars.len() < 2 => {
                self.add_replacement_sidecar()
            }
            _ => self.send_order(detail),
        }
        assert_eq!(
            self.engine.unloaded_in_use, 0,
            "an adapter in use was unloaded"
        );
    }

    fn submit_request(&mut self, detail: u8) {
        let from = usize::from(detail >> 4) % self.sidecars.len();
        if self.sidecars[from].unfinished.len() >= MAX_UNFINISHED {
            return;
        }
        let number = detail % ADAPTERS;
        self.next_request += 1;
        let request = format!("r{}", self.next_request);
        let work = WorkOrder {
            request: request.clone(),
            reserved: false,
            group: "branches".to_string(),
            class: "counter".to_string(),
            remaining: Duration::from_secs(60),
            work: Work::Generate(GenerateWork {
                adapter: format!("adapter-{}", number / 2),
                version: 1 + u32::from(number % 2),
                digest: WeightsDigest::of(&[number]),
                base_model: "base".to_string(),
                prompt: request.clone(),
                max_tokens: 10,
                generated: Vec::new(),
            }),
            permit_giver: None,
        };
        self.sidecars[from].unfinished.insert(request);
        self.handle(from, SidecarEvent::Arrived(Box::new(work)));
    }

    fn handle(&mut self, to: usize, event: SidecarEvent) {
        let actions = self.sidecars[to].control.handle(event, self.now);
        for action in actions {
            if let SidecarAction::Reject { request, .. } = &action {
                self.sidecars[to].unfinished.remove(request);
                continue;
            }
            self.in_flight.push(InFlightOrder { from: to, action });
        }
    }

    /// Delivers, delays or drops one order.
    fn send_order(&mut self, detail: u8) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = usize::from(detail) % self.in_flight.len();
        let in_flight = self.in_flight.remove(index);
        let delivery = if self.has_faults { detail } else { u8::MAX };
        match delivery {
            // dropped
            0..=3 => self.report_unknown_result(&in_flight),
            // delivered after the sender has timed out
            4..=11 => {
                self.report_unknown_result(&in_flight);
                self.delayed.push(in_flight);
            }
            // executed, but the response is lost
            12..=15 => {
                self.report_unknown_result(&in_flight);
                self.apply_order(&in_flight, false);
            }
            _ => self.apply_order(&in_flight, true),
        }
    }

    fn deliver_delayed_order(&mut self, detail: u8) {
        if self.delayed.is_empty() {
            return;
        }
        let index = usize::from(detail) % self.delayed.len();
        let order = self.delayed.remove(index);
        let rejected_before = self.engine.rejected_orders;
        self.apply_order(&order, false);
        let was_rejected = self.engine.rejected_orders > rejected_before;
        LATE_ORDERS_REJECTED.fetch_add(u64::from(was_rejected), Ordering::Relaxed);
    }

    /// Executes an order on the engine, which rejects it if the fence is stale.
    fn apply_order(&mut self, in_flight: &InFlightOrder, is_reported: bool) {
        let event = match &in_flight.action {
            SidecarAction::ReadEngine => Some(status_event(&self.engine)),
            SidecarAction::TakeFence(order) => {
                let body = FenceBody::from(*order);
                let result = match self.engine.accept_fence(body) {
                    Ok(()) => OrderResult::Done,
                    Err(_) => OrderResult::Fenced,
                };
                Some(SidecarEvent::FenceTakeEnded {
                    incarnation: order.incarnation,
                    fence: order.fence,
                    result,
                })
            }
            SidecarAction::Load { adapter, order } => {
                let body = FenceBody::from(*order);
                match self.engine.begin_load(body) {
                    Ok(()) => {
                        self.loading.push(Loading {
                            from: is_reported.then_some(in_flight.from),
                            order: body,
                            adapter: adapter.clone(),
                        });
                        None
                    }
                    Err(_) => Some(load_ended(adapter, body, OrderResult::Fenced)),
                }
            }
            SidecarAction::Unload { adapter, order } => {
                let body = FenceBody::from(*order);
                let result = match self.engine.unload(body, &AdapterBody::from(adapter)) {
                    Ok(()) => {
                        UNLOADS.fetch_add(1, Ordering::Relaxed);
                        OrderResult::Done
                    }
                    Err(_) => OrderResult::Fenced,
                };
                Some(SidecarEvent::UnloadEnded {
                    adapter: adapter.clone(),
                    incarnation: order.incarnation,
                    result,
                })
            }
            SidecarAction::Run { work, order, .. } => {
                let body = generate_body(
                    work,
                    order.expect("orders to an engine carry a fence").into(),
                );
                match self.engine.generate(body) {
                    Ok(()) => {
                        STARTS.fetch_add(1, Ordering::Relaxed);
                        None
                    }
                    Err(_) => Some(run_ended(&work.request, Outcome::NotRun, false)),
                }
            }
            SidecarAction::RequestPermit { adapter, .. } => {
                Some(SidecarEvent::PermitRequestEnded {
                    adapter: adapter.clone(),
                    response: Some(PermitResponse::Granted { lease: LEASE }),
                })
            }
            _ => None,
        };
        if let (Some(event), true) = (event, is_reported) {
            self.pending_events.push((in_flight.from, event));
        }
    }

    /// Reports an order to its sender as ended with an unknown result.
    fn report_unknown_result(&mut self, in_flight: &InFlightOrder) {
        let event = match &in_flight.action {
            SidecarAction::ReadEngine => SidecarEvent::EngineRead(None),
            SidecarAction::TakeFence(order) => SidecarEvent::FenceTakeEnded {
                incarnation: order.incarnation,
                fence: order.fence,
                result: OrderResult::Unknown,
            },
            SidecarAction::Load { adapter, order } => {
                load_ended(adapter, FenceBody::from(*order), OrderResult::Unknown)
            }
            SidecarAction::Unload { adapter, order } => SidecarEvent::UnloadEnded {
                adapter: adapter.clone(),
                incarnation: order.incarnation,
                result: OrderResult::Unknown,
            },
            SidecarAction::Run { work, .. } => run_ended(&work.request, Outcome::MayHaveRun, true),
            _ => return,
        };
        self.pending_events.push((in_flight.from, event));
    }

    fn deliver_event(&mut self, detail: u8) {
        if self.pending_events.is_empty() {
            return;
        }
        let index = usize::from(detail) % self.pending_events.len();
        let (to, event) = self.pending_events.remove(index);
        if let SidecarEvent::RunEnded { request, .. } = &event {
            self.sidecars[to].unfinished.remove(request);
        }
        self.handle(to, event);
    }

    fn finish_load(&mut self, detail: u8) {
        if self.loading.is_empty() {
            return;
        }
        let index = usize::from(detail) % self.loading.len();
        let load = self.loading.remove(index);
        let is_fetched = !self.has_faults || !detail.is_multiple_of(5);
        let body = AdapterBody::from(&load.adapter);
        let result = match self.engine.end_load(load.order, body, is_fetched) {
            Ok(()) => OrderResult::Done,
            Err(_) if !is_fetched => OrderResult::Failed,
            Err(_) => OrderResult::Fenced,
        };
        if let Some(from) = load.from {
            self.pending_events
                .push((from, load_ended(&load.adapter, load.order, result)));
        }
    }

    fn finish_run(&mut self, detail: u8) {
        let running = self.engine.queue.clone();
        let Some(request) = running.get(usize::from(detail) % running.len().max(1)) else {
            return;
        };
        let found = &self.engine.requests[request];
        let adapter = found.body.adapter.clone();
        assert!(
            self.engine.loaded.contains(&adapter),
            "runs on an adapter that is not loaded"
        );
        self.engine.end(request, EventBody::Finished(adapter));
        let owner = self
            .sidecars
            .iter()
            .position(|b| b.unfinished.contains(request));
        if let Some(owner) = owner {
            self.pending_events
                .push((owner, run_ended(request, Outcome::Ran, false)));
        }
    }

    fn tick(&mut self, duration: Duration) {
        self.now += duration.min(LEASE / 2);
        for to in 0..self.sidecars.len() {
            self.handle(to, SidecarEvent::Tick);
        }
    }

    fn skip_past_lease(&mut self) {
        self.now += LEASE * 3;
        for to in 0..self.sidecars.len() {
            self.handle(to, SidecarEvent::Tick);
        }
    }

    fn add_replacement_sidecar(&mut self) {
        self.sidecars.push(new_sidecar(1_000_000, self.now));
    }

    /// Steps without faults until all requests have ended; panics if they don't.
    fn run_to_completion(&mut self) {
        self.has_faults = false;
        for order in std::mem::take(&mut self.delayed) {
            self.apply_order(&order, false);
        }
        for number in 0..FAULT_FREE_STEPS {
            self.step((4 << 8) | (number % 7) as u16);
            self.step(8 << 8);
            self.step((10 << 8) | 1);
            self.step((11 << 8) | (number % 5) as u16);
            self.step((12 << 8) | 10);
            if self.sidecars.iter().all(|b| b.unfinished.is_empty()) {
                return;
            }
            self.end_lost_runs();
        }
        let unfinished: Vec<_> = self.sidecars.iter().map(|b| &b.unfinished).collect();
        panic!("requests that did not end: {unfinished:?}");
    }

    /// Ends the requests whose run was lost when the engine restarted.
    fn end_lost_runs(&mut self) {
        for to in 0..self.sidecars.len() {
            let waiting: HashSet<String> = self
                .in_flight
                .iter()
                .filter_map(|in_flight| match &in_flight.action {
                    SidecarAction::Run { work, .. } => Some(work.request.clone()),
                    _ => None,
                })
                .collect();
            let ended: HashSet<String> = self
                .pending_events
                .iter()
                .filter_map(|(_, event)| match event {
                    SidecarEvent::RunEnded { request, .. } => Some(request.clone()),
                    _ => None,
                })
                .collect();
            let lost: Vec<String> = self.sidecars[to]
                .unfinished
                .iter()
                .filter(|r| !self.engine.queue.contains(r))
                .filter(|r| !waiting.contains(*r) && !ended.contains(*r))
                .cloned()
                .collect();
            for request in lost {
                let is_known = self.sidecars[to].control.is_running(&request);
                if is_known {
                    self.pending_events
                        .push((to, run_ended(&request, Outcome::MayHaveRun, false)));
                }
            }
        }
    }
}

fn new_sidecar(epoch: u64, now: Instant) -> SidecarNode {
    let settings = SidecarSettings {
        name: "engine-0".to_string(),
        incarnation: epoch,
        epoch,
        lease: LEASE,
        ..SidecarSettings::default()
    };
    SidecarNode {
        control: SidecarControl::new(settings, now),
        unfinished: HashSet::new(),
    }
}

fn status_event(engine: &EngineState) -> SidecarEvent {
    SidecarEvent::EngineRead(Some(EngineStatus::from(engine.status())))
}

fn load_ended(adapter: &AdapterKey, order: FenceBody, result: OrderResult) -> SidecarEvent {
    SidecarEvent::LoadEnded {
        adapter: adapter.clone(),
        incarnation: order.incarnation,
        result,
        duration: Duration::from_millis(100),
    }
}

fn run_ended(request: &str, outcome: Outcome, may_still_run: bool) -> SidecarEvent {
    let failure = match outcome {
        Outcome::Ran => None,
        Outcome::NotRun => Some(Reason::Superseded),
        Outcome::MayHaveRun => Some(Reason::Lost),
    };
    SidecarEvent::RunEnded {
        request: request.to_string(),
        end: RunEnd {
            outcome,
            failure,
            detail: String::new(),
            tokens: 10,
            duration: Duration::from_millis(50),
            may_still_run,
        },
    }
}

fn generate_body(work: &WorkOrder, order: FenceBody) -> GenerateBody {
    let Work::Generate(generate) = &work.work else {
        panic!("an engine receives only prompts");
    };
    GenerateBody {
        order,
        request: work.request.clone(),
        adapter: AdapterBody::from(&AdapterKey::from(generate)),
        prompt: generate.prompt.clone(),
        generated: Vec::new(),
        max_tokens: generate.max_tokens,
        priority: 0,
    }
}

#[test]
fn an_adapter_in_use_is_never_unloaded_and_every_request_ends() {
    fn ends_without_unloading_in_use(seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut simulation = Simulation::new();
        (0..STEPS).for_each(|_| simulation.step(rng.random()));
        simulation.run_to_completion();
        simulation.engine.unloaded_in_use == 0
    }
    let seeded = Gen::from_size_and_seed(100, SEED);
    QuickCheck::new()
        .rng(seeded)
        .tests(RUNS)
        .quickcheck(ends_without_unloading_in_use as fn(u64) -> bool);
    let counts = [&STARTS, &UNLOADS, &LATE_ORDERS_REJECTED].map(|n| n.load(Ordering::Relaxed));
    println!("starts, unloads, late orders rejected: {counts:?}");
    assert!(
        counts.iter().all(|n| *n > 100),
        "too few events occurred: {counts:?}"
    );
}
