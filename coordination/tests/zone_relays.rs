//! Relays that read their own zone and receive other zones through the relays there.
//!
//! Guards against relays whose links and messages grow with the whole fleet, and against entries
//! that miss engines, or receive an earlier state of one, when relays fail.

mod zone_fleet;

use {
    chalkcart_coordination::relay::{LinkPlan, WatchedEngine, RELAYS_PER_ZONE},
    std::{collections::BTreeSet, net::SocketAddr},
    zone_fleet::{FleetSettings, Health, ZoneFleet},
};

const SEEDS: std::ops::Range<u64> = 1..6;
/// Steps after which a fleet that starts, or whose faults have ended, must be complete: the
/// back-off of failed relays, a check of the selection, and the time to find a silent relay.
const RECOVERY_STEPS: u64 = 180;
/// Reports that entries may be behind: up to three for the delay of links to sidecars, and one for
/// each relay on the way.
const MAX_LAG: u32 = 5;
/// Length of the period in which faults are injected, in steps.
const FAULT_STEPS: u64 = 400;
const FAULT_INTERVAL_STEPS: u64 = 7;

fn fleet(seed: u64) -> ZoneFleet {
    ZoneFleet::new(FleetSettings {
        seed,
        ..FleetSettings::default()
    })
}

fn assert_complete(fleet: &ZoneFleet, cause: &str) {
    assert_eq!(fleet.unknown_pairs(MAX_LAG), 0, "{cause}");
    assert_eq!(fleet.reversals, 0, "{cause}");
}

#[test]
fn entries_know_all_engines_and_engines_all_entries() {
    let mut fleet = fleet(1);
    fleet.advance(RECOVERY_STEPS);
    assert_complete(&fleet, "after the start");
    // each of 9 entries is counted once, whichever relays its demand passes
    assert!(fleet
        .entries_at_engines()
        .iter()
        .all(|entries| *entries == 9));
}

/// The links and messages of a relay follow the engines of its zone.
#[test]
fn the_links_and_messages_of_a_relay_grow_with_its_zone() {
    for (zones, engines_per_zone) in [(3, 20), (6, 20), (3, 40)] {
        let mut fleet = ZoneFleet::new(FleetSettings {
            zones,
            engines_per_zone,
            ..FleetSettings::default()
        });
        fleet.advance(RECOVERY_STEPS);
        let relays = fleet.relays().len();
        assert!(relays <= RELAYS_PER_ZONE * zones, "{relays} relays");
        // a relay without entries serves relays of other zones alone
        let expected = [(engines_per_zone, zones - 1), (engines_per_zone, 0)];
        for links in fleet.links() {
            assert!(expected.contains(&links), "{links:?}");
        }
        let engines = (zones * engines_per_zone) as u64;
        for received in fleet.received() {
            assert!(
                received <= engines * RECOVERY_STEPS,
                "{received} of {engines} engines"
            );
        }
    }
}

/// Injects one fault at a relay or at its links.
fn inject(fleet: &mut ZoneFleet) {
    let relays = fleet.relays();
    let relay = relays[fleet.draw(1, relays.len())];
    let other = relays[fleet.draw(2, relays.len())];
    match fleet.draw(3, 6) {
        0 => fleet.set_health(relay, Health::Dead),
        1 => fleet.set_health(relay, Health::Frozen),
        2 => fleet.cut(relay, other),
        3 => fleet.set_older(relay),
        _ => fleet.heal(),
    }
}

#[test]
fn a_fleet_is_complete_again_after_faults_of_relays() {
    for seed in SEEDS {
        let mut fleet = fleet(seed);
        fleet.advance(RECOVERY_STEPS);
        for _ in 0..FAULT_STEPS / FAULT_INTERVAL_STEPS {
            inject(&mut fleet);
            fleet.advance(FAULT_INTERVAL_STEPS);
            assert_eq!(fleet.reversals, 0, "seed {seed}, step {}", fleet.step);
        }
        fleet.heal();
        fleet.advance(RECOVERY_STEPS);
        assert_complete(&fleet, &format!("seed {seed}"));
    }
}

#[test]
fn the_loss_of_a_zone_leaves_the_others_complete() {
    let mut fleet = fleet(2);
    fleet.advance(RECOVERY_STEPS);
    let lost = fleet.sidecars_of(1);
    for addr in &lost {
        fleet.set_health(*addr, Health::Frozen);
    }
    fleet.advance(RECOVERY_STEPS);
    // the entries of the lost zone use relays of other zones
    assert_complete(&fleet, "while a zone is lost");
    fleet.heal();
    fleet.advance(RECOVERY_STEPS);
    assert_complete(&fleet, "after its return");
}

