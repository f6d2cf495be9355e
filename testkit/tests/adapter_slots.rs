//! an adapter in use is never unloaded, and each request runs on the adapter
//! and version that it named: random interleavings of two sidecars' decisions
//! against the fenced engine stand-in, with orders that fail, get lost or
//! arrive late. Seeds are fixed.

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
/// requests without an end at once, so that the queue stays short
const MAX_OPEN: usize = 10;
const ADAPTERS: u8 = 6;
const SLOTS: usize = 2;
const LEASE: Duration = Duration::from_secs(1);
/// ticks in which everything ends once faults stop
const CALM_TICKS: usize = 4_000;

/// what happened over all runs, so that a test of nothing is noticed
static STARTS: AtomicU64 = AtomicU64::new(0);
static UNLOADS: AtomicU64 = AtomicU64::new(0);
static LATE_REFUSED: AtomicU64 = AtomicU64::new(0);

/// an order on its way to the engine
#[derive(Debug, Clone)]
struct Sent {
    from: usize,
    action: SidecarAction,
}

/// a load that the engine has begun
struct Loading {
    from: Option<usize>,
    order: FenceBody,
    adapter: AdapterKey,
}

/// a sidecar with what is on its way
struct Box_ {
    control: SidecarControl,
    /// requests without a last word
    open: HashSet<String>,
}

/// two sidecars before one engine
struct World {
    now: Instant,
    engine: EngineState,
    boxes: Vec<Box_>,
    sent: Vec<Sent>,
    /// orders whose sender has given them up
    stragglers: Vec<Sent>,
    loading: Vec<Loading>,
    answers: Vec<(usize, SidecarEvent)>,
    next_request: u32,
    faults: bool,
}

