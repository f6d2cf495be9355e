//! Most new connections of a fleet go to one entry, in simulated time.
//!
//! Guards against: an entry that reads more than its processor or its link carries, or that
//! refuses more than it must, and calm entries that refuse anything.

mod crowded_sim;

use {
    crowded_sim::{CrowdedFleet, Machine, LARGE, SMALL, SMALL_LINK},
    std::time::Duration,
};

const ENGINES: usize = 1_000;
const CROWD_BEGINS: Duration = Duration::from_secs(10);
const REACTION: Duration = Duration::from_secs(3);
const CROWD_ENDS: Duration = Duration::from_secs(18);
const END: Duration = Duration::from_secs(30);
/// Share of the requests served before the crowd that are served during it.
const TARGET: f64 = 0.95;
const SEEDS: [u64; 3] = [1, 2, 3];

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
