//! A relay's copy of the store's records, and what it answers to entries.

use {
    chalkcart_coordination::relay::{DirectCallPacing, PublishedCache, RelayPacing},
    chalkcart_protocol::peer::PublishedResponse,
    chalkcart_state::{
        backends::Backend,
        published::{Record, Snapshot, StorePosition},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const STALE_AFTER: Duration = Duration::from_millis(1_200);

fn listed(id: &str) -> Record {
    Record::Backend(Backend {
        id: id.into(),
        service: "s".to_string(),
        addr: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: "z".to_string(),
        slots: 4,
        leaving: false,
        slow_start_left: Duration::ZERO,
        models: Vec::new(),
        held: Vec::new(),
        software_version: None,
    })
}

/// A position in the first era.
fn at(revision: u64) -> StorePosition {
    StorePosition::new(1, revision)
}

fn snapshot(revision: u64, records: Vec<Record>) -> Snapshot {
    let at = at(revision);
    Snapshot { records, at }
}

/// A response that was current at the time of the request.
fn current(snapshot: Snapshot) -> PublishedResponse {
    let current_ms = 0;
    PublishedResponse::Records {
        snapshot,
        current_ms,
    }
}

#[test]
fn a_relay_serves_the_records_of_the_store_until_they_are_stale() {
    let now = Instant::now();
    let mut cache = PublishedCache::new(STALE_AFTER);
    assert_eq!(
        cache.response(None, now, now),
        Some(PublishedResponse::Stale)
    );
    cache.apply(snapshot(5, vec![listed("a"), listed("b")]), true, now, now);
    let all = current(snapshot(5, vec![listed("a"), listed("b")]));
    assert_eq!(cache.response(None, now, now), Some(all));
    assert_eq!(cache.response(Some(at(5)), now, now), None, "nothing newer");
    // a later listing lacks a known back end, and an earlier state is ignored
    cache.apply(snapshot(9, vec![listed("a")]), true, now, now);
    cache.apply(snapshot(7, vec![listed("c")]), false, now, now);
    let lost = Some(PublishedResponse::HistoryLost);
    assert_eq!(
        cache.response(Some(at(5)), now, now),
        lost,
        "the topic must be read in full"
    );
    let all = current(snapshot(9, vec![listed("a")]));
    assert_eq!(cache.response(None, now, now), Some(all));
    let gone = Record::BackendGone("a".to_string());
    cache.apply(snapshot(10, vec![gone.clone()]), false, now, now);
    let gone = current(snapshot(10, vec![gone]));
    assert_eq!(cache.response(Some(at(9)), now, now), Some(gone));
    let nothing = current(snapshot(12, Vec::new()));
    assert_eq!(
        cache.empty_response(Some(at(12)), now),
        nothing,
        "never an earlier revision"
    );
    let later = now + Duration::from_secs(2);
    assert_eq!(
        cache.response(Some(at(10)), later, later),
        Some(PublishedResponse::Stale)
    );
}

/// A response is shared by the callers of a short time and states its age as for the last one.
#[test]
fn a_response_for_a_later_request_states_no_lower_age() {
    let now = Instant::now();
    let mut cache = PublishedCache::new(STALE_AFTER);
    cache.apply(snapshot(5, vec![listed("a")]), true, now, now);
    let current_ms = |requested_at| match cache.response(None, requested_at, now) {
        Some(PublishedResponse::Records { current_ms, .. }) => current_ms,
        other => panic!("{other:?}"),
    };
    let shared = current_ms(now + Duration::from_millis(100));
    for earlier_ms in [0, 1, 50, 99] {
        let requested_at = now + Duration::from_millis(earlier_ms);
        assert!(shared <= current_ms(requested_at), "{earlier_ms} ms");
    }
}

/// The pages of a listing are no snapshot: a later page may contain a change that an entry
/// at the revision of the first page does not know.
#[test]
fn a_change_between_two_pages_of_a_listing_is_sent_when_the_watch_reports_it() {
    let now = Instant::now();
    let mut cache = PublishedCache::new(STALE_AFTER);
    let leaving = match listed("b") {
        Record::Backend(backend) => Record::Backend(Backend {
            leaving: true,
            ..backend
        }),
        other => other,
    };
    cache.apply(
        snapshot(5, vec![listed("a"), leaving.clone()]),
        true,
        now,
        now,
    );
    cache.apply(snapshot(6, vec![leaving.clone()]), false, now, now);
    let change = current(snapshot(6, vec![leaving]));
    assert_eq!(cache.response(Some(at(5)), now, now), Some(change));
}

/// A relay does not know which back ends were removed before it started.
#[test]
fn a_new_relay_requires_a_full_read_from_an_earlier_revision() {
    let now = Instant::now();
    let mut cache = PublishedCache::new(STALE_AFTER);
    cache.apply(snapshot(888, vec![listed("a")]), true, now, now);
    let lost = Some(PublishedResponse::HistoryLost);
    assert_eq!(cache.response(Some(at(847)), now, now), lost);
    assert_eq!(cache.response(Some(at(888)), now, now), None);
    cache.apply(snapshot(890, vec![listed("c")]), false, now, now);
    let newer = current(snapshot(890, vec![listed("c")]));
    assert_eq!(cache.response(Some(at(888)), now, now), Some(newer));
}

#[test]
fn an_earlier_state_of_the_store_does_not_refresh_a_stale_copy() {
    let now = Instant::now();
    let mut cache = PublishedCache::new(STALE_AFTER);
    cache.apply(snapshot(9, vec![listed("a")]), true, now, now);
    let later = now + STALE_AFTER + Duration::from_millis(1);
    cache.apply(snapshot(7, vec![listed("b")]), true, later, later);
    assert_eq!(
        cache.response(Some(at(9)), later, later),
        Some(PublishedResponse::Stale)
    );
}

#[test]
fn an_entry_backs_off_after_its_direct_call_to_the_store_failed() {
    let propagation_limit = Duration::from_millis(2_000);
    let pacing = RelayPacing { propagation_limit };
    let mut calls = DirectCallPacing::new(pacing.direct_call_pause());
    let now = Instant::now();
    assert!(calls.may_call(now));
    calls.on_failure(now);
    assert!(!calls.may_call(now + Duration::from_millis(400)));
    assert!(calls.may_call(now + Duration::from_millis(500)));
    calls.on_success();
    assert!(calls.may_call(now));
    let propagation = pacing.stale_after() + pacing.direct_call_pause();
    assert!(propagation < propagation_limit, "a change is known in time");
}

#[test]
fn dropped_removals_require_a_full_read() {
    let now = Instant::now();
    let mut cache = PublishedCache::new(STALE_AFTER);
    cache.apply(snapshot(0, Vec::new()), true, now, now);
    for revision in 1..=2_001 {
        let gone = Record::BackendGone(format!("b{revision}"));
        cache.apply(snapshot(revision, vec![gone]), false, now, now);
    }
    assert_eq!(
        cache.response(Some(at(1)), now, now),
        Some(PublishedResponse::HistoryLost)
    );
    assert!(cache
        .response(Some(at(2_000)), now, now)
        .is_some_and(|a| a != PublishedResponse::HistoryLost));
}

/// Guards against an entry at a position before a listing that is told of the changes after a
/// removal that was dropped, and so misses those in between.
#[test]
fn dropped_removals_do_not_shorten_the_lost_history() {
    let now = Instant::now();
    let mut cache = PublishedCache::new(STALE_AFTER);
    cache.apply(snapshot(0, Vec::new()), true, now, now);
    for revision in 1..=2_000 {
        let gone = Record::BackendGone(format!("b{revision}"));
        cache.apply(snapshot(revision, vec![gone]), false, now, now);
    }
    cache.apply(snapshot(3_000, vec![listed("a")]), true, now, now);
    let gone = Record::BackendGone("b0".to_string());
    cache.apply(snapshot(3_001, vec![gone]), false, now, now);
    let lost = Some(PublishedResponse::HistoryLost);
    assert_eq!(cache.response(Some(at(2_500)), now, now), lost);
}

/// Covers an entry that reads changes, and a zone that a later listing lacks.
#[test]
fn a_relay_serves_the_start_and_the_end_of_a_zone_evacuation() {
    let now = Instant::now();
    let zone = |is_evacuated| Record::Zone {
        zone: "y".to_string(),
        is_evacuated,
    };
    let records = |cache: &PublishedCache, after| match cache.response(after, now, now) {
        Some(PublishedResponse::Records { snapshot, .. }) => snapshot.records,
        other => panic!("{other:?}"),
    };
    let mut cache = PublishedCache::new(STALE_AFTER);
    cache.apply(snapshot(1, Vec::new()), true, now, now);
    cache.apply(snapshot(2, vec![zone(true)]), false, now, now);
    assert_eq!(records(&cache, Some(at(1))), [zone(true)]);
    assert_eq!(records(&cache, None), [zone(true)]);
    cache.apply(snapshot(3, Vec::new()), true, now, now);
    assert_eq!(
        cache.response(Some(at(2)), now, now),
        Some(PublishedResponse::HistoryLost),
        "removals before the listing are unknown"
    );
    assert_eq!(records(&cache, None), [zone(false)]);
}

#[test]
fn a_relay_that_lost_the_store_is_stale_before_the_propagation_limit() {
    for propagation_limit in [500, 2_000, 3_000, 4_000].map(Duration::from_millis) {
        let pacing = RelayPacing { propagation_limit };
        let interval = pacing.watch_wait() + pacing.pause_after_change();
        assert!(
            interval < pacing.stale_after(),
            "a healthy relay is never stale"
        );
        assert!(pacing.stale_after() < propagation_limit.mul_f64(0.7));
    }
}

/// A position in an era.
fn in_era(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(era, revision)
}

fn in_new_era(revision: u64, records: Vec<Record>) -> Snapshot {
    let at = in_era(2, revision);
    Snapshot { records, at }
}

/// Guards against a relay that keeps the records of a store that was restored since, or says that
/// nothing is newer than a revision of the former era.
#[test]
fn a_relay_follows_a_restored_store_to_a_lower_revision() {
    let now = Instant::now();
    let mut cache = PublishedCache::new(STALE_AFTER);
    assert!(cache.apply(snapshot(306, vec![listed("a")]), true, now, now));
    let changes = in_new_era(172, vec![listed("b")]);
    assert!(
        !cache.apply(changes, false, now, now),
        "the listing is missing"
    );
    let lost = Some(PublishedResponse::HistoryLost);
    let stale = Some(PublishedResponse::Stale);
    assert_eq!(cache.response(Some(in_era(2, 171)), now, now), stale);
    assert!(cache.apply(in_new_era(171, vec![listed("b")]), true, now, now));
    for revision in [171, 306, 400] {
        assert_eq!(cache.response(Some(at(revision)), now, now), lost);
    }
    assert_eq!(cache.response(Some(in_era(2, 171)), now, now), None);
    assert_eq!(
        cache.response(Some(in_era(0, 171)), now, now),
        stale,
        "which era is unknown"
    );
    assert!(!cache.apply(snapshot(500, vec![listed("a")]), true, now, now));
    let all = current(in_new_era(171, vec![listed("b")]));
    assert_eq!(cache.response(None, now, now), Some(all));
}

/// Builds before wire version 8 name no era.
#[test]
fn a_relay_that_knows_one_era_serves_callers_that_name_none() {
    let now = Instant::now();
    let mut cache = PublishedCache::new(STALE_AFTER);
    cache.apply(snapshot(5, vec![listed("a")]), true, now, now);
    cache.apply(snapshot(6, vec![listed("b")]), false, now, now);
    let newer = current(snapshot(6, vec![listed("b")]));
    assert_eq!(cache.response(Some(in_era(0, 5)), now, now), Some(newer));
    let nothing = current(snapshot(6, Vec::new()));
    assert_eq!(cache.empty_response(Some(in_era(0, 6)), now), nothing);
}

/// Guards against a relay that began to read after a restore and tells a caller of an earlier build,
/// whose revision is of the former era, that nothing is newer.
#[test]
fn a_caller_that_names_no_era_and_knows_a_higher_revision_is_told_nothing() {
    let now = Instant::now();
    let mut cache = PublishedCache::new(STALE_AFTER);
    cache.apply(in_new_era(171, vec![listed("b")]), true, now, now);
    let stale = Some(PublishedResponse::Stale);
    assert_eq!(cache.response(Some(in_era(0, 306)), now, now), stale);
    assert_eq!(cache.response(Some(in_era(0, 171)), now, now), None);
    // its own era is known, and it may have read the store itself
    assert_eq!(cache.response(Some(in_era(2, 172)), now, now), None);
    let mut of_one_era = PublishedCache::new(STALE_AFTER);
    let at = in_era(0, 171);
    let records = vec![listed("b")];
    of_one_era.apply(Snapshot { records, at }, true, now, now);
    assert_eq!(
        of_one_era.response(Some(in_era(0, 172)), now, now),
        None,
        "the store names no era"
    );
}
