//! Which sidecars keep the origins of an entry's streams, over changes of the list and restarts.

use {
    chalkcart_coordination::software_versions::{ListedEngines, OriginHolders, ToldStreams},
    chalkcart_protocol::peer::StreamOrigin,
    quickcheck::{Gen, QuickCheck},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SEED: u64 = 87;
const CASES: u64 = 300;
const ENOUGH: usize = 3;

fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn holders(
    staying: impl Iterator<Item = u16>,
    leaving: impl Iterator<Item = u16>,
) -> OriginHolders {
    let mut holders = OriginHolders::default();
    holders.set_engines(Arc::new(ListedEngines {
        staying: staying.map(addr).collect(),
        leaving: leaving.map(addr).collect(),
    }));
    holders
}

fn origin(request: &str) -> StreamOrigin {
    StreamOrigin {
        request: request.to_string(),
        service: "s".to_string(),
        backend: "e".into(),
        version: Some("v1".to_string()),
    }
}

/// Tells all that is due; returns the engines that were told.
fn tell_all(streams: &mut ToldStreams, holders: &OriginHolders, now: Instant) -> Vec<SocketAddr> {
    let due = streams.due(holders, now);
    for (engine, origins) in &due {
        streams.on_told(*engine, origins, now, None, now);
    }
    due.into_keys().collect()
}

/// Guards against: an origin that is kept only by sidecars which leave with a release.
#[test]
fn sidecars_that_stay_are_told_whenever_those_that_were_told_leave() {
    fn check(leave: Vec<u16>, join: u16) -> bool {
        let now = Instant::now();
        let mut streams = ToldStreams::default();
        streams.on_began(origin("r"));
        let mut engines: BTreeSet<u16> = (1..13).collect();
        let mut told: BTreeSet<SocketAddr> = BTreeSet::new();
        for (step, left) in leave.iter().enumerate() {
            engines.remove(&(left % 24));
            engines.insert(100 + (join % 100) * 32 + step as u16);
            let holders = holders(engines.iter().copied(), std::iter::empty());
            told.extend(tell_all(&mut streams, &holders, now));
            let staying = told.iter().filter(|e| engines.contains(&e.port())).count();
            if staying < ENOUGH.min(engines.len()) {
                return false;
            }
            if !streams.due(&holders, now).is_empty() {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(24, SEED))
        .tests(CASES)
        .quickcheck(check as fn(Vec<u16>, u16) -> bool);
}

/// Guards against: origins that are lost once all sidecars have started again.
#[test]
fn a_sidecar_that_started_again_is_told_again() {
    let now = Instant::now() + Duration::from_secs(60);
    let holders = holders(1..4, 4..4);
    for is_seen_lost in [true, false] {
        let mut streams = ToldStreams::default();
        streams.on_began(origin("r"));
        tell_all(&mut streams, &holders, now);
        let later = now + Duration::from_secs(2);
        match is_seen_lost {
            true => streams.on_lost(addr(2)),
            // its next answer shows that it has started since
            false => {
                let kept_for = Some(Duration::from_secs(1));
                streams.on_told(addr(2), &[], later, kept_for, later);
            }
        }
        assert_eq!(tell_all(&mut streams, &holders, later), [addr(2)]);
        // one that has kept origins all the time lacks none
        let kept_for = Some(Duration::from_secs(30));
        streams.on_told(addr(1), &[], later, kept_for, later);
        assert!(streams.due(&holders, later).is_empty());
    }
}

/// Guards against: an origin that too few keep since one of the sidecars doesn't answer.
#[test]
fn the_next_in_rank_is_told_in_the_place_of_a_sidecar_that_does_not_answer() {
    let now = Instant::now();
    let holders = holders(1..13, 13..13);
    let mut streams = ToldStreams::default();
    streams.on_began(origin("r"));
    let first = streams.due_of("r", &holders);
    assert_eq!(first, holders.told("r"));
    streams.on_failed(first[0], now);
    let told = tell_all(&mut streams, &holders, now);
    assert_eq!(told.len(), ENOUGH);
    assert!(!told.contains(&first[0]));
    let asked = holders.asked("r");
    assert!(told.iter().all(|engine| asked.contains(engine)));
}

/// Guards against: sidecars of leaving engines that are told for ever, or not at all where there are
/// no others.
#[test]
fn sidecars_of_leaving_engines_are_told_only_where_there_are_too_few_others() {
    let now = Instant::now();
    for (staying, leaving, expected) in [(0, 2, 2), (1, 5, 3), (3, 5, 3), (8, 5, 3)] {
        let holders = holders(1..1 + staying, 100..100 + leaving);
        let mut streams = ToldStreams::default();
        streams.on_began(origin("r"));
        let told = tell_all(&mut streams, &holders, now);
        assert_eq!(told.len(), expected, "{staying} stay, {leaving} leave");
        let stay = told.iter().filter(|e| e.port() < 100).count();
        assert_eq!(stay, ENOUGH.min(usize::from(staying)));
        assert!(streams.due(&holders, now).is_empty());
    }
}

/// Guards against: a table that grows with streams that nobody takes up.
#[test]
fn streams_are_forgotten_once_whole_or_too_old() {
    let now = Instant::now();
    let mut streams = ToldStreams::default();
    for request in ["whole", "broken", "running"] {
        streams.on_began(origin(request));
    }
    streams.on_whole("whole");
    assert_eq!(streams.len(), 2);
    let until = now + Duration::from_secs(30);
    streams.on_broken("broken", until);
    let holders = holders(1..4, 4..4);
    streams.due(&holders, until - Duration::from_millis(1));
    assert_eq!(streams.len(), 2);
    streams.due(&holders, until);
    assert_eq!(streams.len(), 1);
}
