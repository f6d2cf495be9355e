//! Parts of prompts that crash engines: what is sent after they are known, and how many sound
//! requests are rejected. Simulated time; one registry that all entries share after a delay.

use {
    super::fleet::Plan,
    chalkcart_coordination::crashes::{CrashRegistry, EngineCrash, InterruptedRun, OUTLIVED_AFTER},
    chalkcart_state::{
        backends::BackendId,
        ingress::{PartId, RequestDigest, SharedParts},
    },
    rand::{rngs::StdRng, RngExt, SeedableRng},
    serde_json::{json, Value},
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        time::{Duration, Instant},
    },
};

/// Sound requests per second and engine.
const SOUND_RATE: f64 = 4.0;
/// Requests with each crashing part per second.
const CRASHING_RATE: f64 = 3.0;
/// Client accounts, each with a first part of its own; the k-th sends in proportion to 1 / k.
const ACCOUNTS: u64 = 40;
/// One in this many sound requests has a second part that few others have.
const RARE_PART_DIVISOR: u64 = 3;
/// Sound requests, one after the other, that share a rare part.
const REQUESTS_PER_RARE_PART: u64 = 3;
/// Time from the start of a crashing run until its engine crashes.
const CRASH_AFTER: Duration = Duration::from_millis(100);
/// Time until all entries know of a crash.
const EXCHANGE_DELAY: Duration = Duration::from_millis(150);
const HALF_CRASH_INTERVAL: Duration = Duration::from_secs(10);
const RESTART: Duration = Duration::from_secs(4);
/// Time after the fifth crash from which sends of a part are counted, and their target.
const GRACE: Duration = Duration::from_secs(3);
const ACCOUNTED_CRASHES: u32 = 5;

type RunId = usize;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    SoundArrives,
    CrashingArrives(u64),
    /// An engine crashes under a run with a crashing part.
    Crash {
        engine: usize,
        life: u32,
        part: u64,
    },
    EngineCrashes,
    /// Half of the engines crash at one moment.
    HalfCrash,
    CrashKnown(usize),
    Outlived(RunId, u32),
    Ended(RunId, u32),
}

#[derive(Debug, Clone)]
struct Run {
    parts: SharedParts,
    engine: usize,
    started: Instant,
    left: Duration,
    /// Number of engines that it has run at.
    attempt: u32,
    is_open: bool,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    life: u32,
    up_at: Option<Instant>,
    runs: Vec<RunId>,
}

/// Figures of one simulation.
#[derive(Debug, Default)]
struct Outcome {
    sound: u64,
    rejected: u64,
    crashes: u64,
    /// The most sends of one crashing part after its fifth crash and the grace period.
    late_sends: u64,
}

#[derive(Debug, Default, Clone)]
struct CrashingPart {
    crashes: u32,
    fifth: Option<Instant>,
    late_sends: u64,
}

impl CrashingPart {
    fn on_crash(&mut self, now: Instant) {
        self.crashes += 1;
        if self.crashes == ACCOUNTED_CRASHES {
            self.fifth = Some(now);
        }
    }
}

struct Simulation {
    registry: CrashRegistry,
    rng: StdRng,
    start: Instant,
    now: Instant,
    steps: BinaryHeap<Reverse<(Instant, Step)>>,
    engines: Vec<Engine>,
    runs: Vec<Run>,
    crashes: Vec<EngineCrash>,
    bad: Vec<CrashingPart>,
    /// Engines that crash by themselves, per second.
    other_crashes: f64,
    outcome: Outcome,
}

/// A case to simulate.
#[derive(Debug, Clone, Copy)]
struct Case {
    engines: usize,
    crashing_parts: u64,
    other_crashes: f64,
    /// Whether half of the engines crash now and then.
    has_half_crashes: bool,
}

pub fn run(plan: &Plan) -> Vec<Value> {
    let cases = [
        (12, 1, 0.0, false),
        (12, 2, 0.0, false),
        (12, 3, 0.0, false),
        (12, 1, 0.5, false),
        (12, 2, 1.0, false),
        (12, 0, 1.7, false),
        (12, 0, 0.5, true),
        (12, 1, 0.5, true),
        (400, 1, 0.0, false),
        (400, 3, 2.0, true),
        (4_000, 3, 0.0, false),
    ];
    let rows = cases.map(
        |(engines, crashing_parts, other_crashes, has_half_crashes)| {
            let case = Case {
                engines,
                crashing_parts,
                other_crashes,
                has_half_crashes,
            };
            row_of(case, plan)
        },
    );
    rows.to_vec()
}

