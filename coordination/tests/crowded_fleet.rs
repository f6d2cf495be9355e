//! Most new connections of a fleet go to one entry, in simulated time.
//!
//! Guards against: an entry that reads more than its processor or its link carries, or that
//! refuses more than it must, and calm entries that refuse anything.

mod crowded_sim;

use {
    crowded_sim::{ConfigPlan, CrowdedFleet, Machine, LARGE, SMALL, SMALL_LINK},
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::{thread, time::Duration},
};

const ENGINES: usize = 1_000;
const CROWD_BEGINS: Duration = Duration::from_secs(10);
const REACTION: Duration = Duration::from_secs(3);
const CROWD_ENDS: Duration = Duration::from_secs(18);
const END: Duration = Duration::from_secs(30);
/// Share of the requests served before the crowd that are served during it.
const TARGET: f64 = 0.95;
const SEEDS: [u64; 3] = [1, 2, 3];
/// Time within which a confirmed configuration must be in force everywhere.
const MAX_CONFIG_DELAY: Duration = Duration::from_millis(2_000);
const CONFIG_SEEDS: u64 = 200;
const CONFIG_END: Duration = Duration::from_secs(14);

/// Half small and half large entries, a small or a large one first.
fn fleet_of(first: Machine, entries: usize) -> Vec<Machine> {
    let others = (1..entries).map(|n| if n % 2 == 0 { SMALL } else { LARGE });
    std::iter::once(first).chain(others).collect()
}

/// Plays a crowd of 0.7 of all requests at the first entry.
fn play(seed: u64, machines: &[Machine], rate: f64) -> CrowdedFleet {
    let mut fleet = CrowdedFleet::new(seed, machines, ENGINES);
    fleet.plan(Duration::ZERO, CROWD_BEGINS, rate, None);
    fleet.plan(CROWD_BEGINS, CROWD_ENDS, rate, Some((0, 0.7)));
    fleet.plan(CROWD_ENDS, END, rate, None);
    fleet.run(END + Duration::from_secs(10));
    fleet
}

fn expect_served(fleet: &CrowdedFleet, entries: usize, what: &str) {
    let (before, _) = fleet.served(Duration::ZERO, CROWD_BEGINS);
    let (during, late) = fleet.served(CROWD_BEGINS + REACTION, CROWD_ENDS);
    let (after, _) = fleet.served(CROWD_ENDS, END);
    println!("{what}: {before:.3} before, {during:.3} during, {after:.3} after, {late} late, first entry {:?}", fleet.outcome(0));
    assert!(
        during >= TARGET * before,
        "{what}: {during:.3} of {before:.3}"
    );
    assert!(
        after >= TARGET * before,
        "{what}: {after:.3} of {before:.3} after"
    );
    assert_eq!(late, 0, "{what}: read and left waiting");
    for entry in 1..entries {
        assert_eq!(
            fleet.outcome(entry).0,
            0,
            "{what}: closed by calm entry {entry}"
        );
    }
}

#[test]
fn a_crowded_entry_of_four_leaves_what_it_cannot_carry_to_others() {
    for seed in SEEDS {
        for (name, machine) in [
            ("small", SMALL),
            ("small link", SMALL_LINK),
            ("large", LARGE),
        ] {
            let fleet = play(seed, &fleet_of(machine, 4), 250.0);
            expect_served(&fleet, 4, &format!("{name}, seed {seed}"));
        }
    }
}

#[test]
fn a_crowded_entry_of_a_hundred_leaves_what_it_cannot_carry_to_others() {
    for (name, machine) in [
        ("small", SMALL),
        ("small link", SMALL_LINK),
        ("large", LARGE),
    ] {
        let fleet = play(1, &fleet_of(machine, 100), 2_500.0);
        expect_served(&fleet, 100, name);
    }
}

