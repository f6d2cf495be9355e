//! A simulated engine that runs steps with chunked prefill, as docs/design/uneven-load.md
//! describes them, in simulated time.

// each user needs only some of the items
#![allow(dead_code)]

use {
    chalkcart_coordination::placement::EngineRun,
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::collections::VecDeque,
};

/// time of a step without prefill, in ms
const STEP_MS: f64 = 10.5;
/// time per run of a step: a batch of 64 takes 1 ms longer
const STEP_MS_PER_RUN: f64 = 0.016;
const PREFILL_TOKENS_PER_MS: f64 = 19.2;
const CHUNK_TOKENS: u64 = 2_048;
pub const TOKENS_PER_EVENT: u64 = 3;
const SLOTS: usize = 64;
/// fraction of the prompts whose shared part the engine keeps
const KEPT_RATIO: f64 = 0.5;
/// duration of a short slow phase, the factor, and the fraction of the time
const SLOW_PHASE_MS: f64 = 600.0;
const SLOW_PHASE_FACTOR: f64 = 2.5;
const SLOW_PHASE_RATIO: f64 = 0.15;

#[derive(Debug, Clone)]
struct Run {
    id: String,
    prompt: u64,
    /// prompt tokens in memory
    prefilled: u64,
    generated: u64,
    output: u64,
}

#[derive(Debug, Clone, Copy)]
pub struct EngineLoad {
    /// short streams a second
    pub short_per_s: f64,
    /// long streams a second
    pub long_per_s: f64,
}

impl EngineLoad {
    /// the calm day of U: its streams over 38 engines
    pub const CALM: Self = Self {
        short_per_s: 132.0 / 38.0,
        long_per_s: 35.0 / 38.0,
    };
    pub fn times(self, factor: f64) -> Self {
        Self {
            short_per_s: self.short_per_s * factor,
            long_per_s: self.long_per_s * factor,
        }
    }
}

pub struct SimulatedEngine {
    rng: StdRng,
    pub load: EngineLoad,
    /// relative time of a step
    pub relative_time: f64,
    pub has_slow_phases: bool,
    /// whether reports count a prompt in full from its start
    pub counts_full_prompts: bool,
    slow_until_ms: f64,
    next_slow_ms: f64,
    next_arrival_ms: f64,
    now_ms: f64,
    /// end of the step in progress
    step_ends_ms: f64,
    /// tokens that the step in progress prefills, by run
    step_prefill: Vec<(String, u64)>,
    /// whether a step is in progress
    is_stepping: bool,
    runs: Vec<Run>,
    queue: VecDeque<Run>,
    started: u64,
}

impl SimulatedEngine {
    pub fn new(seed: u64, load: EngineLoad, relative_time: f64) -> Self {
        let mut engine = Self {
            rng: StdRng::seed_from_u64(seed),
            load,
            relative_time,
            has_slow_phases: false,
            counts_full_prompts: false,
            slow_until_ms: 0.0,
            next_slow_ms: 0.0,
            next_arrival_ms: 0.0,
            now_ms: 0.0,
            step_ends_ms: 0.0,
            step_prefill: Vec::new(),
            is_stepping: false,
            runs: Vec::new(),
            queue: VecDeque::new(),
            started: 0,
        };
        engine.next_slow_ms = engine.next_slow_gap();
        engine
    }

    /// Returns the interval between two events without prefill, in ms.
    pub fn event_interval_ms(&self) -> f64 {
        let step = STEP_MS + STEP_MS_PER_RUN * self.runs.len() as f64;
        step * TOKENS_PER_EVENT as f64 * self.relative_time
    }
    pub fn prefill_tokens_per_ms(&self) -> f64 {
        PREFILL_TOKENS_PER_MS / self.relative_time
    }
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Runs the engine until a time.
    pub fn advance_to(&mut self, until_ms: f64) {
        loop {
            self.arrive();
            if !self.is_stepping && !self.begin_step() {
                // idle until the next arrival
                if self.next_arrival_ms > until_ms {
                    self.now_ms = until_ms;
                    return;
                }
                self.now_ms = self.next_arrival_ms.max(self.now_ms);
                continue;
            }
            if self.step_ends_ms > until_ms {
                return;
            }
            self.end_step();
        }
    }

