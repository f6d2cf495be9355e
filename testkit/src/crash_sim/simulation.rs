use {
    super::{
        entries::SimEntries,
        outcome::{Cause, SimOutcome},
        settings::{FirstParts, SimSettings},
    },
    chalkcart_coordination::crashes::{EngineCrash, InterruptedRun, PartRun},
    chalkcart_state::{
        backends::BackendId,
        ingress::{PartId, RequestDigest, SharedParts},
    },
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        time::{Duration, Instant},
    },
};

const ACCOUNTS: u64 = 40;
/// One in this many sound requests has a second part that few others have; the others have one of
/// three.
const RARE_PART_DIVISOR: u64 = 3;
/// Sound requests, one after the other, that share a rare part.
const REQUESTS_PER_RARE_PART: u64 = 3;
/// Time from the arrival at an engine to the first byte of the response.
const FIRST_BYTE: std::ops::RangeInclusive<u64> = 20..=150;
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Time from a crash until entries with runs there know it, in ms.
const DETECTION: std::ops::RangeInclusive<u64> = 8..=100;
/// Time between two exchanges of reports.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(75);

type RunId = usize;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    SoundArrives,
    CrashingArrives(u64),
    Begins(RunId),
    Event(RunId),
    Ends(RunId),
    /// An engine crashes under a run.
    Crash(RunId),
    EngineCrashes,
    HalfCrash,
    CrashKnown(usize),
    Exchange,
    EntryStarts(usize),
}

#[derive(Debug)]
struct Run {
    entry: usize,
    parts: SharedParts,
    engine: usize,
    sent: Instant,
    begun: Option<Instant>,
    /// Time from the first byte to the end.
    length: Duration,
    /// The cause that it has, if it is a crashing one.
    cause: Option<u64>,
    is_open: bool,
    /// What the entry's registry noted of it.
    part_run: PartRun,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    life: u32,
    up_at: Option<Instant>,
    runs: Vec<RunId>,
}

impl Engine {
    fn is_up(&self, now: Instant) -> bool {
        self.up_at.is_none_or(|at| at <= now)
    }
}

/// A crash as one entry sees it.
struct SeenCrash {
    entry: usize,
    crash: EngineCrash,
}

pub struct Simulation {
    settings: SimSettings,
    entries: SimEntries,
    rng: StdRng,
    start: Instant,
    now: Instant,
    steps: BinaryHeap<Reverse<(Instant, u64, Step)>>,
    scheduled: u64,
    engines: Vec<Engine>,
    runs: Vec<Run>,
    seen_crashes: Vec<SeenCrash>,
    outcome: SimOutcome,
}

impl Simulation {
    pub fn new(settings: SimSettings, seed: u64) -> Self {
        let now = Instant::now();
        let mut simulation = Self {
            entries: SimEntries::new(settings.entries),
            rng: StdRng::seed_from_u64(seed),
            start: now,
            now,
            steps: BinaryHeap::new(),
            scheduled: 0,
            engines: vec![Engine::default(); settings.engines],
            runs: Vec::new(),
            seen_crashes: Vec::new(),
            outcome: SimOutcome {
                causes: vec![Cause::default(); settings.causes as usize],
                ..SimOutcome::default()
            },
            settings,
        };
        simulation.schedule_first();
        simulation
    }

