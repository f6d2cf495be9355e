//! Measuring how fast an engine is from the progress of its runs, on simulated engines.

mod engine_sim;

use {
    chalkcart_coordination::{
        backend_performance::{PerformanceEstimator, PublishedPerformance, RelativeRate},
        placement::EngineRun,
    },
    engine_sim::{EngineLoad, SimulatedEngine},
    std::time::{Duration, Instant},
};

const SEEDS: u64 = 24;
/// interval between two reads of an engine that loads nothing
const READ_MS: u32 = 100;
/// relative times of the engines of U
const RELATIVE_TIMES: [f64; 3] = [0.7, 1.0, 1.7];
/// event interval of an engine of relative time 1 with few runs, in ms
const EVENT_MS: f64 = 31.5;
/// factor and duration of the slowness that must be known in time
const SLOW_FACTOR: f64 = 3.5;
const SLOW_MS: u32 = 6_500;
/// time within which a change must be known
const KNOWN_WITHIN_MS: u32 = 2_000;

/// An engine and the estimator of its sidecar.
struct Measured {
    engine: SimulatedEngine,
    estimator: PerformanceEstimator,
    start: Instant,
    at_ms: u32,
}

impl Measured {
    fn new(seed: u64, load: EngineLoad, relative_time: f64) -> Self {
        Self {
            engine: SimulatedEngine::new(seed, load, relative_time),
            estimator: PerformanceEstimator::default(),
            start: Instant::now(),
            at_ms: 0,
        }
    }
    fn now(&self) -> Instant {
        self.start + Duration::from_millis(u64::from(self.at_ms))
    }
    /// Runs the engine until its next read.
    fn step(&mut self) {
        self.step_of(READ_MS);
    }
    fn step_of(&mut self, read_ms: u32) {
        self.at_ms += read_ms;
        self.engine.advance_to(f64::from(self.at_ms));
        let runs = self.engine.report();
        self.estimator.on_report(Some(&runs), self.now());
    }
    fn run(&mut self, ms: u32) {
        (0..ms / READ_MS).for_each(|_| self.step());
    }
    fn published(&self) -> PublishedPerformance {
        self.estimator.published()
    }
    fn interval_ms(&self) -> Option<f64> {
        Some(f64::from(self.published().event_interval_us?) / 1e3)
    }
    /// Returns the time until a condition on the interval holds, in ms, without the time in which
    /// the engine is idle and nothing can be measured.
    fn busy_time_until(&mut self, holds: impl Fn(f64) -> bool) -> u32 {
        let (from_ms, mut busy_ms) = (self.at_ms, 0);
        while !self.interval_ms().is_some_and(&holds) {
            assert!(self.at_ms - from_ms < SLOW_MS, "not known at all");
            self.step();
            busy_ms += READ_MS * u32::from(self.engine.running() > 0);
        }
        busy_ms
    }
}

#[test]
fn equal_and_unequal_engines_are_measured_while_they_prefill() {
    // guards against a rate that counts the time of prefill as decode, or kept parts as prefill
    for relative_time in RELATIVE_TIMES {
        for seed in 0..SEEDS {
            let mut measured = Measured::new(seed, EngineLoad::CALM, relative_time);
            measured.run(5_000);
            for _ in 0..200 {
                measured.step();
                let known = measured.interval_ms().expect("a figure after 5 s");
                let ratio = known / measured.engine.event_interval_ms();
                assert!(
                    (0.8..1.2).contains(&ratio),
                    "{relative_time} {seed}: {ratio}"
                );
            }
        }
    }
}

#[test]
fn a_slow_engine_is_known_and_trusted_again_within_two_seconds() {
    // guards against an average whose memory is longer than the slowness
    let few_runs = EngineLoad {
        short_per_s: 0.0,
        long_per_s: 2.0,
    };
    for (load, relative_time) in [
        (EngineLoad::CALM, 0.7),
        (EngineLoad::CALM, 1.0),
        (EngineLoad::CALM, 1.7),
        (few_runs, 1.0),
    ] {
        for seed in 0..SEEDS {
            let mut measured = Measured::new(seed, load, relative_time);
            measured.run(20_000);
            let middle = EVENT_MS * relative_time * SLOW_FACTOR.sqrt();
            measured.engine.relative_time = relative_time * SLOW_FACTOR;
            let slow_from_ms = measured.at_ms;
            let time = measured.busy_time_until(|ms| ms > middle);
            assert!(time <= KNOWN_WITHIN_MS, "{relative_time} {seed}: {time}");
            measured.run(SLOW_MS - (measured.at_ms - slow_from_ms));
            measured.engine.relative_time = relative_time;
            let time = measured.busy_time_until(|ms| ms < middle);
            assert!(time <= KNOWN_WITHIN_MS, "{relative_time} {seed}: {time}");
        }
    }
}

