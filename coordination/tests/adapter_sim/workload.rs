//! Streams and their adapters: Zipf over a set in use that shifts every few seconds.

use {
    super::SimTime,
    rand::{rngs::StdRng, RngExt, SeedableRng},
};

/// Adapters that exist.
const ADAPTERS: u32 = 10_000;
/// Adapters in use at a time.
const IN_USE: usize = 1_200;
const ZIPF_EXPONENT: f64 = 1.2;
/// Interval between two shifts of the set in use, in ms.
const SHIFT_INTERVAL_MS: SimTime = 4_000;
/// Fraction of the ranks that get another adapter in a shift.
const SHIFTED_RATIO: f64 = 0.33;
/// Standard deviation of the logarithm of the own prompt tokens.
const PROMPT_SIGMA: f64 = 0.6;
/// Largest own part of a prompt, in tokens.
const MAX_OWN_TOKENS: f64 = 6_870.0;

/// A kind of stream.
#[derive(Debug, Clone, Copy)]
pub struct StreamKind {
    pub per_s: f64,
    pub shared_tokens: u32,
    pub own_tokens: f64,
    pub events: u32,
    pub priority: u8,
    pub objective_ms: SimTime,
    pub deadline_ms: SimTime,
}

/// The streams of deployment U in docs/design/uneven-load.md.
pub const KINDS: [StreamKind; 3] = [
    StreamKind {
        per_s: 116.0,
        shared_tokens: 568,
        own_tokens: 1_800.0,
        events: 8,
        priority: 1,
        objective_ms: 1_000,
        deadline_ms: 5_000,
    },
    StreamKind {
        per_s: 16.0,
        shared_tokens: 568,
        own_tokens: 1_800.0,
        events: 8,
        priority: 1,
        objective_ms: 1_000,
        deadline_ms: 15_000,
    },
    StreamKind {
        per_s: 35.0,
        shared_tokens: 350,
        own_tokens: 1_110.0,
        events: 57,
        priority: 0,
        objective_ms: 1_000,
        deadline_ms: 15_000,
    },
];

/// A stream that a client requests.
#[derive(Debug, Clone)]
pub struct Stream {
    pub adapter: u32,
    pub kind: StreamKind,
    pub own_tokens: u32,
    pub arrived_at: SimTime,
}

pub struct Workload {
    rng: StdRng,
    /// Adapter of each rank.
    in_use: Vec<u32>,
    /// Cumulative probability of each rank.
    cumulative: Vec<f64>,
    shifted_at: SimTime,
    /// Expected arrivals that have not happened, by kind.
    due: [f64; KINDS.len()],
}

impl Workload {
    pub fn new(seed: u64, adapters_in_use: Option<usize>) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let ranks = adapters_in_use.unwrap_or(IN_USE);
        let in_use = (0..ranks).map(|_| rng.random_range(0..ADAPTERS)).collect();
        let mut total = 0.0;
        let mut cumulative: Vec<f64> = Vec::with_capacity(ranks);
        for rank in 1..=ranks {
            total += (rank as f64).powf(-ZIPF_EXPONENT);
            cumulative.push(total);
        }
        cumulative.iter_mut().for_each(|c| *c /= total);
        Self {
            rng,
            in_use,
            cumulative,
            shifted_at: 0,
            due: [0.0; KINDS.len()],
        }
    }

    /// Returns the streams that arrive in the next `step_ms`, at `rate` times the usual rate.
    pub fn arrivals(
        &mut self,
        now: SimTime,
        step_ms: SimTime,
        rate: f64,
        is_shifting: bool,
    ) -> Vec<Stream> {
        if is_shifting && now >= self.shifted_at + SHIFT_INTERVAL_MS {
            self.shifted_at = now;
            self.shift();
        }
        let mut streams = Vec::new();
        for (i, kind) in KINDS.iter().enumerate() {
            let expected = kind.per_s * rate * step_ms as f64 / 1_000.0;
            // exponential gaps between arrivals
            self.due[i] -= expected;
            while self.due[i] < 0.0 {
                let u: f64 = self.rng.random();
                self.due[i] -= (1.0 - u).ln();
                streams.push(self.stream(*kind, now));
            }
        }
        streams
    }

    fn stream(&mut self, kind: StreamKind, now: SimTime) -> Stream {
        let u: f64 = self.rng.random();
        let rank = self.cumulative.partition_point(|c| *c < u);
        let adapter = self.in_use[rank.min(self.in_use.len() - 1)];
        let own =
            kind.own_tokens * (self.normal() * PROMPT_SIGMA - PROMPT_SIGMA.powi(2) / 2.0).exp();
        Stream {
            adapter,
            kind,
            own_tokens: own.clamp(20.0, MAX_OWN_TOKENS) as u32,
            arrived_at: now,
        }
    }

    fn shift(&mut self) {
        for rank in 0..self.in_use.len() {
            if self.rng.random::<f64>() < SHIFTED_RATIO {
                self.in_use[rank] = self.rng.random_range(0..ADAPTERS);
            }
        }
    }

    fn normal(&mut self) -> f64 {
        let (u, v): (f64, f64) = (self.rng.random(), self.rng.random());
        (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos()
    }
}
