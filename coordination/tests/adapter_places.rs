//! Loads of adapters from the weight store in the two loads of docs/design/uneven-load.md, while
//! engines have fewer adapter slots than adapters are in use.

mod adapter_sim;

use {
    adapter_sim::{run, Outcome, Scenario},
    chalkcart_coordination::features::FeatureSwitches,
};

/// Loads from the weight store for each distinct adapter that docs/design/uneven-load.md allows.
const MAX_LOADS_CALM: f64 = 1.3;
const MAX_LOADS_HEAVY: f64 = 1.6;
/// Loss of streams in time, of all, that counts as the same: two standard errors of the difference
/// of two runs.
const SAME_RATIO: f64 = 0.02;
/// Difference of waits that counts as the same, in ms: one tick of an entry.
const SAME_WAIT_MS: u64 = 25;

fn switched_off() -> FeatureSwitches {
    FeatureSwitches {
        adapter_affinity: false,
        ..FeatureSwitches::default()
    }
}

fn calm(seed: u64) -> Scenario {
    Scenario {
        seed,
        ..Scenario::default()
    }
}

/// Twice as much traffic for 4 s, and a quarter of the engines crashes.
fn heavy(seed: u64) -> Scenario {
    Scenario {
        seed,
        burst: Some((8_000, 12_000, 2.0)),
        crash_at: Some(18_000),
        ..Scenario::default()
    }
}

/// Checks the loads with `adapter_affinity`, and that requests are served as early as without.
fn check(scenario: Scenario, max_loads: f64) {
    let on = run(scenario);
    let off = run(Scenario {
        features: switched_off(),
        ..scenario
    });
    println!(
        "seed {} on: {on}\nseed {} off: {off}",
        scenario.seed, scenario.seed
    );
    assert!(on.loads_per_adapter() <= max_loads, "{on}");
    assert!(off.loads_per_adapter() > max_loads, "{off}");
    for ratio in [Outcome::in_time_ratio, Outcome::first_in_time_ratio] {
        assert!(ratio(&on) >= ratio(&off) - SAME_RATIO, "{on}\n{off}");
    }
    assert!(
        on.wait_ms(0.9) <= off.wait_ms(0.9) + SAME_WAIT_MS,
        "{on}\n{off}"
    );
}

/// Guards against repeated loads of an adapter on a calm day of uneven engines.
#[test]
fn few_loads_in_calm() {
    check(calm(1), MAX_LOADS_CALM);
}

/// Guards against repeated loads after bursts and crashes.
#[test]
fn few_loads_under_bursts_and_crashes() {
    check(heavy(1), MAX_LOADS_HEAVY);
}

/// Guards against other placements in deployments with room for the adapters in use.
#[test]
fn nothing_changes_with_many_slots_and_few_adapters() {
    let scenario = Scenario {
        adapter_slots: 21,
        adapters_in_use: Some(20),
        is_shifting: false,
        seconds: 10,
        ..Scenario::default()
    };
    let on = run(scenario);
    let off = run(Scenario {
        features: switched_off(),
        ..scenario
    });
    assert_eq!(on.to_string(), off.to_string());
}

/// Figures of several seeds for docs/design/adapter-places.md.
#[test]
#[ignore = "takes a minute; prints figures"]
fn figures() {
    let on = FeatureSwitches::default();
    for (load, scenario) in [("calm", calm as fn(u64) -> Scenario), ("heavy", heavy)] {
        for (switch, features) in [("on", on), ("off", switched_off())] {
            for seed in 1..=5 {
                let outcome = run(Scenario {
                    features,
                    ..scenario(seed)
                });
                println!("{load} {switch} seed {seed}: {outcome}");
            }
        }
    }
}