    pub fn run(mut self) -> SimOutcome {
        let end = self.start + self.settings.calm + self.settings.span;
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.apply(step);
        }
        self.outcome
    }

    fn schedule_first(&mut self) {
        self.schedule(Duration::ZERO, Step::SoundArrives);
        self.schedule(EXCHANGE_INTERVAL, Step::Exchange);
        let calm = self.settings.calm;
        for cause in 0..self.settings.causes {
            self.schedule(calm, Step::CrashingArrives(cause));
        }
        if let Some(every) = self.settings.half_crashes_every {
            self.schedule(every, Step::HalfCrash);
        }
        if let Some(every) = self.settings.entry_starts_every {
            self.schedule(every, Step::EntryStarts(0));
        }
        if self.settings.other_crashes > 0.0 {
            self.schedule(Duration::ZERO, Step::EngineCrashes);
        }
    }

    fn schedule(&mut self, after: Duration, step: Step) {
        self.scheduled += 1;
        let step = (self.now + after, self.scheduled, step);
        self.steps.push(Reverse(step));
    }

    /// Returns a random time with this mean, in seconds.
    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-mean * uniform.ln())
    }

    fn random_ms(&mut self, range: std::ops::RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::SoundArrives => self.on_sound(),
            Step::CrashingArrives(cause) => self.on_crashing(cause),
            Step::Begins(id) => self.on_begin(id),
            Step::Event(id) => self.on_event(id),
            Step::Ends(id) => self.on_end(id),
            Step::Crash(id) => self.on_caused_crash(id),
            Step::EngineCrashes => self.on_other_crash(),
            Step::HalfCrash => self.on_half_crash(),
            Step::CrashKnown(number) => {
                let seen = &self.seen_crashes[number];
                let entry = &mut self.entries.entries[seen.entry];
                entry.on_crash(&seen.crash, self.now);
            }
            Step::Exchange => {
                let up = self.engines.iter();
                let up = up.filter(|engine| engine.is_up(self.now)).count();
                self.entries.set_engines(up, self.now);
                self.entries.exchange(self.now);
                self.schedule(EXCHANGE_INTERVAL, Step::Exchange);
            }
            Step::EntryStarts(entry) => self.on_entry_start(entry),
        }
    }

    /// Returns the first part of a sound request; few accounts send most requests.
    fn first_part(&mut self) -> PartId {
        if self.settings.first_parts == FirstParts::One {
            return PartId(1_000);
        }
        let total: f64 = (1..=ACCOUNTS).map(|k| 1.0 / k as f64).sum();
        let mut pick = self.rng.random_range(0.0..total);
        let account = (1..ACCOUNTS).find(|k| {
            pick -= 1.0 / *k as f64;
            pick < 0.0
        });
        PartId(1_000 + account.unwrap_or(ACCOUNTS))
    }

    fn sound_parts(&mut self) -> SharedParts {
        let number = self.outcome.sound;
        let second = match number.is_multiple_of(RARE_PART_DIVISOR) {
            true => 1_000_000 + number / (RARE_PART_DIVISOR * REQUESTS_PER_RARE_PART),
            false => 2_000 + number % 3,
        };
        [self.first_part(), PartId(second)].into()
    }

    fn on_sound(&mut self) {
        let mean = 1.0 / (self.settings.sound_rate * self.engines.len() as f64);
        let next = self.exponential(mean);
        self.schedule(next, Step::SoundArrives);
        let parts = self.sound_parts();
        self.outcome.sound += 1;
        let entry = self.rng.random_range(0..self.settings.entries);
        if self.entries.entries[entry].is_blocked(&parts, self.now) {
            self.outcome.sound_blocked += 1;
            return;
        }
        let is_long = self.rng.random_bool(0.1);
        let lengths = self.settings.lengths;
        let mean = if is_long {
            lengths.long_mean
        } else {
            lengths.mean
        };
        let length = self.exponential(mean.as_secs_f64());
        let has_begun = self.send(entry, parts, length, None).is_some();
        self.outcome.sound_begun += u64::from(has_begun);
    }

    fn on_crashing(&mut self, cause: u64) {
        let entries = self.settings.entries;
        let rate = self.settings.crashing_rate;
        let next = match self.settings.is_at_one_moment {
            true => Duration::from_secs_f64(entries as f64 / rate),
            false => self.exponential(1.0 / rate),
        };
        self.schedule(next, Step::CrashingArrives(cause));
        let after = self.now.duration_since(self.start + self.settings.calm);
        let quiet = self.settings.quiet;
        if quiet.is_some_and(|(from, to)| after >= from && after < to) {
            return;
        }
        if self.settings.is_at_one_moment {
            (0..entries).for_each(|entry| self.send_crashing(entry, cause));
        } else {
            let entry = self.rng.random_range(0..entries);
            self.send_crashing(entry, cause);
        }
    }

    fn send_crashing(&mut self, entry: usize, cause: u64) {
        let second = PartId(2_000 + self.rng.random_range(0..3));
        let parts = match self.settings.is_cause_first {
            true => [PartId(cause), second],
            false => [self.first_part(), PartId(cause)],
        };
        if self.entries.entries[entry].is_blocked(&parts, self.now) {
            return;
        }
        let is_spared = self.rng.random_bool(self.settings.moment.spared);
        let cause_of_run = (!is_spared).then_some(cause);
        let length = match is_spared {
            true => Duration::from_secs(1),
            false => Duration::MAX,
        };
        if self
            .send(entry, parts.into(), length, cause_of_run)
            .is_some()
        {
            self.outcome.causes[cause as usize].arrivals.push(self.now);
        }
    }

    /// Sends a request to one of two random engines that are up; `None` if none is.
    fn send(
        &mut self,
        entry: usize,
        parts: SharedParts,
        length: Duration,
        cause: Option<u64>,
    ) -> Option<RunId> {
        let engine = self.choose_engine()?;
        let id = self.runs.len();
        self.runs.push(Run {
            entry,
            parts,
            engine,
            sent: self.now,
            begun: None,
            length,
            cause,
            is_open: true,
            part_run: PartRun::default(),
        });
        self.engines[engine].runs.push(id);
        let first_byte = self.random_ms(FIRST_BYTE);
        let is_silent = cause.is_some() && self.rng.random_bool(self.settings.moment.silent);
        match is_silent {
            true => {
                let delay = self.random_ms(self.settings.moment.delay_ms.clone());
                self.schedule(first_byte + delay, Step::Crash(id));
            }
            false => self.schedule(first_byte, Step::Begins(id)),
        }
        Some(id)
    }

    fn choose_engine(&mut self) -> Option<usize> {
        let count = self.engines.len();
        let mut picks = Vec::new();
        for _ in 0..2 * count {
            let pick = self.rng.random_range(0..count);
            if self.engines[pick].is_up(self.now) {
                picks.push(pick);
            }
            if picks.len() == 2 {
                break;
            }
        }
        picks
            .into_iter()
            .min_by_key(|pick| self.engines[*pick].runs.len())
    }

    fn on_begin(&mut self, id: RunId) {
        let run = &mut self.runs[id];
        if !run.is_open {
            return;
        }
        run.begun = Some(self.now);
        if run.cause.is_some() {
            let delay = self.random_ms(self.settings.moment.delay_ms.clone());
            self.schedule(delay, Step::Crash(id));
        } else {
            let length = run.length.min(self.settings.lengths.deadline);
            self.schedule(length, Step::Ends(id));
        }
        self.schedule(EVENT_INTERVAL, Step::Event(id));
    }

    fn on_event(&mut self, id: RunId) {
        let run = &mut self.runs[id];
        let (true, Some(begun)) = (run.is_open, run.begun) else {
            return;
        };
        let entry = &mut self.entries.entries[run.entry];
        let written = self.now.duration_since(begun);
        entry.on_progress(&mut run.part_run, &run.parts, written, self.now);
        self.schedule(EVENT_INTERVAL, Step::Event(id));
    }

    fn on_end(&mut self, id: RunId) {
        let run = &mut self.runs[id];
        let (true, Some(begun)) = (run.is_open, run.begun) else {
            return;
        };
        run.is_open = false;
        self.engines[run.engine].runs.retain(|other| *other != id);
        let entry = &mut self.entries.entries[run.entry];
        match run.length <= self.settings.lengths.deadline {
            true => entry.on_served(&mut run.part_run, &run.parts, self.now),
            false => {
                let written = self.now.duration_since(begun);
                entry.on_left(&mut run.part_run, &run.parts, written, self.now);
            }
        }
    }

    fn on_caused_crash(&mut self, id: RunId) {
        let run = &self.runs[id];
        let (true, Some(cause)) = (run.is_open, run.cause) else {
            return;
        };
        let engine = run.engine;
        self.outcome.causes[cause as usize].crashes.push(self.now);
        self.crash(engine);
    }

    fn on_half_crash(&mut self) {
        if let Some(every) = self.settings.half_crashes_every {
            self.schedule(every, Step::HalfCrash);
        }
        let engines = (0..self.engines.len()).step_by(2);
        engines.for_each(|engine| self.crash(engine));
    }

    fn on_other_crash(&mut self) {
        let next = self.exponential(1.0 / self.settings.other_crashes);
        self.schedule(next, Step::EngineCrashes);
        let engine = self.rng.random_range(0..self.engines.len());
        self.crash(engine);
    }

    fn on_entry_start(&mut self, entry: usize) {
        if let Some(every) = self.settings.entry_starts_every {
            let next = (entry + 1) % self.settings.entries;
            self.schedule(every, Step::EntryStarts(next));
        }
        self.entries.restart(entry);
        for run in self.runs.iter_mut().filter(|run| run.entry == entry) {
            run.is_open = false;
        }
    }

    /// Crashes an engine that is up; the sound streams that ran there go on elsewhere.
    fn crash(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        if !state.is_up(self.now) {
            return;
        }
        state.life += 1;
        state.up_at = Some(self.now + self.settings.restart);
        let ids = std::mem::take(&mut state.runs);
        let name = format!("e-{engine}-{}", state.life);
        self.outcome.crashes += 1;
        let ids: Vec<RunId> = ids
            .into_iter()
            .filter(|id| self.runs[*id].is_open)
            .collect();
        let mut entries: Vec<usize> = ids.iter().map(|id| self.runs[*id].entry).collect();
        entries.sort_unstable();
        entries.dedup();
        for entry in entries {
            let own = ids.iter().filter(|id| self.runs[**id].entry == entry);
            let runs = own.map(|id| self.interrupted(*id)).collect();
            let backend = BackendId::from(name.clone());
            let crash = EngineCrash { backend, runs };
            self.seen_crashes.push(SeenCrash { entry, crash });
            let known = self.random_ms(DETECTION);
            self.schedule(known, Step::CrashKnown(self.seen_crashes.len() - 1));
        }
        for id in ids {
            self.continue_elsewhere(id);
        }
    }

    fn interrupted(&self, id: RunId) -> InterruptedRun {
        let run = &self.runs[id];
        InterruptedRun {
            digest: RequestDigest::of("POST", "/", "", &id.to_be_bytes()),
            shared_parts: run.parts.clone(),
            written: run.begun.map(|begun| self.now.duration_since(begun)),
            sent_for: self.now.duration_since(run.sent),
            is_whole: false,
            at: self.now,
        }
    }

    fn continue_elsewhere(&mut self, id: RunId) {
        let run = &mut self.runs[id];
        run.is_open = false;
        let (Some(begun), None) = (run.begun, run.cause) else {
            return;
        };
        let left = run.length.saturating_sub(self.now.duration_since(begun));
        let (entry, parts) = (run.entry, run.parts.clone());
        if !self.entries.entries[entry].is_blocked(&parts, self.now) {
            self.send(entry, parts, left, None);
        }
    }
}
