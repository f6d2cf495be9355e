//! The queue of one engine under overload, as on the heavy day of deployment C: three kinds of
//! streams, of which the most urgent has most of the requests and the largest prompts.

mod dispatch_fixture;

use {
    chalkcart_coordination::{
        dispatch::{urgency, urgency_by_route, DispatchRequest, RouteRank},
        membership::rendezvous_weight,
    },
    dispatch_fixture::*,
    std::time::{Duration, Instant},
};

const SEEDS: u64 = 40;
const TOKENS_PER_MS: f64 = 19.2;
/// Prompt tokens of one step, the time of a step without them, and the slots.
const CHUNK: u32 = 2_048;
const STEP_MS: f64 = 10.5;
const SLOTS: usize = 64;
/// Clients give up after this many objectives without a first event.
const PATIENCE: u32 = 4;

/// A kind of stream: requests a second at all engines, median of the prompt tokens, events,
/// priority, objective.
struct Kind {
    per_s: f64,
    prompt_tokens: f64,
    events: u32,
    priority: u8,
    target_latency: Duration,
}

const ENGINES_OF_C: f64 = 45.0;

const KINDS: [Kind; 3] = [
    Kind {
        per_s: 117.0,
        prompt_tokens: 2_368.0,
        events: 8,
        priority: 0,
        target_latency: Duration::from_millis(1_000),
    },
    Kind {
        per_s: 20.0,
        prompt_tokens: 2_368.0,
        events: 8,
        priority: 1,
        target_latency: Duration::from_millis(1_000),
    },
    Kind {
        per_s: 35.0,
        prompt_tokens: 1_460.0,
        events: 57,
        priority: 2,
        target_latency: Duration::from_millis(2_000),
    },
];

#[derive(Debug, Clone, Copy, PartialEq)]
enum Order {
    BySize,
    ByRoute,
}

/// Deterministic random numbers from a seed.
struct SeededRandom(u64, u64);

impl SeededRandom {
    fn fraction(&mut self) -> f64 {
        self.1 += 1;
        let bits = rendezvous_weight(self.0, self.1) >> 11;
        (bits as f64 + 1.0) / (1u64 << 53) as f64
    }
    fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.fraction()).sum::<f64>() - 6.0
    }
}

struct Queued {
    kind: usize,
    arrived_ms: f64,
    tokens_left: f64,
    urgency: u8,
}

/// Requests of each kind, and those with a first event in time.
#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    arrived: [u32; 3],
    in_time: [u32; 3],
}

impl Counts {
    fn add(&mut self, other: &Self) {
        for kind in 0..3 {
            self.arrived[kind] += other.arrived[kind];
            self.in_time[kind] += other.in_time[kind];
        }
    }
    fn share(&self, kind: usize) -> f64 {
        f64::from(self.in_time[kind]) / f64::from(self.arrived[kind].max(1))
    }
    fn total(&self) -> u32 {
        self.in_time.iter().sum()
    }
}

/// Draws the requests of 30 s: arrival in ms, kind, prompt tokens. For 5 s out of 10 the load
/// is `load` times the usual, otherwise 1.5 times.
fn draw_requests(seed: u64, load: f64) -> Vec<(f64, usize, u32)> {
    let mut random = SeededRandom(seed, 0);
    let mut requests = Vec::new();
    for (number, kind) in KINDS.iter().enumerate() {
        let mut at_ms = 0.0;
        while at_ms < 30_000.0 {
            let is_heavy = (at_ms / 5_000.0) as u64 % 2 == 1;
            let factor = if is_heavy { load } else { 1.5 };
            let per_ms = kind.per_s * factor / ENGINES_OF_C / 1_000.0;
            at_ms += -random.fraction().ln() / per_ms;
            let tokens = kind.prompt_tokens * (0.5 * random.normal()).exp();
            requests.push((at_ms, number, tokens.min(7_400.0) as u32));
        }
    }
    requests.sort_by(|a, b| a.0.total_cmp(&b.0));
    requests
}

fn urgency_of(order: Order, kind: &Kind, prompt_tokens: u32, fixture: &Fixture) -> u8 {
    let request = DispatchRequest {
        prompt_tokens,
        priority: kind.priority,
        target_latency: kind.target_latency,
        ..fixture.new_request(ENGINES, Some("a"))
    };
    let route = RouteRank {
        rank: kind.priority,
        ranks: 3,
    };
    let now: Instant = fixture.now + ms(5);
    match order {
        Order::BySize => urgency(&request, TOKENS_PER_MS, now),
        Order::ByRoute => urgency_by_route(&request, route, kind.prompt_tokens, TOKENS_PER_MS, now),
    }
}