#[test]
fn an_engine_that_runs_single_short_streams_is_measured() {
    // guards against samples that a short run never completes
    let load = EngineLoad {
        short_per_s: 0.5,
        long_per_s: 0.0,
    };
    for relative_time in RELATIVE_TIMES {
        for seed in 0..SEEDS {
            let mut measured = Measured::new(seed, load, relative_time);
            measured.run(30_000);
            let known = measured.interval_ms().expect("a figure after 30 s");
            let ratio = known / (EVENT_MS * relative_time);
            assert!(
                (0.75..1.35).contains(&ratio),
                "{relative_time} {seed}: {ratio}"
            );
        }
    }
}

#[test]
fn engines_that_count_prompts_in_full_at_once_are_measured_too() {
    // guards against prompts that count as prefilled when they arrive: a queue of them would make
    // a slow engine look fast
    for relative_time in RELATIVE_TIMES {
        let mut ratios = Vec::new();
        for seed in 0..SEEDS {
            let mut measured = Measured::new(seed, EngineLoad::CALM, relative_time);
            measured.engine.counts_full_prompts = true;
            measured.run(10_000);
            for _ in 0..10 {
                measured.run(1_000);
                let known = measured.interval_ms().expect("a figure after 10 s");
                ratios.push(known / measured.engine.event_interval_ms());
            }
            let middle = EVENT_MS * relative_time * SLOW_FACTOR.sqrt();
            measured.engine.relative_time = relative_time * SLOW_FACTOR;
            // prompts show no progress until their first event, so it is known later than usual,
            // but before half of the slowness is over
            let time = measured.busy_time_until(|ms| ms > middle);
            assert!(time <= SLOW_MS / 2, "{relative_time} {seed}: {time}");
        }
        ratios.sort_by(f64::total_cmp);
        let median = ratios[ratios.len() / 2];
        assert!((0.8..1.2).contains(&median), "{relative_time}: {median}");
    }
}

#[test]
fn short_slow_phases_seldom_change_the_figures() {
    // guards against figures that follow each phase, which would move the homes of adapters
    let (mut steps, mut slow_steps, mut rate_changes) = (0, 0, 0);
    for relative_time in RELATIVE_TIMES {
        for seed in 0..SEEDS {
            let mut measured = Measured::new(seed, EngineLoad::CALM, relative_time);
            measured.engine.has_slow_phases = true;
            measured.run(5_000);
            let usual_us = (EVENT_MS * relative_time * 1e3) as u32;
            let mut last = 1.0;
            for _ in 0..300 {
                measured.step();
                let known = measured.published().event_interval_us.expect("a figure");
                let rate = RelativeRate::of_intervals(known, usual_us).value();
                steps += 1;
                slow_steps += u32::from(rate < 0.7);
                rate_changes += u32::from(rate != last);
                last = rate;
            }
        }
    }
    // the phases themselves take 15 in 100 of the time, and begin or end once each 2 s
    assert!(slow_steps * 20 < steps, "{slow_steps} of {steps} steps");
    let seconds = steps * READ_MS / 1_000;
    assert!(rate_changes * 2 < seconds, "{rate_changes} in {seconds} s");
}

#[test]
fn the_prefill_rate_is_measured_in_proportion() {
    // guards against a rate in other units, or one that doesn't follow the engine
    for relative_time in RELATIVE_TIMES {
        let mut ratios: Vec<f64> = Vec::new();
        for seed in 0..SEEDS {
            let mut measured = Measured::new(seed, EngineLoad::CALM, relative_time);
            measured.run(30_000);
            let rate = measured.published().prefill_tokens_per_s;
            let engine = &measured.engine;
            ratios.extend(rate.map(|r| f64::from(r) / 1e3 / engine.prefill_tokens_per_ms()));
        }
        ratios.sort_by(f64::total_cmp);
        assert!(ratios.len() as u64 > SEEDS / 2, "{relative_time}");
        // the parts that engines keep count as prefilled: a tenth on average
        let median = ratios[ratios.len() / 2];
        assert!((0.9..1.3).contains(&median), "{relative_time}: {median}");
    }
}

#[test]
fn frequent_reads_give_the_same_figures() {
    // guards against samples that are too short while a sidecar reads each 20 ms
    for seed in 0..SEEDS {
        let mut measured = Measured::new(seed, EngineLoad::CALM, 1.0);
        measured.run(5_000);
        for _ in 0..400 {
            measured.step_of(20);
            let known = measured.interval_ms().expect("a figure");
            let ratio = known / measured.engine.event_interval_ms();
            assert!((0.8..1.25).contains(&ratio), "{seed}: {ratio}");
        }
    }
}