    /// Returns the runs as the engine's report has them.
    pub fn report(&self) -> Vec<EngineRun> {
        let runs = self.runs.iter().map(|run| EngineRun {
            request_id: run.id.clone(),
            tokens: run.generated
                + match self.counts_full_prompts {
                    true => run.prompt,
                    false => run.prefilled,
                },
            events: run.generated / TOKENS_PER_EVENT,
            priority: 0,
        });
        runs.collect()
    }

    fn arrive(&mut self) {
        while self.next_arrival_ms <= self.now_ms {
            let per_s = self.load.short_per_s + self.load.long_per_s;
            let is_short = self.rng.random_range(0.0..per_s) < self.load.short_per_s;
            let (shared, own, events) = match is_short {
                true => (568, 1_800.0, 8),
                false => (350, 1_110.0, 57),
            };
            // sizes vary widely around their mean
            let own = own * self.exponential(1.0).clamp(0.1, 3.8);
            let is_kept = self.rng.random_range(0.0..1.0) < KEPT_RATIO;
            self.started += 1;
            self.queue.push_back(Run {
                id: format!("r{}", self.started),
                prompt: shared + own as u64,
                prefilled: if is_kept { shared } else { 0 },
                generated: 0,
                output: events * TOKENS_PER_EVENT,
            });
            self.next_arrival_ms += self.exponential(1_000.0 / per_s);
        }
        while self.runs.len() < SLOTS {
            let Some(run) = self.queue.pop_front() else {
                break;
            };
            self.runs.push(run);
        }
    }

    fn begin_step(&mut self) -> bool {
        if self.runs.is_empty() {
            return false;
        }
        let mut left = CHUNK_TOKENS;
        self.step_prefill.clear();
        for run in self.runs.iter().filter(|r| r.prefilled < r.prompt) {
            let part = left.min(run.prompt - run.prefilled);
            if part > 0 {
                self.step_prefill.push((run.id.clone(), part));
            }
            left -= part;
        }
        let prefilled = (CHUNK_TOKENS - left) as f64;
        let step = STEP_MS + STEP_MS_PER_RUN * self.runs.len() as f64;
        let ms = (step + prefilled / PREFILL_TOKENS_PER_MS) * self.current_time();
        self.step_ends_ms = self.now_ms + ms;
        self.is_stepping = true;
        true
    }

    fn end_step(&mut self) {
        self.now_ms = self.step_ends_ms;
        self.is_stepping = false;
        for run in &mut self.runs {
            let part = self.step_prefill.iter().find(|(id, _)| *id == run.id);
            if let Some((_, part)) = part {
                run.prefilled += part;
            } else if run.prefilled == run.prompt {
                run.generated += 1;
            }
        }
        self.runs.retain(|run| run.generated < run.output);
    }

    /// Returns the relative time now, which includes short slow phases.
    fn current_time(&mut self) -> f64 {
        if !self.has_slow_phases {
            return self.relative_time;
        }
        if self.now_ms >= self.next_slow_ms {
            self.slow_until_ms = self.next_slow_ms + SLOW_PHASE_MS;
            self.next_slow_ms = self.slow_until_ms + self.next_slow_gap();
        }
        match self.now_ms < self.slow_until_ms {
            true => self.relative_time * SLOW_PHASE_FACTOR,
            false => self.relative_time,
        }
    }

    fn next_slow_gap(&mut self) -> f64 {
        self.exponential(SLOW_PHASE_MS * (1.0 - SLOW_PHASE_RATIO) / SLOW_PHASE_RATIO)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * self.rng.random_range(f64::EPSILON..1.0f64).ln()
    }
}