#[test]
fn a_crowded_entry_without_others_serves_what_it_carries() {
    for seed in SEEDS {
        for (name, machine, carried) in [("small", SMALL, 120.0), ("small link", SMALL_LINK, 170.0)]
        {
            let fleet = play(seed, &[machine], 3.0 * carried);
            let served = fleet.outcome(0).1 as f64 / END.as_secs_f64();
            println!("{name}, seed {seed}: {served:.1} served of {carried} a second");
            assert!(served >= 0.5 * carried, "{name}, seed {seed}: {served:.1}");
        }
    }
}

#[test]
fn calm_entries_close_no_connection() {
    for seed in SEEDS {
        let mut fleet = CrowdedFleet::new(seed, &fleet_of(SMALL, 8), ENGINES);
        fleet.plan(Duration::ZERO, END, 400.0, None);
        fleet.run(END);
        let closed: usize = (0..8).map(|entry| fleet.outcome(entry).0).sum();
        assert_eq!(closed, 0, "seed {seed}");
    }
}

/// Returns a store that is silent twice during a crowd, and confirms configurations before, between
/// and after.
fn config_plan(rng: &mut StdRng) -> ConfigPlan {
    let mut span = |from: u64, ms: u64| {
        let start = Duration::from_millis(from + rng.random_range(0..900));
        start..start + Duration::from_millis(rng.random_range(5..ms))
    };
    let silent = vec![span(3_000, 4_000), span(9_500, 1_500)];
    let mut plan = ConfigPlan {
        confirmed: Vec::new(),
        silent,
    };
    let mut at = Duration::from_millis(rng.random_range(100..900));
    while at + MAX_CONFIG_DELAY < CONFIG_END {
        if !plan.is_silent(at) {
            plan.confirmed.push(at);
        }
        at += Duration::from_millis(rng.random_range(30..900));
    }
    // changes that waited for the store are confirmed as soon as it is back
    for span in &plan.silent {
        plan.confirmed.push(span.end);
    }
    plan.confirmed.sort();
    plan
}

/// Returns the longest time from a version's confirmation until it is in force, over all entries.
fn longest_config_delay(seed: u64) -> Duration {
    let first = if seed.is_multiple_of(2) {
        SMALL
    } else {
        SMALL_LINK
    };
    let mut fleet = CrowdedFleet::new(seed, &fleet_of(first, 100), ENGINES);
    let plan = config_plan(&mut StdRng::seed_from_u64(seed));
    fleet.plan_configs(plan.clone());
    fleet.plan(Duration::ZERO, Duration::from_secs(2), 60.0, None);
    let crowd = Some((0, 0.9));
    fleet.plan(Duration::from_secs(2), CONFIG_END, 400.0, crowd);
    fleet.run(CONFIG_END + MAX_CONFIG_DELAY);
    let versions = 1..=plan.confirmed.len() as u64;
    let due = versions.filter(|v| plan.due(*v, MAX_CONFIG_DELAY).is_some());
    let delays = due.flat_map(|version| {
        let confirmed = plan.confirmed[version as usize - 1];
        let fleet = &fleet;
        (0..100).map(move |entry| {
            let applied = fleet.config_applied_at(entry, version);
            applied.map_or(Duration::MAX, |at| at.saturating_sub(confirmed))
        })
    });
    delays.max().unwrap_or_default()
}

/// Guards against 404 from a configuration that is too old, at an entry whose processor or link is
/// full after the store was silent.
#[test]
fn a_crowded_entry_has_each_configuration_in_time_after_silences_of_the_store() {
    const THREADS: u64 = 4;
    let workers = (0..THREADS).map(|first| {
        thread::spawn(move || {
            let seeds = (first..CONFIG_SEEDS).step_by(THREADS as usize);
            seeds.map(|seed| (longest_config_delay(seed), seed)).max()
        })
    });
    let workers: Vec<_> = workers.collect();
    let longest = workers.into_iter().filter_map(|w| w.join().unwrap()).max();
    println!("longest delay and its seed: {longest:?}");
    assert!(
        longest.is_some_and(|(delay, _)| delay <= MAX_CONFIG_DELAY),
        "{longest:?}"
    );
}