fn row_of(case: Case, plan: &Plan) -> Value {
    let (mut sound, mut rejected, mut crashes) = (0, 0, 0);
    let mut worst_late_sends = 0;
    for seed in 0..plan.seeds {
        let outcome = Simulation::new(case, seed).run(Duration::from_secs(plan.span_s));
        sound += outcome.sound;
        rejected += outcome.rejected;
        crashes += outcome.crashes;
        worst_late_sends = worst_late_sends.max(outcome.late_sends);
    }
    json!({
        "engines": case.engines,
        "crashing parts": case.crashing_parts,
        "other crashes a second": case.other_crashes,
        "half at once": case.has_half_crashes,
        "sound requests": sound,
        "rejected of 10,000": 10_000.0 * rejected as f64 / sound as f64,
        "crashes a seed": crashes as f64 / plan.seeds as f64,
        "late sends, worst part": worst_late_sends,
    })
}

impl Simulation {
    fn new(case: Case, seed: u64) -> Self {
        let now = Instant::now();
        let mut simulation = Self {
            registry: CrashRegistry::new(seed),
            rng: StdRng::seed_from_u64(seed),
            start: now,
            now,
            steps: BinaryHeap::new(),
            engines: vec![Engine::default(); case.engines],
            runs: Vec::new(),
            crashes: Vec::new(),
            bad: vec![CrashingPart::default(); case.crashing_parts as usize],
            other_crashes: case.other_crashes,
            outcome: Outcome::default(),
        };
        simulation.schedule(Duration::ZERO, Step::SoundArrives);
        for number in 0..case.crashing_parts {
            let begin = Duration::from_secs(5);
            simulation.schedule(begin, Step::CrashingArrives(number));
        }
        if case.has_half_crashes {
            simulation.schedule(HALF_CRASH_INTERVAL, Step::HalfCrash);
        }
        if case.other_crashes > 0.0 {
            simulation.schedule(Duration::ZERO, Step::EngineCrashes);
        }
        simulation
    }

    fn run(mut self, span: Duration) -> Outcome {
        while let Some(Reverse((at, step))) = self.steps.pop() {
            if at > self.start + span {
                break;
            }
            self.now = at;
            self.apply(step);
        }
        let late = self.bad.iter().map(|part| part.late_sends);
        self.outcome.late_sends = late.max().unwrap_or(0);
        self.outcome
    }

    fn schedule(&mut self, after: Duration, step: Step) {
        self.steps.push(Reverse((self.now + after, step)));
    }

