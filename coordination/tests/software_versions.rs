//! Streams that go on only at the software version that began them.

mod dispatch_fixture;

use {
    chalkcart_coordination::{
        dispatch::{Decision, DispatchRequest, RejectionCause},
        software_versions::{
            ListedEngines, OriginHolders, OriginSearch, SoftwareVersions, StreamOrigins, TakeUp,
            VersionMix,
        },
    },
    chalkcart_protocol::peer::StreamOrigin,
    chalkcart_state::backends::Backend,
    dispatch_fixture::*,
    quickcheck::{Gen, QuickCheck},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SEED: u64 = 65;
const CASES: u64 = 500;
const MEMORY: Duration = Duration::from_secs(30);

fn at_version(number: u8, version: &str) -> Backend {
    Backend {
        software_version: Some(version.to_string()),
        ..backend(ENGINES, number)
    }
}

fn bound(fixture: &Fixture, version: &str) -> DispatchRequest {
    DispatchRequest {
        software_version: Some(version.to_string()),
        ..fixture.new_request(ENGINES, Some("a"))
    }
}

/// Engines 1 and 2 run v1, 3 runs v2; each engine's sidecar reports.
fn fixture() -> Fixture {
    let list = [(1, "v1"), (2, "v1"), (3, "v2")];
    let list = list.map(|(number, version)| at_version(number, version));
    let mut fixture = Fixture::new(list.to_vec());
    for number in 1..=3 {
        fixture.view(number, view(&format!("{ENGINES}-{number}"), &[]));
    }
    fixture
}

/// Guards against: a stream that goes on where its adapter is held, at another version.
#[test]
fn a_request_of_a_version_gets_its_adapter_there() {
    let mut fixture = fixture();
    fixture.view(3, view("engines-3", &[("a", 1)]));
    let request = bound(&fixture, "v1");
    assert!(sent_to(&fixture.submit(1, request)).is_empty());
    let homes = fixture.homes("a");
    assert!(homes.iter().all(|home| home != "engines-3"), "{homes:?}");
    assert_eq!(homes.len(), 1);
    let number = homes[0].trim_start_matches("engines-").parse();
    let loaded = view(&homes[0], &[("a", 1)]);
    assert_eq!(
        sent_to(&fixture.view(number.expect("a number"), loaded)),
        homes
    );
}

/// Guards against: a stream that waits for the load of its adapter at an engine of another version.
#[test]
fn a_load_pending_at_another_version_is_none_for_the_request() {
    let mut fixture = fixture();
    let request = bound(&fixture, "v2");
    fixture.submit(1, request);
    assert_eq!(fixture.homes("a"), ["engines-3"]);
    let request = bound(&fixture, "v1");
    fixture.submit(2, request);
    let homes = fixture.homes("a");
    assert!(homes.contains(&"engines-3".to_string()), "{homes:?}");
    assert_eq!(homes.len(), 2);
}

/// Guards against: a stream that goes on at another version once its own is gone, or at an engine
/// whose version is not known.
#[test]
fn a_request_of_a_version_that_is_gone_is_rejected_at_once() {
    let unknown = backend(ENGINES, 2);
    let mut fixture = Fixture::new(vec![at_version(1, "v2"), unknown]);
    for number in 1..=2 {
        fixture.view(number, view(&format!("engines-{number}"), &[("a", 1)]));
    }
    let request = bound(&fixture, "v1");
    let decided = fixture.submit(1, request);
    let [(1, Decision::Reject { cause, .. })] = decided.as_slice() else {
        panic!("{decided:?}");
    };
    assert_eq!(*cause, RejectionCause::OtherSoftware);
}

/// Guards against: the version of an engine's former life that is taken for that of its next one.
#[test]
fn the_version_of_a_new_life_is_not_that_of_the_former_one() {
    let mut fixture = Fixture::new(vec![at_version(1, "v1")]);
    fixture.view(1, view("engines-1", &[("a", 1)]));
    fixture.view(1, view("reborn", &[("a", 1)]));
    let request = bound(&fixture, "v1");
    assert!(sent_to(&fixture.submit(1, request)).is_empty());
    let request = fixture.new_request(ENGINES, Some("a"));
    assert_eq!(sent_to(&fixture.submit(2, request)), ["reborn"]);
}

fn listed_versions(versions: &[&str]) -> Vec<Backend> {
    let list = (1..)
        .zip(versions)
        .map(|(n, version)| at_version(n, version));
    list.collect()
}

fn mix_after(is_first_start: bool, lists: &[&[&str]], now: Instant) -> VersionMix {
    let mut versions = SoftwareVersions::new(is_first_start);
    for list in lists {
        versions.on_list(&listed_versions(list), MEMORY, now);
    }
    versions.mix(ENGINES, MEMORY, now)
}

fn one(version: &str) -> VersionMix {
    VersionMix::One(version.to_string())
}

/// Guards against: an entry that has just started and takes the one version of its first list for all
/// that ever served.
#[test]
fn one_listed_version_is_one_only_if_nothing_served_before() {
    let now = Instant::now();
    // what the lists say, for an entry that starts in a running fleet, and with the whole fleet
    let cases: [(&[&[&str]], VersionMix, VersionMix); 8] = [
        (&[], VersionMix::NotKnown, VersionMix::NotKnown),
        (&[&[]], VersionMix::NotKnown, VersionMix::NotKnown),
        (&[&["v1", "v1"]], VersionMix::NotKnown, one("v1")),
        (&[&["v1", "v2"]], VersionMix::Several, VersionMix::Several),
        (
            &[&["v1"], &["v1", "v2"]],
            VersionMix::Several,
            VersionMix::Several,
        ),
        // an older one may come later
        (
            &[&["v2"], &["v1", "v2"]],
            VersionMix::Several,
            VersionMix::Several,
        ),
        (
            &[&["v1"], &[], &["v2"]],
            VersionMix::Several,
            VersionMix::Several,
        ),
        (&[&["v1"], &[]], VersionMix::NotKnown, one("v1")),
    ];
    for (lists, running, first) in cases {
        assert_eq!(mix_after(false, lists, now), running, "{lists:?}");
        assert_eq!(mix_after(true, lists, now), first, "{lists:?}");
    }
}

/// Guards against: streams refused on a platform whose lists name no versions.
#[test]
fn versions_that_no_list_names_are_not_told_apart() {
    let now = Instant::now();
    let mut versions = SoftwareVersions::default();
    versions.on_list(&[backend(ENGINES, 1)], MEMORY, now);
    assert_eq!(versions.mix(ENGINES, MEMORY, now), VersionMix::Unnamed);
    versions.on_list(&listed_versions(&["v1"]), MEMORY, now);
    assert_eq!(versions.mix(ENGINES, MEMORY, now), VersionMix::NotKnown);
}

#[test]
fn a_mix_ends_once_no_stream_of_the_other_version_is_taken_up() {
    let start = Instant::now();
    let mut versions = SoftwareVersions::new(true);
    let two = listed_versions(&["v1", "v2"]);
    let mix = |versions: &SoftwareVersions, now| versions.mix(ENGINES, MEMORY, now);
    versions.on_list(&two[..1], MEMORY, start);
    assert_eq!(mix(&versions, start), one("v1"));
    versions.on_list(&two, MEMORY, start);
    let later = start + MEMORY;
    assert_eq!(mix(&versions, later), VersionMix::Several);
    versions.on_list(&two[1..], MEMORY, later);
    assert_eq!(mix(&versions, later + MEMORY - ms(1)), VersionMix::Several);
    assert_eq!(mix(&versions, later + MEMORY), one("v2"));
}

/// Guards against: an entry that never learns that one version alone serves.
#[test]
fn one_version_is_known_after_lists_of_the_whole_memory() {
    let start = Instant::now();
    let mut versions = SoftwareVersions::default();
    versions.on_list(&listed_versions(&["v1"]), MEMORY, start);
    let mix = |now| versions.mix(ENGINES, MEMORY, now);
    assert_eq!(mix(start + MEMORY - ms(1)), VersionMix::NotKnown);
    assert_eq!(mix(start + MEMORY), one("v1"));
}

fn origin(request: &str, version: &str) -> StreamOrigin {
    StreamOrigin {
        request: request.to_string(),
        service: ENGINES.to_string(),
        backend: "engines-1".into(),
        version: Some(version.to_string()),
    }
}

#[test]
fn a_stream_is_taken_up_at_the_version_that_is_known_to_have_begun_it() {
    let at = |version: &str| TakeUp::At(version.to_string());
    let found = || OriginSearch::Found(origin("r", "v1"));
    let without_version = || {
        OriginSearch::Found(StreamOrigin {
            version: None,
            ..origin("r", "v1")
        })
    };
    let (not_kept, unanswered) = (OriginSearch::NotKept, OriginSearch::Unanswered);
    let unknown = || TakeUp::Unknown;
    let mixes = [
        VersionMix::Unnamed,
        one("v2"),
        VersionMix::Several,
        VersionMix::NotKnown,
    ];
    // for each of the mixes
    let rows = [
        (found(), [at("v1"), at("v1"), at("v1"), at("v1")]),
        // guards against: a guess for a stream whose engine was not listed yet, and may have been the
        // first of its version
        (
            without_version(),
            [TakeUp::Anywhere, unknown(), unknown(), unknown()],
        ),
        // guards against: a guess by an entry that has just started
        (not_kept, [TakeUp::Anywhere, at("v2"), unknown(), unknown()]),
        // guards against: a guess by an entry that can't ask
        (
            unanswered,
            [TakeUp::Anywhere, at("v2"), unknown(), unknown()],
        ),
    ];
    let cases = rows.into_iter().flat_map(|(search, expected)| {
        let mixes = mixes.clone().into_iter();
        mixes
            .zip(expected)
            .map(move |(mix, expected)| (search.clone(), mix, expected))
    });
    for (search, mix, expected) in cases {
        assert_eq!(
            TakeUp::decide(&search, &mix),
            expected,
            "{search:?} {mix:?}"
        );
    }
}

/// Guards against: a stream that counts as older than the mix because those who know better are
/// cut off.
#[test]
fn half_of_the_sidecars_that_are_asked_must_answer() {
    let cases = [
        (6, 6, OriginSearch::NotKept),
        (6, 3, OriginSearch::NotKept),
        (6, 2, OriginSearch::Unanswered),
        (1, 0, OriginSearch::Unanswered),
        (0, 0, OriginSearch::Unanswered),
    ];
    for (asked, answered, expected) in cases {
        let search = OriginSearch::without_origin(asked, answered);
        assert_eq!(search, expected, "{answered} of {asked}");
    }
}

#[test]
fn origins_are_kept_for_their_time_and_the_first_of_an_attempt_stays() {
    let start = Instant::now();
    let mut origins = StreamOrigins::default();
    origins.insert(origin("r", "v1"), MEMORY, start);
    origins.insert(origin("r", "v2"), MEMORY, start);
    origins.insert(origin("s", "v2"), 2 * MEMORY, start);
    let version = |origins: &StreamOrigins, request: &str, now| {
        origins.get(request, now).and_then(|o| o.version.clone())
    };
    let last = start + MEMORY - ms(1);
    assert_eq!(version(&origins, "r", last).as_deref(), Some("v1"));
    assert_eq!(version(&origins, "r", start + MEMORY), None);
    assert_eq!(
        version(&origins, "s", start + MEMORY).as_deref(),
        Some("v2")
    );
    origins.insert(origin("t", "v2"), MEMORY, start + MEMORY);
    assert_eq!(origins.len(), 2);
}

#[test]
fn an_origin_gets_its_version_once_it_is_known() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    let without_version = StreamOrigin {
        version: None,
        ..origin("r", "v1")
    };
    origins.insert(without_version.clone(), MEMORY, now);
    assert_eq!(origins.get("r", now), Some(&without_version));
    origins.insert(origin("r", "v1"), MEMORY, now);
    origins.insert(without_version, MEMORY, now);
    assert_eq!(origins.get("r", now), Some(&origin("r", "v1")));
}