#[test]
fn all_processes_may_restart_at_once() {
    let mut fleet = fleet(3);
    fleet.advance(RECOVERY_STEPS);
    for zone in 0..3 {
        for addr in fleet.sidecars_of(zone) {
            fleet.set_health(addr, Health::Dead);
        }
    }
    fleet.advance(10);
    fleet.heal();
    fleet.advance(RECOVERY_STEPS);
    assert_complete(&fleet, "after the restart");
}

/// Without the announcement of a new relay its older reports count as new ones.
#[test]
fn the_check_of_reversals_detects_a_missing_announcement() {
    let mut reversals = 0;
    for seed in SEEDS {
        let mut fleet = ZoneFleet::new(FleetSettings {
            seed,
            announces_relay_changes: false,
            ..FleetSettings::default()
        });
        fleet.advance(RECOVERY_STEPS);
        for _ in 0..FAULT_STEPS / FAULT_INTERVAL_STEPS {
            inject(&mut fleet);
            fleet.advance(FAULT_INTERVAL_STEPS);
        }
        reversals += fleet.reversals;
    }
    assert!(reversals > 0);
}

/// The check of completeness detects engines whose reports do not reach the entries.
#[test]
fn the_check_of_completeness_detects_a_cut() {
    let mut fleet = fleet(4);
    fleet.advance(RECOVERY_STEPS);
    let relays = fleet.relays();
    let engine = fleet.sidecars_of(0)[7];
    for relay in relays.into_iter().filter(|r| *r != engine) {
        fleet.cut(engine, relay);
    }
    fleet.advance(RECOVERY_STEPS);
    assert!(fleet.unknown_pairs(MAX_LAG) > 0);
}

fn watched(zone: Option<&str>, number: u8, is_watched_by_relay: bool) -> WatchedEngine {
    let zone_octet = zone.map_or(9, |zone| zone.as_bytes()[1]);
    WatchedEngine {
        addr: SocketAddr::from(([10, zone_octet, 0, number], 80)),
        zone: zone.map(str::to_string),
        is_watched_by_relay,
    }
}

#[test]
fn engines_of_other_zones_are_read_through_their_relays_from_a_threshold_on() {
    let own = "z0".to_string();
    let engines: Vec<WatchedEngine> = ["z0", "z1", "z2"]
        .into_iter()
        .flat_map(|zone| (0..10).map(move |number| watched(Some(zone), number, false)))
        .collect();
    let none = LinkPlan::default();
    let below = LinkPlan::new(&engines, Some(&own), 31, &none);
    assert_eq!((below.direct.len(), below.through_zones.len()), (30, 0));
    let plan = LinkPlan::new(&engines, Some(&own), 30, &none);
    assert_eq!((plan.direct.len(), plan.through_zones.len()), (10, 2));
    // it stays so until half of the engines have left
    let fewer = LinkPlan::new(&engines[..16], Some(&own), 30, &plan);
    assert_eq!((fewer.direct.len(), fewer.through_zones.len()), (10, 1));
    let few = LinkPlan::new(&engines[..14], Some(&own), 30, &plan);
    assert_eq!((few.direct.len(), few.through_zones.len()), (14, 0));
    // while the own zone is unknown, all are read directly
    let unknown = LinkPlan::new(&engines, None, 30, &none);
    assert_eq!(unknown.direct.len(), 30);
}

/// A demand passes two relays at most: what another relay watches is read directly.
#[test]
fn engines_watched_by_relays_unknown_zones_and_small_zones_are_read_directly() {
    let own = "z0".to_string();
    let mut engines: Vec<WatchedEngine> = (0..10).map(|n| watched(Some("z1"), n, n < 4)).collect();
    engines.extend((0..2).map(|n| watched(Some("z2"), n, false)));
    engines.extend((0..3).map(|n| watched(None, n, false)));
    let plan = LinkPlan::new(&engines, Some(&own), 2, &LinkPlan::default());
    let through: BTreeSet<SocketAddr> = plan.through_zones.values().flatten().copied().collect();
    let expected = engines[4..10].iter().map(|e| e.addr).collect();
    assert_eq!(through, expected);
    assert_eq!(plan.direct.len(), 9);
}