    /// Returns a random time with this mean, in seconds.
    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-mean * uniform.ln())
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::SoundArrives => self.on_sound(),
            Step::CrashingArrives(number) => self.on_crashing(number),
            Step::Crash { engine, life, part } if self.engines[engine].life == life => {
                self.bad[part as usize].on_crash(self.now);
                self.crash(engine);
            }
            Step::Crash { .. } => {}
            Step::EngineCrashes => self.on_other_crash(),
            Step::HalfCrash => self.on_half_crash(),
            Step::CrashKnown(number) => self.registry.on_crash(&self.crashes[number], self.now),
            Step::Outlived(id, attempt) if self.is_running(id, attempt) => {
                let parts = self.runs[id].parts.clone();
                self.registry.on_parts_outlived(&parts, self.now);
                self.schedule(OUTLIVED_AFTER, Step::Outlived(id, attempt));
            }
            Step::Ended(id, attempt) if self.is_running(id, attempt) => self.end(id),
            Step::Outlived(..) | Step::Ended(..) => {}
        }
    }

    fn is_running(&self, id: RunId, attempt: u32) -> bool {
        let run = &self.runs[id];
        run.is_open && run.attempt == attempt
    }

    /// Returns the first part of an account; few accounts send most requests.
    fn first_part(&mut self) -> PartId {
        let total: f64 = (1..=ACCOUNTS).map(|k| 1.0 / k as f64).sum();
        let mut pick = self.rng.random_range(0.0..total);
        let account = (1..ACCOUNTS).find(|k| {
            pick -= 1.0 / *k as f64;
            pick < 0.0
        });
        PartId(1_000 + account.unwrap_or(ACCOUNTS))
    }

    fn on_sound(&mut self) {
        let mean = 1.0 / (SOUND_RATE * self.engines.len() as f64);
        let next = self.exponential(mean);
        self.schedule(next, Step::SoundArrives);
        let number = self.outcome.sound;
        let mut parts = vec![self.first_part()];
        if number.is_multiple_of(RARE_PART_DIVISOR) {
            parts.push(PartId(
                1_000_000 + number / (RARE_PART_DIVISOR * REQUESTS_PER_RARE_PART),
            ));
        }
        self.outcome.sound += 1;
        if self.registry.blocked_part(&parts, self.now).is_some() {
            self.outcome.rejected += 1;
            return;
        }
        // one in ten streams is long
        let mean = if self.rng.random_bool(0.1) { 12.0 } else { 2.0 };
        let length = self.exponential(mean);
        self.start_run(parts.into(), length, 0);
    }

    fn on_crashing(&mut self, number: u64) {
        let next = self.exponential(1.0 / CRASHING_RATE);
        self.schedule(next, Step::CrashingArrives(number));
        let account = PartId(1_000 + 10 * (number + 1));
        let parts = [account, PartId(number)];
        if self.registry.blocked_part(&parts, self.now).is_some() {
            return;
        }
        let Some(id) = self.start_run(parts.into(), Duration::MAX, 0) else {
            return;
        };
        let engine = self.runs[id].engine;
        let life = self.engines[engine].life;
        self.schedule(
            CRASH_AFTER,
            Step::Crash {
                engine,
                life,
                part: number,
            },
        );
        let part = &mut self.bad[number as usize];
        let is_late = part.fifth.is_some_and(|at| self.now > at + GRACE);
        part.late_sends += u64::from(is_late);
    }

    fn on_half_crash(&mut self) {
        self.schedule(HALF_CRASH_INTERVAL, Step::HalfCrash);
        (0..self.engines.len())
            .step_by(2)
            .for_each(|engine| self.crash(engine));
    }

    fn on_other_crash(&mut self) {
        let next = self.exponential(1.0 / self.other_crashes);
        self.schedule(next, Step::EngineCrashes);
        let engine = self.rng.random_range(0..self.engines.len());
        self.crash(engine);
    }

    /// Starts a run at a random engine that is up; `None` if none is found.
    fn start_run(&mut self, parts: SharedParts, left: Duration, attempt: u32) -> Option<RunId> {
        let now = self.now;
        let is_up = |engine: &Engine| engine.up_at.is_none_or(|at| at <= now);
        let count = self.engines.len();
        let picks = (0..count).map(|_| self.rng.random_range(0..count));
        let engine = picks.collect::<Vec<usize>>();
        let engine = engine.into_iter().find(|n| is_up(&self.engines[*n]))?;
        let id = self.runs.len();
        self.runs.push(Run {
            parts,
            engine,
            started: now,
            left,
            attempt,
            is_open: true,
        });
        self.engines[engine].runs.push(id);
        if left < Duration::MAX {
            self.schedule(left, Step::Ended(id, attempt));
            self.schedule(OUTLIVED_AFTER, Step::Outlived(id, attempt));
        }
        Some(id)
    }

    fn end(&mut self, id: RunId) {
        let run = &mut self.runs[id];
        run.is_open = false;
        let parts = run.parts.clone();
        self.engines[run.engine].runs.retain(|other| *other != id);
        self.registry.on_parts_served(&parts, self.now);
    }

    /// Crashes an engine; the sound streams that ran there go on elsewhere.
    fn crash(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        state.life += 1;
        state.up_at = Some(self.now + RESTART);
        let ids = std::mem::take(&mut state.runs);
        let name = format!("e-{engine}-{}", state.life);
        self.outcome.crashes += 1;
        let runs: Vec<InterruptedRun> = ids.iter().map(|id| self.interrupted(*id)).collect();
        self.crashes.push(EngineCrash {
            backend: BackendId::from(name),
            runs,
        });
        self.schedule(EXCHANGE_DELAY, Step::CrashKnown(self.crashes.len() - 1));
        for id in ids {
            self.continue_elsewhere(id);
        }
    }

    fn interrupted(&self, id: RunId) -> InterruptedRun {
        let run = &self.runs[id];
        InterruptedRun {
            digest: RequestDigest::of("POST", "/", "", &id.to_be_bytes()),
            shared_parts: run.parts.clone(),
            written: Some(self.now - run.started),
            is_whole: false,
            at: self.now,
        }
    }

    fn continue_elsewhere(&mut self, id: RunId) {
        let run = &mut self.runs[id];
        run.is_open = false;
        if run.left == Duration::MAX {
            return;
        }
        let left = run.left.saturating_sub(self.now - run.started);
        let (parts, attempt) = (run.parts.clone(), run.attempt + 1);
        self.start_run(parts, left, attempt);
    }
}