/// Guards against: a table that grows without bound.
#[test]
fn the_oldest_origins_give_way() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    for number in 0..100_000 {
        origins.insert(origin(&number.to_string(), "v1"), MEMORY, now);
    }
    assert!(origins.len() < 40_000, "{}", origins.len());
    assert!(origins.get("99999", now).is_some());
    assert!(origins.get("0", now).is_none());
}

fn addrs(numbers: impl Iterator<Item = u16>) -> Vec<SocketAddr> {
    let addrs = numbers.map(|n| SocketAddr::from(([10, 0, 0, 1], n)));
    addrs.collect()
}

fn listed(staying: Vec<SocketAddr>, leaving: Vec<SocketAddr>) -> Arc<ListedEngines> {
    Arc::new(ListedEngines { staying, leaving })
}

/// Guards against: an entry that asks sidecars which were not told, after a fourth of the engines
/// was replaced.
#[test]
fn sidecars_that_keep_an_origin_are_asked_after_changes_of_the_list() {
    fn check(request: u64, joined: u16, left: u16) -> bool {
        let request = request.to_string();
        let mut holders = OriginHolders::default();
        holders.set_engines(listed(addrs(1..13), Vec::new()));
        let told = holders.told(&request);
        let left = left % 10;
        let kept = (1..13).filter(|n| !(left..left + 3).contains(n));
        let joined = 100 + joined % 1_000;
        let staying = addrs(kept.chain(joined..joined + 3));
        holders.set_engines(listed(staying.clone(), Vec::new()));
        let asked = holders.asked(&request);
        let mut remaining = told.iter().filter(|holder| staying.contains(holder));
        remaining.all(|holder| asked.contains(holder))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, SEED))
        .tests(CASES)
        .quickcheck(check as fn(u64, u16, u16) -> bool);
}

/// Guards against: an origin that is kept only by sidecars which end with their leaving engines.
#[test]
fn sidecars_of_leaving_engines_are_asked_but_not_told() {
    let mut holders = OriginHolders::default();
    for request in 0..100 {
        let request = request.to_string();
        holders.set_engines(listed(addrs(1..13), Vec::new()));
        let before = holders.told(&request);
        holders.set_engines(listed(addrs(1..7), addrs(7..13)));
        let told = holders.told(&request);
        assert!(told.iter().all(|engine| engine.port() < 7), "{told:?}");
        assert_eq!(told.len(), 3);
        let asked = holders.asked(&request);
        assert!(before.iter().all(|engine| asked.contains(engine)));
    }
}

#[test]
fn few_engines_are_all_holders() {
    let mut holders = OriginHolders::default();
    assert!(holders.told("r").is_empty());
    holders.set_engines(listed(addrs(1..2), addrs(2..3)));
    assert_eq!(holders.told("r"), addrs(1..3));
}
