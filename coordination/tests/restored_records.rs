//! What an entry keeps beyond a store that returns with an older state: back ends that were leaving
//! or gone, evacuations, and configurations.

use {
    chalkcart_coordination::{
        published::{EvacuatedZones, ListedBackends},
        relay::PublishedCache,
        retry::ListPacing,
    },
    chalkcart_protocol::peer::PublishedResponse,
    chalkcart_state::{
        backends::Backend,
        ingress::{IngressLimits, RouteTable},
        published::{Record, RecordSubject, Snapshot, StorePosition, UnreadableCause},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Interval at which back ends write their records.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const DRAIN: Duration = Duration::from_millis(2_000);

fn backend(name: &str) -> Backend {
    Backend {
        id: name.into(),
        service: "s".to_string(),
        addr: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: "z".to_string(),
        slots: 4,
        leaving: false,
        slow_start_left: Duration::ZERO,
        models: Vec::new(),
        held: Vec::new(),
        software_version: None,
    }
}

fn ready(name: &str) -> Record {
    Record::Backend(backend(name))
}

fn leaving(name: &str) -> Record {
    Record::Backend(Backend {
        leaving: true,
        ..backend(name)
    })
}

fn gone(name: &str) -> Record {
    Record::BackendGone(name.to_string())
}

fn unreadable(name: &str) -> Record {
    Record::Unreadable {
        subject: RecordSubject::Backend(name.to_string()),
        key: name.to_string(),
        cause: UnreadableCause::Fields,
        problem: "no address".to_string(),
    }
}

fn snapshot(era: u64, revision: u64, records: Vec<Record>) -> Snapshot {
    let at = StorePosition::new(era, revision);
    Snapshot { records, at }
}

/// A list of back ends with a clock.
struct Fixture {
    list: ListedBackends,
    now: Instant,
    /// Names of the back ends that the last update allows to use.
    usable: Vec<String>,
}

impl Fixture {
    /// Lists these back ends in the first era.
    fn new(records: Vec<Record>) -> Self {
        let mut fixture = Self {
            list: ListedBackends::new(HEARTBEAT),
            now: Instant::now(),
            usable: Vec::new(),
        };
        fixture.apply(snapshot(1, 300, records), true);
        fixture
    }

    fn apply(&mut self, snapshot: Snapshot, is_full: bool) {
        let Some(update) = self.list.apply(snapshot, is_full, self.now) else {
            return;
        };
        let usable = update.list.iter().filter(|b| !b.leaving);
        self.usable = usable.map(|b| b.id.name.clone()).collect();
    }
    fn change(&mut self, era: u64, revision: u64, record: Record) {
        self.apply(snapshot(era, revision, vec![record]), false);
    }
    /// The store returns with these back ends ready.
    fn restore(&mut self, names: &[&str]) {
        let records = names.iter().map(|name| ready(name)).collect();
        self.apply(snapshot(2, 100, records), true);
    }
    /// Passes time, with responses of the store that contain no change.
    fn wait(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
        self.apply(snapshot(2, 100, Vec::new()), false);
    }
}

/// Guards against requests to a back end whose leaving was heard before the store was restored.
#[test]
fn a_back_end_that_was_leaving_is_not_used_again_with_a_restored_store() {
    let mut fixture = Fixture::new(vec![ready("a"), ready("b")]);
    fixture.change(1, 301, leaving("a"));
    fixture.restore(&["a", "b"]);
    assert_eq!(fixture.usable, ["b"]);
    fixture.wait(30);
    assert_eq!(fixture.usable, ["b"]);
    fixture.wait(31);
    assert_eq!(fixture.usable, ["a", "b"], "the store's word in the end");
}

/// Guards against requests to a back end that has left, and is listed until its heartbeats are
/// missed.
#[test]
fn a_back_end_that_was_gone_is_not_used_while_a_restored_store_lists_it() {
    let mut fixture = Fixture::new(vec![ready("a"), ready("b"), ready("c")]);
    fixture.change(1, 301, gone("a"));
    fixture.apply(snapshot(1, 302, vec![ready("b")]), true);
    fixture.restore(&["a", "b", "c"]);
    assert_eq!(fixture.usable, ["b"]);
    fixture.wait(5);
    assert_eq!(fixture.usable, ["b"]);
    fixture.wait(2);
    assert_eq!(fixture.usable, ["a", "b", "c"], "it sends heartbeats");
}

/// Guards against requests to a back end that was leaving while its writer repeats what it wrote
/// before that.
#[test]
fn a_back_end_that_was_leaving_is_not_used_while_its_earlier_record_is_repeated() {
    let mut fixture = Fixture::new(vec![ready("a"), ready("b")]);
    fixture.change(1, 301, leaving("a"));
    fixture.restore(&["a", "b"]);
    fixture.change(2, 101, ready("a"));
    assert_eq!(fixture.usable, ["b"]);
    fixture.change(2, 102, leaving("a"));
    assert_eq!(fixture.usable, ["b"]);
    fixture.wait(61);
    assert_eq!(fixture.usable, ["b"], "its record says so");
    fixture.change(2, 103, ready("a"));
    assert_eq!(fixture.usable, ["a", "b"]);
}

#[test]
fn a_back_end_that_was_gone_is_used_once_its_record_is_written_again() {
    let mut fixture = Fixture::new(vec![ready("a"), ready("b"), ready("c")]);
    fixture.change(1, 301, gone("b"));
    fixture.restore(&["a", "b", "c"]);
    assert_eq!(fixture.usable, ["a", "c"]);
    fixture.change(2, 101, ready("b"));
    assert_eq!(fixture.usable, ["a", "b", "c"]);
    fixture.change(2, 102, leaving("c"));
    assert_eq!(fixture.usable, ["a", "b"]);
}

/// Guards against a sound back end that is left out for a minute since its record could not be read
/// when the store was restored.
#[test]
fn a_back_end_whose_record_was_unreadable_is_used_once_a_restored_store_has_a_readable_one() {
    let mut fixture = Fixture::new(vec![ready("a"), ready("b"), ready("c")]);
    fixture.change(1, 301, leaving("b"));
    fixture.change(1, 302, unreadable("a"));
    fixture.change(1, 303, unreadable("b"));
    assert_eq!(fixture.usable, ["c"]);
    fixture.restore(&["a", "b", "c"]);
    assert_eq!(fixture.usable, ["a", "c"], "it never said that it leaves");
}

/// Without a restore the store's list decides, and a record may become ready again.
#[test]
fn within_an_era_the_list_decides() {
    let mut fixture = Fixture::new(vec![ready("a"), ready("b")]);
    fixture.change(1, 301, leaving("a"));
    fixture.apply(snapshot(1, 302, vec![ready("a"), ready("b")]), true);
    assert_eq!(fixture.usable, ["a", "b"]);
    fixture.change(1, 303, unreadable("a"));
    assert_eq!(fixture.usable, ["b"]);
    fixture.apply(snapshot(1, 304, vec![unreadable("a"), ready("b")]), true);
    assert_eq!(fixture.usable, ["b"]);
    fixture.change(1, 305, ready("a"));
    assert_eq!(fixture.usable, ["a", "b"]);
}

/// A second restore shortly after the first still holds back what was known before both.
#[test]
fn two_restores_in_succession_are_one() {
    let mut fixture = Fixture::new(vec![ready("a"), ready("b"), ready("c")]);
    fixture.change(1, 301, leaving("a"));
    fixture.change(1, 302, gone("b"));
    fixture.restore(&["a", "b", "c"]);
    fixture.wait(4);
    let all = vec![ready("a"), ready("b"), ready("c")];
    fixture.apply(snapshot(3, 90, all), true);
    assert_eq!(fixture.usable, ["c"]);
}

fn zone(is_evacuated: bool) -> Record {
    Record::Zone {
        zone: "y".to_string(),
        is_evacuated,
    }
}

/// Guards against requests to an evacuated zone until its record is written again.
#[test]
fn an_evacuation_is_kept_beyond_a_restored_store() {
    let now = Instant::now();
    let mut zones = EvacuatedZones::default();
    let full = |zones: &mut EvacuatedZones, era, records, at| {
        zones.apply(&snapshot(era, 9, records), true, at)
    };
    assert!(full(&mut zones, 1, vec![zone(true)], now).is_some_and(|z| z.contains("y")));
    assert_eq!(
        full(&mut zones, 2, Vec::new(), now),
        None,
        "still evacuated"
    );
    let again = zones.apply(&snapshot(2, 10, vec![zone(true)]), false, now);
    assert_eq!(again, None);
    let over = zones.apply(&snapshot(2, 11, vec![zone(false)]), false, now);
    assert!(over.is_some_and(|zones| zones.is_empty()));
    // it was never written again
    assert!(full(&mut zones, 2, vec![zone(true)], now).is_some());
    assert_eq!(full(&mut zones, 3, Vec::new(), now), None);
    let later = now + Duration::from_secs(61);
    let over = zones.apply(&snapshot(3, 9, Vec::new()), false, later);
    assert!(over.is_some_and(|zones| zones.is_empty()));
    assert!(full(&mut zones, 3, vec![zone(true)], later).is_some());
    let listed = full(&mut zones, 3, Vec::new(), later);
    assert!(
        listed.is_some_and(|z| z.is_empty()),
        "within an era the list decides"
    );
}

/// Guards against requests to an evacuated zone while its operator repeats what was written before
/// the evacuation.
#[test]
fn an_evacuation_is_kept_while_its_earlier_record_is_repeated() {
    let now = Instant::now();
    let mut zones = EvacuatedZones::default();
    let change = |zones: &mut EvacuatedZones, revision, record, at| {
        zones.apply(&snapshot(2, revision, vec![record]), false, at)
    };
    let evacuated = zones.apply(&snapshot(1, 9, vec![zone(true)]), true, now);
    assert!(evacuated.is_some_and(|zones| zones.contains("y")));
    assert_eq!(zones.apply(&snapshot(2, 5, Vec::new()), true, now), None);
    assert_eq!(change(&mut zones, 6, zone(false), now), None);
    assert_eq!(change(&mut zones, 7, zone(true), now), None);
    let over = change(&mut zones, 8, zone(false), now);
    assert!(over.is_some_and(|zones| zones.is_empty()));
}

/// Guards against a relay that gives an older configuration to an entry that starts after a restore.
#[test]
fn a_relay_keeps_the_latest_configuration_beyond_a_restored_store() {
    let now = Instant::now();
    let table = |generation| {
        let table = RouteTable::new(generation, IngressLimits::default(), Vec::new());
        Record::Table(Box::new(table))
    };
    let mut cache = PublishedCache::new(DRAIN);
    cache.apply(snapshot(1, 300, vec![table(26)]), true, now, now);
    cache.apply(snapshot(2, 100, vec![table(22)]), true, now, now);
    cache.apply(snapshot(2, 101, vec![table(23)]), false, now, now);
    let Some(PublishedResponse::Records { snapshot: all, .. }) = cache.response(None, now, now)
    else {
        panic!("no records");
    };
    assert_eq!(all.records, [table(26)]);
    cache.apply(snapshot(2, 102, vec![table(30)]), false, now, now);
    let after = Some(StorePosition::new(2, 101));
    let Some(PublishedResponse::Records { snapshot: new, .. }) = cache.response(after, now, now)
    else {
        panic!("no records");
    };
    assert_eq!(new.records, [table(30)]);
}

/// Guards against a whole fleet that reads all pages of the list at the same moment.
#[test]
fn the_entries_of_a_large_fleet_spread_their_reads_of_a_restored_store() {
    let pacing = ListPacing {
        drain: DRAIN,
        store_reads_per_s: 6_000.0,
    };
    let small = pacing.pause_after_restore(4, 12, 1.0);
    assert!(small < Duration::from_millis(5), "{small:?}");
    // 100 entries read 4 pages each, at a quarter of the rate
    let last = pacing.pause_after_restore(100, 2_000, 1.0);
    assert!(last >= Duration::from_millis(260), "{last:?}");
    assert_eq!(pacing.pause_after_restore(100, 2_000, 0.0), Duration::ZERO);
    let largest = pacing.pause_after_restore(350, 4_000, 1.0);
    assert!(largest <= DRAIN.mul_f64(0.3), "{largest:?}");
}

/// Guards against a back end that is used again before its missing heartbeats can be noticed.
#[test]
fn a_back_end_that_was_gone_is_held_back_for_heartbeats() {
    let mut fixture = Fixture::new(vec![ready("a"), ready("b")]);
    fixture.list = ListedBackends::new(3 * HEARTBEAT);
    fixture.apply(snapshot(1, 300, vec![ready("a"), ready("b")]), true);
    fixture.change(1, 301, gone("a"));
    fixture.restore(&["a", "b"]);
    fixture.wait(17);
    assert_eq!(fixture.usable, ["b"]);
    fixture.wait(2);
    assert_eq!(fixture.usable, ["a", "b"]);
}
