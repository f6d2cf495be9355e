//! Entries that choose at the same moment, with the pacing of streams and without it: the real
//! dispatchers of 24 entries and 45 engines with the steps of docs/design/uneven-load.md.

mod dispatch_fixture;
mod pacing_sim;

use {
    chalkcart_coordination::features::FeatureSwitches,
    pacing_sim::{Outcome, Scenario, Simulation},
};

/// Streams of the calm days on the requirements page.
const SHORT_PER_S: f64 = 137.0;
const LONG_PER_S: f64 = 35.0;
/// Factor of traffic on heavy days.
const HEAVY: f64 = 1.7;
const SEEDS: [u64; 2] = [7, 17];

/// Engines of load C: the slow third exceeds the gap objective with three full chunks.
fn load_c(factor: f64) -> Scenario {
    Scenario {
        entries: 24,
        engines: 45,
        thirds: [1.0, 1.0, 1.3],
        short_per_s: SHORT_PER_S * factor,
        long_per_s: LONG_PER_S * factor,
        seconds: 13.0,
        report_ms: 200.0,
        slow_share: 0.0,
        degradation: 1.0,
        // sidecars do not publish the pending prompt tokens
        reports_tokens: false,
        features: FeatureSwitches::default(),
        seed: 0,
    }
}

/// Engines of load U, each 2.5 times as slow in 15 of 100 of the time.
fn load_u(factor: f64) -> Scenario {
    Scenario {
        thirds: [0.7, 0.7, 1.7],
        slow_share: 0.15,
        ..load_c(factor)
    }
}

fn run(scenario: &Scenario, is_paced: bool) -> Outcome {
    let mut sum = Outcome::default();
    for seed in SEEDS {
        let features = FeatureSwitches {
            stream_pacing: is_paced,
            ..scenario.features
        };
        sum.add(&Simulation::run(Scenario {
            features,
            seed,
            ..scenario.clone()
        }));
    }
    sum
}

/// Returns the outcomes without pacing and with it, and prints both.
fn compare(name: &str, scenario: &Scenario) -> (Outcome, Outcome) {
    let (before, after) = (run(scenario, false), run(scenario, true));
    println!("{name} without: {before}");
    println!("{name} with:    {after}");
    assert_eq!(before.streams, after.streams, "the same streams");
    (before, after)
}

/// Guards against the measured fault that a quarter of the streams on the slow third pause longer
/// than the gap objective, and against pacing that only shifts the loss to other engines, to first
/// events or to refusals.
#[test]
fn fewer_streams_pause_on_the_slow_third() {
    for (name, scenario) in [("C", load_c(1.0)), ("U", load_u(1.0))] {
        let (before, after) = compare(name, &scenario);
        let share = after.paused_share(2);
        assert!(share < before.paused_share(2), "{name}: {share}");
        if scenario.slow_share == 0.0 {
            // without slow phases, only prompts above the limit of one gap remain
            assert!(share < before.paused_share(2) / 2.0, "{name}: {share}");
        }
        assert!(after.in_time > before.in_time, "{name}: streams in time");
        assert_eq!(after.rejected.get("misses_deadline"), None, "{name}");
        assert!(after.rejected() <= before.rejected(), "{name}: refusals");
    }
}

/// Guards against turns that make a loaded fleet worse than without them.
#[test]
fn a_heavy_day_has_no_fewer_streams_in_time() {
    for (name, scenario) in [("C heavy", load_c(HEAVY)), ("U heavy", load_u(HEAVY))] {
        let (before, after) = compare(name, &scenario);
        assert!(after.in_time >= before.in_time, "{name}: streams in time");
        assert!(after.paused_share(2) < before.paused_share(2), "{name}");
    }
}

/// Guards against rejections on a guess while engines are slow for a while: what is rejected for
/// its deadline is rare, since a holder or a load elsewhere nearly always can complete it.
#[test]
fn few_streams_are_rejected_for_their_deadline_while_engines_are_degraded() {
    let scenario = Scenario {
        degradation: 3.5,
        ..load_c(1.0)
    };
    let (before, after) = compare("C degraded", &scenario);
    assert!(after.in_time > before.in_time, "streams in time");
    let missed = after.rejected.get("misses_deadline").copied();
    let incomplete = before.streams - before.complete();
    assert!(missed.unwrap_or(0) <= incomplete, "{missed:?} rejected");
}
