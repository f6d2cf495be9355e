//! Whom a crash blames, and how long a request is blocked for it. Guards against equal requests of
//! many clients that are blamed as one, and against a block that only its own run may lift.

use {
    chalkcart_coordination::crashes::{CrashRegistry, RequestVerdict, BLOCKED_AFTER_CRASHES},
    chalkcart_state::ingress::RequestDigest,
    quickcheck::{Arbitrary, Gen},
    std::time::{Duration, Instant},
};

const SEED: u64 = 93;
const STEP: Duration = Duration::from_millis(100);
/// Most runs in a minute of a request that crashes engines, over all entries, once it is blocked.
const MAX_TRIES_PER_MINUTE: usize = 5;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn digest() -> RequestDigest {
    RequestDigest::of("GET", "/fees/table", "", b"")
}

fn is_blocked(registry: &mut CrashRegistry, now: Instant) -> bool {
    matches!(
        registry.verdict(&digest(), now),
        RequestVerdict::Blocked { .. }
    )
}

fn crash(registry: &mut CrashRegistry, engine: u64, at: Instant, now: Instant) {
    registry.on_engine_ended(digest(), engine, at, now);
}

/// Guards against equal requests that are blocked by crashes which are known only after many of them
/// have completed (review/8).
#[test]
fn runs_that_complete_before_a_crash_is_known_clear_it() {
    let start = Instant::now();
    let mut registry = CrashRegistry::new(1);
    registry.on_completed(digest(), start + ms(900));
    for engine in 0..3 {
        crash(
            &mut registry,
            engine,
            start + ms(engine * 200),
            start + ms(3_600),
        );
    }
    assert_eq!(
        registry.verdict(&digest(), start + ms(3_600)),
        RequestVerdict::Clear
    );
}

/// Guards against entries that did not see the completed runs and go on blocking.
#[test]
fn a_run_that_completed_before_a_crash_was_told_clears_it_everywhere() {
    let start = Instant::now();
    let (mut first, mut second) = (CrashRegistry::new(1), CrashRegistry::new(2));
    second.on_completed(digest(), start + ms(900));
    for engine in 0..3 {
        crash(
            &mut first,
            engine,
            start + ms(engine * 200),
            start + ms(3_600),
        );
    }
    let now = start + ms(3_700);
    assert!(is_blocked(&mut first, now));
    second.merge(&first.reports_since(0, now).0, now);
    assert_eq!(second.verdict(&digest(), now), RequestVerdict::Clear);
    first.merge(&second.reports_since(0, now).0, now);
    assert_eq!(first.verdict(&digest(), now), RequestVerdict::Clear);
}

/// Guards against a request that is blocked because all its servers failed at one moment.
#[test]
fn crashes_at_one_moment_count_once_for_a_request_that_does_well() {
    let start = Instant::now();
    let mut registry = CrashRegistry::new(1);
    registry.on_completed(digest(), start);
    let at = start + ms(500);
    for engine in 0..5 {
        crash(&mut registry, engine, at + ms(engine * 20), at + ms(3_600));
    }
    let now = at + ms(3_600);
    assert_eq!(
        registry.verdict(&digest(), now),
        RequestVerdict::Suspected { crashes: 1 }
    );
    // separate ones count, as no run completes any more
    for number in 1..=2 {
        let at = at + ms(number * 1_000);
        crash(&mut registry, 10 + number, at, at + ms(3_600));
    }
    assert!(is_blocked(&mut registry, at + ms(6_000)));
}

/// Guards against a cause that is sent to all entries at one moment and counts once.
#[test]
fn crashes_at_one_moment_count_for_a_request_that_never_did_well() {
    let start = Instant::now();
    let mut registry = CrashRegistry::new(1);
    (0..3).for_each(|engine| crash(&mut registry, engine, start, start));
    assert!(is_blocked(&mut registry, start));
}

/// Guards against a block that lasts for as long as the request is asked for.
#[test]
fn a_blocked_request_is_tried_by_one_at_a_time_and_cleared_by_its_completion() {
    let start = Instant::now();
    let mut registry = CrashRegistry::new(1);
    registry.set_entries(1);
    (0..3).for_each(|engine| crash(&mut registry, engine, start, start));
    let mut now = start;
    while !registry.take_try(&digest(), now) {
        now += STEP;
        assert!(now < start + Duration::from_secs(70), "never tried");
    }
    assert!(now >= start + Duration::from_secs(60));
    assert!(!registry.take_try(&digest(), now), "one at a time");
    assert!(is_blocked(&mut registry, now), "others wait");
    registry.on_completed(digest(), now + ms(30));
    assert_eq!(
        registry.verdict(&digest(), now + ms(30)),
        RequestVerdict::Clear
    );
}

#[test]
fn a_further_crash_blocks_for_longer() {
    let start = Instant::now();
    let mut registry = CrashRegistry::new(1);
    registry.set_entries(1);
    let mut waits = Vec::new();
    let mut last = start;
    (0..3).for_each(|engine| crash(&mut registry, engine, start, start));
    for engine in 3..6 {
        let mut now = last;
        while !registry.take_try(&digest(), now) {
            now += STEP;
        }
        waits.push((now - last).as_secs());
        crash(&mut registry, engine, now, now);
        last = now;
    }
    assert!(waits.is_sorted_by(|a, b| b > a), "{waits:?}");
}