/// Runs an engine whose steps take `relative` times as long.
fn simulate(order: Order, seed: u64, load: f64, relative: f64) -> Counts {
    let fixture = fixture_with_views();
    let mut counts = Counts::default();
    let mut arrivals = draw_requests(seed, load).into_iter().peekable();
    let mut queue: Vec<Queued> = Vec::new();
    // steps that each running stream still takes
    let mut running: Vec<u32> = Vec::new();
    let mut now_ms = 0.0;
    while now_ms < 40_000.0 {
        while let Some((at_ms, kind, tokens)) = arrivals.next_if(|(at_ms, ..)| *at_ms <= now_ms) {
            counts.arrived[kind] += 1;
            queue.push(Queued {
                kind,
                arrived_ms: at_ms,
                tokens_left: f64::from(tokens),
                urgency: urgency_of(order, &KINDS[kind], tokens, &fixture),
            });
        }
        queue.retain(|queued| {
            let patience = KINDS[queued.kind].target_latency * PATIENCE;
            now_ms - queued.arrived_ms < patience.as_secs_f64() * 1_000.0
        });
        // prompts that have begun go on, then the most urgent, then the first
        queue.sort_by(|a, b| {
            (a.urgency, a.arrived_ms)
                .partial_cmp(&(b.urgency, b.arrived_ms))
                .expect("numbers")
        });
        let mut chunk = f64::from(CHUNK);
        let mut ready = Vec::new();
        for (number, queued) in queue.iter_mut().enumerate() {
            if chunk <= 0.0 || running.len() + ready.len() >= SLOTS {
                break;
            }
            let tokens = queued.tokens_left.min(chunk);
            queued.tokens_left -= tokens;
            chunk -= tokens;
            if queued.tokens_left <= 0.0 {
                ready.push(number);
            }
        }
        let prefill_ms = (f64::from(CHUNK) - chunk) / TOKENS_PER_MS;
        now_ms += (STEP_MS + prefill_ms) * relative;
        running.iter_mut().for_each(|steps| *steps -= 1);
        running.retain(|steps| *steps > 0);
        for number in ready.into_iter().rev() {
            let queued = queue.remove(number);
            let kind = &KINDS[queued.kind];
            // the first event has three tokens
            let first_ms = now_ms + 3.0 * STEP_MS * relative - queued.arrived_ms;
            let is_in_time = first_ms <= kind.target_latency.as_secs_f64() * 1_000.0;
            counts.in_time[queued.kind] += u32::from(is_in_time);
            running.push(kind.events * 3);
        }
    }
    counts
}

fn simulate_all(order: Order, load: f64, relative: f64) -> Counts {
    let mut counts = Counts::default();
    for seed in 0..SEEDS {
        counts.add(&simulate(order, seed, load, relative));
    }
    let shares = [0, 1, 2].map(|kind| counts.share(kind));
    println!("{order:?}, load {load}, relative {relative}: {shares:.3?}, {counts:?}");
    counts
}

/// Loads during heavy times and relative times of a step: an engine with one to almost three
/// times the prompts that it can prefill.
const CASES: [(f64, f64); 5] = [(2.0, 1.0), (2.5, 1.0), (3.0, 1.0), (2.5, 1.3), (3.2, 1.3)];
/// A more urgent kind may be served this much less often than a less urgent one.
const TOLERANCE: f64 = 0.05;

/// Guards against an order by size alone, which serves a less urgent kind with shorter prompts
/// more often, and against an order by route that serves fewer requests in all.
#[test]
fn a_more_urgent_kind_is_not_served_worse_and_no_fewer_are_served() {
    let mut was_out_of_order = false;
    for (load, relative) in CASES {
        let before = simulate_all(Order::BySize, load, relative);
        let after = simulate_all(Order::ByRoute, load, relative);
        let case = format!("load {load}, relative {relative}");
        assert!(after.total() >= before.total(), "{case}: {after:?}");
        assert!(is_in_order(&after), "{case}: {after:?}");
        was_out_of_order |= !is_in_order(&before);
    }
    assert!(was_out_of_order, "by size alone");
}

/// Returns whether no kind is served more often than a more urgent one.
fn is_in_order(counts: &Counts) -> bool {
    let pairs = [(0, 1), (0, 2), (1, 2)];
    pairs
        .iter()
        .all(|(urgent, other)| counts.share(*urgent) >= counts.share(*other) - TOLERANCE)
}
