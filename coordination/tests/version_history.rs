//! What an entry that has just started learns of software versions from others and from the store.

use {
    chalkcart_coordination::software_versions::{EarlierVersions, SoftwareVersions, VersionMix},
    chalkcart_protocol::peer::{ListedVersion, VersionReport},
    chalkcart_state::{
        backends::Backend,
        published::{Record, RecordSubject, UnreadableCause},
    },
    std::time::{Duration, Instant},
};

const SERVICE: &str = "s";
const MEMORY: Duration = Duration::from_secs(30);

fn backend(name: &str, version: Option<&str>) -> Backend {
    Backend {
        id: name.into(),
        service: SERVICE.to_string(),
        addr: ([10, 0, 0, 1], 80).into(),
        zone: "z".to_string(),
        slots: 8,
        leaving: false,
        slow_start_left: Duration::ZERO,
        models: Vec::new(),
        held: Vec::new(),
        software_version: version.map(str::to_string),
    }
}

/// A clock that is far from its first moment.
fn now() -> Instant {
    Instant::now() + Duration::from_secs(600)
}

/// An entry that has just started, and has a list with one version.
fn started(version: &str, now: Instant) -> SoftwareVersions {
    let mut versions = SoftwareVersions::default();
    versions.on_list(&[backend("e", Some(version))], MEMORY, now);
    versions
}

fn report(versions: &[(&str, u64)], since_ms: Option<u64>, until_ms: u64) -> VersionReport {
    let versions = versions
        .iter()
        .map(|(version, listed_ago_ms)| ListedVersion {
            version: version.to_string(),
            listed_ago_ms: *listed_ago_ms,
        });
    VersionReport {
        service: SERVICE.to_string(),
        versions: versions.collect(),
        since_ms,
        until_ms,
    }
}

fn one(version: &str) -> VersionMix {
    VersionMix::One(version.to_string())
}

/// Guards against: "one version" concluded from reports that end too early, begin too late, or name
/// another one.
#[test]
fn a_report_extends_what_is_known_only_where_it_meets_it() {
    let cases = [
        (
            "since always, until the start",
            vec![report(&[("v2", 900)], None, 900)],
            one("v2"),
        ),
        (
            "the whole memory",
            vec![report(&[("v2", 900)], Some(31_000), 900)],
            one("v2"),
        ),
        (
            "a part of the memory",
            vec![report(&[("v2", 900)], Some(29_000), 900)],
            VersionMix::NotKnown,
        ),
        (
            "ended long ago",
            vec![report(&[("v2", 6_000)], None, 6_000)],
            VersionMix::NotKnown,
        ),
        (
            "two that meet",
            vec![
                report(&[], Some(12_000), 100),
                report(&[], Some(40_000), 11_000),
            ],
            one("v2"),
        ),
        (
            "two that don't meet",
            vec![
                report(&[], Some(12_000), 100),
                report(&[], Some(40_000), 18_000),
            ],
            VersionMix::NotKnown,
        ),
        (
            "another version that left",
            vec![report(&[("v1", 8_000)], None, 900)],
            VersionMix::Several,
        ),
        (
            "another one, long ago",
            vec![report(&[("v1", 31_000)], None, 900)],
            one("v2"),
        ),
        (
            "another one, by a report that says little",
            vec![
                report(&[], None, 900),
                report(&[("v1", 8_000)], Some(7_000), 6_000),
            ],
            VersionMix::Several,
        ),
        ("nothing", Vec::new(), VersionMix::NotKnown),
    ];
    for (name, reports, expected) in cases {
        let now = now();
        let mut versions = started("v2", now);
        for report in &reports {
            versions.on_report(report, now);
        }
        assert_eq!(versions.mix(SERVICE, MEMORY, now), expected, "{name}");
    }
}

/// Guards against: knowledge that grows on its way from process to process.
#[test]
fn a_report_of_a_report_says_no_more_than_the_first() {
    let begin = now();
    let mut first = SoftwareVersions::default();
    first.on_list(&[backend("e", Some("v1"))], MEMORY, begin);
    let later = begin + Duration::from_secs(20);
    first.on_current(later);
    let told = first.report(&SERVICE.to_string(), later).expect("a report");
    assert_eq!(told, report(&[("v1", 0)], Some(20_000), 0));
    let mut second = started("v1", later);
    second.on_report(&told, later);
    let passed_on = second.report(&SERVICE.to_string(), later);
    assert_eq!(passed_on, Some(told));
    assert_eq!(second.mix(SERVICE, MEMORY, later), VersionMix::NotKnown);
    let last = begin + MEMORY;
    second.on_current(last);
    assert_eq!(second.mix(SERVICE, MEMORY, last), one("v1"));
}