impl World {
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
            boxes: vec![new_box(1, now)],
            sent: Vec::new(),
            stragglers: Vec::new(),
            loading: Vec::new(),
            answers: Vec::new(),
            next_request: 0,
            faults: true,
        }
    }

    fn step(&mut self, code: u16) {
        let choice = (code >> 8) as u8;
        let detail = code as u8;
        match choice % 16 {
            0..=3 => self.arrive(detail),
            4..=7 => self.execute(detail),
            8..=9 => self.answer(detail),
            10 => self.finish_load(detail),
            11 => self.finish_run(detail),
            12 => self.tick(Duration::from_millis(u64::from(detail) * 4)),
            13 if self.faults => self.straggle(detail),
            14 if self.faults && detail < 6 => self.engine.restart(),
            14 if self.faults && detail < 90 => self.pause(),
            15 if self.faults && detail < 2 && self.boxes.len() < 2 => self.replace(),
            _ => self.execute(detail),
        }
        assert_eq!(self.engine.unloaded_in_use, 0, "unloaded in use");
    }

    fn arrive(&mut self, detail: u8) {
        let from = usize::from(detail >> 4) % self.boxes.len();
        if self.boxes[from].open.len() >= MAX_OPEN {
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
        self.boxes[from].open.insert(request);
        self.handle(from, SidecarEvent::Arrived(Box::new(work)));
    }

    fn handle(&mut self, to: usize, event: SidecarEvent) {
        let actions = self.boxes[to].control.handle(event, self.now);
        for action in actions {
            if let SidecarAction::Reject { request, .. } = &action {
                self.boxes[to].open.remove(request);
                continue;
            }
            self.sent.push(Sent { from: to, action });
        }
    }

    /// one order reaches the engine, or gets lost on the way
    fn execute(&mut self, detail: u8) {
        if self.sent.is_empty() {
            return;
        }
        let index = usize::from(detail) % self.sent.len();
        let sent = self.sent.remove(index);
        let fate = if self.faults { detail } else { u8::MAX };
        match fate {
            // lost: the sender hears nothing
            0..=3 => self.give_up(&sent),
            // late: the sender gives up, and it arrives some time after
            4..=11 => {
                self.give_up(&sent);
                self.stragglers.push(sent);
            }
            // obeyed, but the answer is lost
            12..=15 => {
                self.give_up(&sent);
                self.obey(&sent, false);
            }
            _ => self.obey(&sent, true),
        }
    }

    fn straggle(&mut self, detail: u8) {
        if self.stragglers.is_empty() {
            return;
        }
        let index = usize::from(detail) % self.stragglers.len();
        let late = self.stragglers.remove(index);
        let refused = self.engine.rejected_orders;
        self.obey(&late, false);
        let was_refused = self.engine.rejected_orders > refused;
        LATE_REFUSED.fetch_add(u64::from(was_refused), Ordering::Relaxed);
    }

    /// the engine does what it is told, if the fence holds
    fn obey(&mut self, sent: &Sent, heard: bool) {
        let event = match &sent.action {
            SidecarAction::ReadEngine => Some(read(&self.engine)),
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
                            from: heard.then_some(sent.from),
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
                let body = generate_body(work, order.expect("engines are ordered").into());
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
        if let (Some(event), true) = (event, heard) {
            self.answers.push((sent.from, event));
        }
    }

    /// the sender takes the order for lost
    fn give_up(&mut self, sent: &Sent) {
        let event = match &sent.action {
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
        self.answers.push((sent.from, event));
    }

    fn answer(&mut self, detail: u8) {
        if self.answers.is_empty() {
            return;
        }
        let index = usize::from(detail) % self.answers.len();
        let (to, event) = self.answers.remove(index);
        if let SidecarEvent::RunEnded { request, .. } = &event {
            self.boxes[to].open.remove(request);
        }
        self.handle(to, event);
    }

    fn finish_load(&mut self, detail: u8) {
        if self.loading.is_empty() {
            return;
        }
        let index = usize::from(detail) % self.loading.len();
        let load = self.loading.remove(index);
        let fetched = !self.faults || !detail.is_multiple_of(5);
        let body = AdapterBody::from(&load.adapter);
        let result = match self.engine.end_load(load.order, body, fetched) {
            Ok(()) => OrderResult::Done,
            Err(_) if !fetched => OrderResult::Failed,
            Err(_) => OrderResult::Fenced,
        };
        if let Some(from) = load.from {
            self.answers
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
            "runs on what is not loaded"
        );
        self.engine.end(request, EventBody::Finished(adapter));
        let owner = self.boxes.iter().position(|b| b.open.contains(request));
        if let Some(owner) = owner {
            self.answers
                .push((owner, run_ended(request, Outcome::Ran, false)));
        }
    }

    fn tick(&mut self, span: Duration) {
        self.now += span.min(LEASE / 2);
        for to in 0..self.boxes.len() {
            self.handle(to, SidecarEvent::Tick);
        }
    }

    fn pause(&mut self) {
        self.now += LEASE * 3;
        for to in 0..self.boxes.len() {
            self.handle(to, SidecarEvent::Tick);
        }
    }

    fn replace(&mut self) {
        self.boxes.push(new_box(1_000_000, self.now));
    }

    /// no more faults: everything must come to an end
    fn calm(&mut self) {
        self.faults = false;
        for late in std::mem::take(&mut self.stragglers) {
            self.obey(&late, false);
        }
        for number in 0..CALM_TICKS {
            self.step((4 << 8) | (number % 7) as u16);
            self.step(8 << 8);
            self.step((10 << 8) | 1);
            self.step((11 << 8) | (number % 5) as u16);
            self.step((12 << 8) | 10);
            // a run that nobody waits for ends as well
            if self.boxes.iter().all(|b| b.open.is_empty()) {
                return;
            }
            self.end_lost_runs();
        }
        let open: Vec<_> = self.boxes.iter().map(|b| &b.open).collect();
        panic!("requests without an end: {open:?}");
    }

    /// runs that an engine's restart has ended
    fn end_lost_runs(&mut self) {
        for to in 0..self.boxes.len() {
            let waiting: HashSet<String> = self
                .sent
                .iter()
                .filter_map(|sent| match &sent.action {
                    SidecarAction::Run { work, .. } => Some(work.request.clone()),
                    _ => None,
                })
                .collect();
            let answered: HashSet<String> = self
                .answers
                .iter()
                .filter_map(|(_, event)| match event {
                    SidecarEvent::RunEnded { request, .. } => Some(request.clone()),
                    _ => None,
                })
                .collect();
            let lost: Vec<String> = self.boxes[to]
                .open
                .iter()
                .filter(|r| !self.engine.queue.contains(r))
                .filter(|r| !waiting.contains(*r) && !answered.contains(*r))
                .cloned()
                .collect();
            for request in lost {
                let known = self.boxes[to].control.is_running(&request);
                if known {
                    self.answers
                        .push((to, run_ended(&request, Outcome::MayHaveRun, false)));
                }
            }
        }
    }
}

fn new_box(epoch: u64, now: Instant) -> Box_ {
    let settings = SidecarSettings {
        name: "engine-0".to_string(),
        incarnation: epoch,
        epoch,
        lease: LEASE,
        ..SidecarSettings::default()
    };
    Box_ {
        control: SidecarControl::new(settings, now),
        open: HashSet::new(),
    }
}

fn read(engine: &EngineState) -> SidecarEvent {
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

fn run_ended(request: &str, outcome: Outcome, may_run_on: bool) -> SidecarEvent {
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
            may_still_run: may_run_on,
        },
    }
}

fn generate_body(work: &WorkOrder, order: FenceBody) -> GenerateBody {
    let Work::Generate(generate) = &work.work else {
        panic!("engines get prompts");
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
    fn holds(seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = World::new();
        (0..STEPS).for_each(|_| world.step(rng.random()));
        world.calm();
        world.engine.unloaded_in_use == 0
    }
    let seeded = Gen::from_size_and_seed(100, SEED);
    QuickCheck::new()
        .rng(seeded)
        .tests(RUNS)
        .quickcheck(holds as fn(u64) -> bool);
    let counts = [&STARTS, &UNLOADS, &LATE_REFUSED].map(|n| n.load(Ordering::Relaxed));
    println!("starts, unloads, late orders refused: {counts:?}");
    assert!(
        counts.iter().all(|n| *n > 100),
        "too little happened: {counts:?}"
    );
}