/// A fleet that gets a request all the time, and learns of crashes after some time.
struct Sim {
    entries: Vec<CrashRegistry>,
    /// Crashes that become known at a time: entry, engine, when it crashed.
    pending: Vec<(Instant, usize, u64, Instant)>,
    known_after: Duration,
    told_after: Duration,
    /// When runs of the request began.
    runs: Vec<Instant>,
    refused: usize,
    exchanged_at: Instant,
    /// Revisions up to which the entries have told the others.
    told: Vec<u64>,
}

impl Sim {
    fn new(g: &mut Gen, entries: usize, known_after: Duration, now: Instant) -> Self {
        let registries = (0..entries).map(|_| {
            let mut registry = CrashRegistry::new(u64::arbitrary(g));
            registry.set_entries(entries as u32);
            registry
        });
        Self {
            entries: registries.collect(),
            pending: Vec::new(),
            known_after,
            told_after: ms(100),
            runs: Vec::new(),
            refused: 0,
            exchanged_at: now,
            told: vec![0; entries],
        }
    }

    /// One request at an entry; `crashes` tells whether it ends the engine that runs it.
    fn request(&mut self, entry: usize, crashes: bool, now: Instant) {
        let registry = &mut self.entries[entry];
        let is_blocked = is_blocked(registry, now);
        if is_blocked && !registry.take_try(&digest(), now) {
            self.refused += 1;
            return;
        }
        self.runs.push(now);
        let engine = self.runs.len() as u64;
        match crashes {
            true => self
                .pending
                .push((now + self.known_after, entry, engine, now)),
            false => {
                registry.on_completed(digest(), now);
            }
        }
    }

    fn pass(&mut self, now: Instant) {
        let due = self
            .pending
            .extract_if(.., |(known_at, ..)| *known_at <= now);
        for (_, entry, engine, at) in due.collect::<Vec<_>>() {
            crash(&mut self.entries[entry], engine, at, now);
        }
        if now - self.exchanged_at < self.told_after {
            return;
        }
        self.exchanged_at = now;
        for from in 0..self.entries.len() {
            let (reports, revision) = self.entries[from].reports_since(self.told[from], now);
            self.told[from] = revision;
            if reports.is_empty() {
                continue;
            }
            for to in (0..self.entries.len()).filter(|to| *to != from) {
                self.entries[to].merge(&reports, now);
            }
        }
    }

    fn most_runs_in_a_minute(&self, from: Instant) -> usize {
        let runs = self.runs.iter().filter(|at| **at >= from);
        let runs: Vec<&Instant> = runs.collect();
        let minute = Duration::from_secs(60);
        let in_minute = |first: &&Instant| {
            let within = runs
                .iter()
                .filter(|at| ***at >= **first && **at < &(**first + minute));
            within.count()
        };
        runs.iter().map(in_minute).max().unwrap_or(0)
    }
}

/// Guards against tries of all entries at once that crash one engine each.
#[test]
fn a_request_that_crashes_engines_reaches_few_however_often_it_is_asked_for() {
    let mut g = Gen::from_size_and_seed(20, SEED);
    for (entries, known_after) in [(2, 100), (4, 100), (4, 3_700), (32, 100), (32, 3_700)] {
        let start = Instant::now();
        let mut sim = Sim::new(&mut g, entries, ms(known_after), start);
        let mut now = start;
        // one entry brings the block about
        while now < start + Duration::from_secs(900) {
            let asked: Vec<usize> = match now < start + Duration::from_secs(20) {
                true => vec![0],
                false => (0..entries).collect(),
            };
            let is_first = now < start + Duration::from_secs(20);
            let may_send = !is_first || sim.pending.is_empty();
            for entry in asked.into_iter().filter(|_| may_send) {
                sim.request(entry, true, now);
            }
            now += STEP;
            sim.pass(now);
        }
        let most = sim.most_runs_in_a_minute(start + Duration::from_secs(20));
        assert!(
            most <= MAX_TRIES_PER_MINUTE,
            "{entries} entries, known after {known_after} ms: {most} in a minute"
        );
        assert!(sim.refused > 0);
    }
}

/// Guards against equal requests of many clients that are refused, as other causes crash engines
/// under them now and then, or all at one moment.
#[test]
fn equal_requests_that_crash_nothing_are_not_blocked() {
    let mut g = Gen::from_size_and_seed(20, SEED);
    for case in 0..40 {
        let start = Instant::now();
        let known_after = ms(100 + u64::from(u8::arbitrary(&mut g)) * 14);
        let mut sim = Sim::new(&mut g, 4, known_after, start);
        let mut now = start;
        while now < start + Duration::from_secs(60) {
            for entry in 0..4 {
                sim.request(entry, false, now);
            }
            // engines end by another cause, one or several at a time, with an equal request aboard
            if u8::arbitrary(&mut g) < 6 {
                for _ in 0..1 + u8::arbitrary(&mut g) % 5 {
                    let entry = usize::arbitrary(&mut g) % 4;
                    let engine = u64::arbitrary(&mut g);
                    sim.pending.push((now + known_after, entry, engine, now));
                }
            }
            now += STEP;
            sim.pass(now);
        }
        assert_eq!(sim.refused, 0, "case {case} of {}", BLOCKED_AFTER_CRASHES);
    }
}