#[test]
fn figures_are_published_in_steps_and_seldom_change() {
    // guards against views that are sent for the noise of the measurement
    for relative_time in RELATIVE_TIMES {
        let mut changes = 0;
        for seed in 0..SEEDS {
            let mut measured = Measured::new(seed, EngineLoad::CALM, relative_time);
            measured.run(10_000);
            let mut last = measured.published().event_interval_us;
            for _ in 0..200 {
                measured.step();
                let known = measured.published().event_interval_us;
                changes += u32::from(known != last);
                last = known;
            }
        }
        let seconds = SEEDS as u32 * 20;
        assert!(changes * 10 < seconds * 2, "{relative_time}: {changes}");
    }
}

/// Returns a run with this many tokens in memory and events.
fn run(id: &str, tokens: u64, events: u64) -> EngineRun {
    EngineRun {
        request_id: id.to_string(),
        tokens,
        events,
        priority: 0,
    }
}

/// Reports one run that makes an event each 50 ms, from a count of reports until another.
fn report_steadily(
    estimator: &mut PerformanceEstimator,
    start: Instant,
    reports: std::ops::Range<u32>,
) {
    for nth in reports {
        let events = 1 + 2 * u64::from(nth);
        let runs = [run("a", 1_000 + 3 * events, events)];
        estimator.on_report(Some(&runs), start + Duration::from_millis(100) * nth);
    }
}

fn interval_us(estimator: &PerformanceEstimator) -> Option<u32> {
    estimator.published().event_interval_us
}

#[test]
fn nothing_is_published_without_measurements() {
    // guards against a default that entries would take for a measurement
    let start = Instant::now();
    let mut estimator = PerformanceEstimator::default();
    for nth in 0..50 {
        let now = start + Duration::from_millis(100) * nth;
        // an engine that doesn't report its runs, then an idle one
        let runs: Option<&[EngineRun]> = if nth < 25 { None } else { Some(&[]) };
        estimator.on_report(runs, now);
        assert_eq!(estimator.published(), PublishedPerformance::default());
    }
}

#[test]
fn a_single_wrong_measurement_has_no_effect() {
    // guards against a moved run, whose tokens appear at once, counting as a fast prefill, and
    // against a pause of the sidecar counting as a slow engine
    let start = Instant::now();
    let mut estimator = PerformanceEstimator::default();
    report_steadily(&mut estimator, start, 0..50);
    let before = interval_us(&estimator).expect("a figure");
    assert!((47_500..=52_500).contains(&before), "{before}");
    let moved = [run("a", 1_303, 101), run("moved", 6_000, 0)];
    estimator.on_report(Some(&moved), start + Duration::from_millis(5_000));
    report_steadily(&mut estimator, start, 51..60);
    assert_eq!(interval_us(&estimator), Some(before));
    // a report that is handled 5 s late, and one in time
    let late = [run("a", 1_361, 121)];
    estimator.on_report(Some(&late), start + Duration::from_millis(11_000));
    report_steadily(&mut estimator, start, 111..120);
    assert_eq!(interval_us(&estimator), Some(before));
}

#[test]
fn an_engine_without_requests_becomes_unknown() {
    // guards against trusting a figure from before a long idle time
    let start = Instant::now();
    let mut estimator = PerformanceEstimator::default();
    report_steadily(&mut estimator, start, 0..50);
    assert!(interval_us(&estimator).is_some());
    for nth in 50..400 {
        estimator.on_report(Some(&[]), start + Duration::from_millis(100) * nth);
    }
    assert_eq!(estimator.published(), PublishedPerformance::default());
}

#[test]
fn large_changes_are_reported_once_and_not_too_often() {
    // guards against a log line for each view, and against none
    let mut measured = Measured::new(1, EngineLoad::CALM, 1.0);
    let mut changes = Vec::new();
    for nth in 0..400 {
        if nth == 200 {
            measured.engine.relative_time = SLOW_FACTOR;
        }
        measured.step();
        let now = measured.now();
        changes.extend(measured.estimator.take_change(now).map(|c| (nth, c)));
    }
    assert!((2..=5).contains(&changes.len()), "{changes:?}");
    let (_, first) = changes[0];
    assert_eq!(first.before, PublishedPerformance::default());
    let after_change = changes.iter().find(|(nth, _)| *nth > 200);
    let (_, change) = after_change.expect("a change to slow");
    assert!(change.before.event_interval_us < change.after.event_interval_us);
    assert!(change.samples > 0 && change.oldest_sample_age > Duration::ZERO);
}

#[test]
fn changes_are_logged_at_most_once_a_second() {
    // guards against a log that a flapping engine fills
    for seed in 0..SEEDS {
        let mut measured = Measured::new(seed, EngineLoad::CALM, 1.0);
        let mut last: Option<u32> = None;
        for nth in 0..600u32 {
            // as fast a change as the estimate can follow
            measured.engine.relative_time = if nth % 30 < 15 { 0.4 } else { 4.0 };
            measured.step();
            let now = measured.now();
            if measured.estimator.take_change(now).is_some() {
                assert!(last.is_none_or(|last| nth - last >= 10), "{seed}");
                last = Some(nth);
            }
        }
        assert!(last.is_some());
    }
}