/// Guards against: a report before the first list that counts as this process's own knowledge.
#[test]
fn reports_before_the_first_list_say_nothing() {
    let now = now();
    let mut versions = SoftwareVersions::default();
    versions.on_report(&report(&[("v1", 0)], None, 0), now);
    assert_eq!(versions.mix(SERVICE, MEMORY, now), VersionMix::NotKnown);
}

fn earlier(changes: Vec<Record>) -> Option<VersionMix> {
    let now = now();
    let mut versions = started("v2", now);
    let changes = changes.iter().map(|record| (record, None));
    let earlier = EarlierVersions::of(changes, true)?;
    versions.on_earlier(&earlier, MEMORY, now);
    Some(versions.mix(SERVICE, MEMORY, now))
}

fn written(name: &str, version: &str) -> Record {
    Record::Backend(backend(name, Some(version)))
}

/// Guards against: a version that the store's history has, or may have had, and that an entry which
/// has just started takes for none.
#[test]
fn the_stores_history_tells_what_was_listed_before_the_start() {
    let gone = |name: &str| Record::BackendGone(name.to_string());
    let unreadable = Record::Unreadable {
        subject: RecordSubject::Backend("x".to_string()),
        key: "x".to_string(),
        cause: UnreadableCause::Fields,
        problem: String::new(),
    };
    let cases = [
        (vec![written("e", "v2")], Some(one("v2"))),
        (
            vec![written("a", "v2"), written("e", "v2")],
            Some(one("v2")),
        ),
        (
            vec![written("e", "v2"), written("a", "v2"), gone("a")],
            Some(one("v2")),
        ),
        (
            vec![written("e", "v2"), written("a", "v1")],
            Some(VersionMix::Several),
        ),
        (
            vec![written("a", "v1"), gone("a")],
            Some(VersionMix::Several),
        ),
        // its version is in none of the changes
        (vec![gone("a")], None),
        (vec![written("b", "v2"), gone("a")], None),
        (vec![unreadable], None),
    ];
    for (changes, expected) in cases {
        assert_eq!(earlier(changes.clone()), expected, "{changes:?}");
    }
}

/// Guards against: one version concluded from what a store that has dropped its history still has,
/// which names neither the back ends that are listed nor those that left before.
#[test]
fn a_history_that_was_dropped_proves_nothing() {
    // the list has `e`, whose record none of these changes has: they begin later than its start
    for changes in [Vec::new(), vec![written("b", "v2")]] {
        let mix = earlier(changes.clone());
        let is_one = matches!(mix, Some(VersionMix::One(_)));
        assert!(!is_one, "{changes:?}");
    }
}

/// Guards against: the version of a back end that left, taken from a later one of the same name.
#[test]
fn a_back_end_that_came_back_does_not_describe_the_one_that_left() {
    let gone = Record::BackendGone("a".to_string());
    assert_eq!(earlier(vec![gone, written("a", "v2")]), None);
}

/// Guards against: the changes of a second that are taken for those of a longer time.
#[test]
fn a_history_reaches_back_as_far_as_its_writes_show() {
    let heartbeat = Duration::from_millis(1_200);
    let time = Duration::from_secs(10);
    // the first and last writes of two back ends; 13 intervals, of which two may be extra ones
    let cases = [
        ([None, None], [None, None], false, false),
        ([None, None], [None, None], true, true),
        ([Some(5), Some(90)], [Some(17), Some(92)], false, false),
        ([Some(5), Some(90)], [Some(18), Some(92)], false, true),
        ([Some(5), Some(90)], [Some(6), Some(103)], false, true),
    ];
    for (first, last, is_whole, expected) in cases {
        let names = ["a", "b"];
        let records = names.map(|name| written(name, "v1"));
        let changes = records.iter().zip(first).chain(records.iter().zip(last));
        let earlier = EarlierVersions::of(changes, is_whole).expect("nothing left");
        let reaches_back = earlier.reaches_back(time, heartbeat);
        assert_eq!(reaches_back, expected, "{first:?} {last:?} {is_whole}");
    }
}

/// Guards against: what is known for long, forgotten for the report of a process that knows less.
#[test]
fn a_report_of_less_takes_nothing_away() {
    let start = now();
    let mut versions = started("v1", start);
    let later = start + MEMORY;
    versions.on_current(later);
    versions.on_report(&report(&[("v1", 0)], Some(2_000), 0), later);
    assert_eq!(versions.mix(SERVICE, MEMORY, later), one("v1"));
}
