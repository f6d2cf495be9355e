//! Knowledge of back ends: lists, incarnations, versions, and the demands sent to sidecars.

mod dispatch_fixture;

use {
    chalkcart_coordination::dispatch::{DispatchEvent, DispatchRequest, DueDemands, SendOutcome},
    chalkcart_protocol::peer::EngineStats,
    chalkcart_state::{
        backends::{Backend, HeldAdapter},
        published::StorePosition,
    },
    dispatch_fixture::*,
};

/// Each case excludes the first of two back ends.
#[test]
fn excluded_back_ends_receive_no_requests() {
    type Change = fn(&mut Fixture);
    let cases: &[(&str, Change)] = &[
        ("leaving", |f| {
            let mut list = vec![backend(PLAIN, 1), backend(PLAIN, 2)];
            list[0].leaving = true;
            f.update_list(list);
        }),
        ("gone from the list", |f| {
            f.update_list(vec![backend(PLAIN, 2)])
        }),
        ("unreachable", |f| {
            end_send_to_first(f, SendOutcome::Unreachable)
        }),
        ("another incarnation responds", |f| {
            end_send_to_first(f, SendOutcome::Superseded)
        }),
    ];
    for (name, change) in cases {
        let mut fixture = Fixture::new(vec![backend(PLAIN, 1), backend(PLAIN, 2)]);
        change(&mut fixture);
        for ticket in 100..104 {
            let request = fixture.new_request(PLAIN, None);
            let decided = fixture.submit(ticket, request);
            assert_eq!(sent_to(&decided), ["plain-2"], "{name}");
        }
    }
}

/// Ends one send to the first back end with this outcome.
fn end_send_to_first(fixture: &mut Fixture, outcome: SendOutcome) {
    let request = DispatchRequest {
        tried_backends: vec!["plain-2".into()],
        ..fixture.new_request(PLAIN, None)
    };
    fixture.submit(50, request);
    fixture.end(50, outcome);
}

fn set_list_available(fixture: &mut Fixture, is_available: bool) {
    fixture.handle(DispatchEvent::ListSourceChanged { is_available });
}

/// Returns the back end that a new request is sent to, if any.
fn chosen(fixture: &mut Fixture, ticket: u64) -> Option<String> {
    let request = fixture.new_request(PLAIN, None);
    let sent = sent_to(&fixture.submit(ticket, request)).into_iter().next();
    fixture.handle(DispatchEvent::RequestWithdrawn(ticket));
    sent
}

/// Guards against requests to the last server of a service after it left without a word.
#[test]
fn a_back_end_that_left_receives_no_requests_though_its_service_has_no_other() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    fixture.update_list(Vec::new());
    assert_eq!(chosen(&mut fixture, 1), None);
    // neither does an outage bring it back
    set_list_available(&mut fixture, false);
    assert_eq!(chosen(&mut fixture, 2), None);
    fixture.update_list(vec![backend(PLAIN, 2)]);
    assert_eq!(chosen(&mut fixture, 3).as_deref(), Some("plain-2"));
}

/// Guards against requests that wait for the last one's end before its back end is excluded.
#[test]
fn a_back_end_that_left_while_it_runs_requests_receives_no_further_ones() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    let request = fixture.new_request(PLAIN, None);
    assert_eq!(sent_to(&fixture.submit(1, request)), ["plain-1"]);
    fixture.update_list(Vec::new());
    assert_eq!(chosen(&mut fixture, 2), None);
    fixture.end(1, SendOutcome::Answered);
    assert_eq!(chosen(&mut fixture, 3), None);
}

#[test]
fn back_ends_whose_records_lapsed_in_an_outage_stay_in_use_until_they_are_missing() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    set_list_available(&mut fixture, false);
    fixture.advance(ms(8_000));
    set_list_available(&mut fixture, true);
    fixture.update_list(Vec::new());
    assert_eq!(chosen(&mut fixture, 1).as_deref(), Some("plain-1"));
    fixture.advance(ms(2_500));
    assert_eq!(chosen(&mut fixture, 2).as_deref(), Some("plain-1"));
    fixture.advance(ms(1_000));
    assert_eq!(chosen(&mut fixture, 3), None);
    fixture.update_list(vec![backend(PLAIN, 1)]);
    assert_eq!(chosen(&mut fixture, 4).as_deref(), Some("plain-1"));
}

#[test]
fn back_ends_that_a_restored_store_lacks_stay_in_use_for_a_while() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    fixture.handle(DispatchEvent::ListUpdated {
        at: StorePosition::new(2, 1),
        list: Vec::new(),
    });
    assert_eq!(chosen(&mut fixture, 1).as_deref(), Some("plain-1"));
    fixture.advance(ms(3_500));
    assert_eq!(chosen(&mut fixture, 2), None);
}

#[test]
fn an_older_list_is_ignored() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    fixture.update_list(vec![backend(PLAIN, 2)]);
    let list = vec![backend(PLAIN, 1)];
    fixture.handle(DispatchEvent::ListUpdated {
        at: StorePosition::new(1, 1),
        list,
    });
    let request = fixture.new_request(PLAIN, None);
    assert_eq!(sent_to(&fixture.submit(1, request)), ["plain-2"]);
}

#[test]
fn a_restarted_engine_is_used_before_it_is_listed() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1-new", &[("a", 1)]));
    let request = fixture.new_request(ENGINES, Some("a"));
    assert_eq!(sent_to(&fixture.submit(1, request)), ["engines-1-new"]);
    fixture.update_list(engines());
    let request = fixture.new_request(ENGINES, Some("a"));
    assert_eq!(sent_to(&fixture.submit(2, request)), ["engines-1-new"]);
}

/// Guards against: requests to an engine that left before the store had its first record, which is
/// taken for one that is not listed yet for as long as its sidecar reports it.
#[test]
fn a_restarted_engine_that_is_missing_from_the_list_for_long_counts_as_gone() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1-new", &[("a", 1)]));
    for (ticket, seconds) in [(1, 0), (2, 2)] {
        fixture.now += ms(seconds * 1_000);
        fixture.update_list(engines());
        fixture.view(1, view("engines-1-new", &[("a", 1)]));
        let request = fixture.new_request(ENGINES, Some("a"));
        let sent = sent_to(&fixture.submit(ticket, request));
        assert_eq!(sent, ["engines-1-new"], "after {seconds} s");
        fixture.end(ticket, SendOutcome::Answered);
    }
    fixture.now += ms(1_500);
    fixture.update_list(engines());
    fixture.view(1, view("engines-1-new", &[("a", 1), ("b", 1)]));
    fixture.view(2, view("engines-2", &[]));
    let request = fixture.new_request(ENGINES, Some("a"));
    assert!(fixture.submit(3, request).is_empty(), "it is gone");
    // its record was only late
    let listed = Backend {
        id: "engines-1-new".into(),
        ..backend(ENGINES, 1)
    };
    fixture.update_list(vec![listed, backend(ENGINES, 2)]);
    let request = fixture.new_request(ENGINES, Some("a"));
    assert_eq!(sent_to(&fixture.submit(4, request)), ["engines-1-new"]);
}

/// Guards against: the same while the list can't be read, when the store may lack records.
#[test]
fn a_restarted_engine_stays_in_use_while_the_list_cannot_be_read() {
    let mut fixture = fixture_with_views();
    fixture.handle(DispatchEvent::ListSourceChanged {
        is_available: false,
    });
    fixture.view(1, view("engines-1-new", &[("a", 1)]));
    fixture.now += ms(10_000);
    fixture.update_list(engines());
    fixture.view(1, view("engines-1-new", &[("a", 1)]));
    let request = fixture.new_request(ENGINES, Some("a"));
    assert_eq!(sent_to(&fixture.submit(1, request)), ["engines-1-new"]);
}

#[test]
fn a_previous_incarnation_that_is_still_listed_receives_no_requests() {
    let held = HeldAdapter {
        adapter: adapter("a"),
        version: 1,
    };
    let previous = Backend {
        id: "former".into(),
        held: vec![held],
        ..backend(ENGINES, 1)
    };
    let mut fixture = Fixture::new(vec![previous, backend(ENGINES, 1), backend(ENGINES, 2)]);
    fixture.view(1, view("engines-1", &[]));
    fixture.view(2, view("engines-2", &[]));
    // the list is now trusted for engines whose sidecars don't report
    fixture.advance(ms(2_000));
    let request = fixture.new_request(ENGINES, Some("a"));
    assert!(
        fixture.submit(1, request).is_empty(),
        "the running engines lack the adapter"
    );
    assert!(!fixture.homes("a").contains(&"former".to_string()));
    // the sidecar's previous report was wrong or late
    fixture.view(1, view("former", &[("a", 1)]));
    let decided = fixture.advance(ms(25));
    assert!(decided.is_empty(), "sent with the view");
    assert_eq!(fixture.dispatcher.waiting_count(), 0);
}

#[test]
fn requests_start_on_the_previous_version_for_the_grace_period_only() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", 1)]));
    fixture.handle(DispatchEvent::VersionAnnounced {
        adapter: adapter("a"),
        version: 2,
    });
    let request = fixture.new_request(ENGINES, Some("a"));
    assert_eq!(sent_to(&fixture.submit(1, request)), ["engines-1"]);
    fixture.advance(ms(2_600));
    let request = fixture.new_request(ENGINES, Some("a"));
    assert!(
        fixture.submit(2, request).is_empty(),
        "only the previous version is held"
    );
    let decided = fixture.view(1, view("engines-1", &[("a", 2)]));
    assert_eq!(sent_to(&decided), ["engines-1"]);
}

#[test]
fn demands_name_the_newer_versions_of_held_adapters() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", 1)]));
    fixture.handle(DispatchEvent::VersionAnnounced {
        adapter: adapter("a"),
        version: 2,
    });
    let demands = fixture.dispatcher.demands(DueDemands::Urgent, fixture.now);
    let (_, demand) = demands
        .iter()
        .find(|(_, d)| d.backend == "engines-1")
        .unwrap();
    assert_eq!(demand.outdated[0].version, 2);
}

#[test]
fn an_empty_demand_is_sent_once() {
    let mut fixture = fixture_with_views();
    let changed_demands = |fixture: &mut Fixture| {
        let now = fixture.now;
        let demands = fixture.dispatcher.demands(DueDemands::Changed, now);
        let use_counts = demands
            .into_iter()
            .map(|(_, d)| (d.backend.to_string(), d.used.len()));
        use_counts.collect::<Vec<(String, usize)>>()
    };
    changed_demands(&mut fixture);
    assert!(
        changed_demands(&mut fixture).is_empty(),
        "all demands are empty"
    );
    fixture.view(2, view("engines-2", &[("a", 1)]));
    let request = fixture.new_request(ENGINES, Some("a"));
    fixture.submit(1, request);
    assert_eq!(
        changed_demands(&mut fixture),
        [("engines-2".to_string(), 1)]
    );
    fixture.end(1, SendOutcome::Answered);
    assert_eq!(
        changed_demands(&mut fixture),
        [("engines-2".to_string(), 0)]
    );
    assert!(changed_demands(&mut fixture).is_empty(), "already sent");
}

#[test]
fn demands_carry_the_highest_fence_that_the_sidecar_reported() {
    let mut fixture = fixture_with_views();
    for fence in [9, 7] {
        let mut report = view("engines-1", &[]);
        report.figures.fence = fence;
        fixture.view(1, report);
    }
    let demands = fixture.dispatcher.demands(DueDemands::All, fixture.now);
    let (_, demand) = demands
        .iter()
        .find(|(_, d)| d.backend == "engines-1")
        .unwrap();
    assert_eq!(demand.fence_seen, 9);
}

#[test]
fn an_entry_without_reports_does_not_reach_its_back_ends() {
    let mut fixture = fixture_with_views();
    assert!(fixture.dispatcher.can_reach_backends(fixture.now));
    fixture.advance(ms(1_500));
    assert!(!fixture.dispatcher.can_reach_backends(fixture.now));
    fixture.view(1, view("engines-1", &[]));
    assert!(fixture.dispatcher.can_reach_backends(fixture.now));
}

#[test]
fn stats_alone_affect_the_next_decision_but_trigger_none() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", 1)]));
    let stats_event = |running| DispatchEvent::StatsReceived {
        backend: "engines-1".into(),
        stats: EngineStats {
            running,
            ..view("engines-1", &[]).figures
        },
    };
    assert!(fixture.handle(stats_event(4)).is_empty());
    let request = fixture.new_request(ENGINES, Some("a"));
    assert!(
        fixture.submit(1, request).is_empty(),
        "all four slots are taken"
    );
    assert!(
        fixture.handle(stats_event(0)).is_empty(),
        "not before the next tick"
    );
    assert_eq!(sent_to(&fixture.advance(ms(25))), ["engines-1"]);
}

#[test]
fn stats_after_the_loss_of_a_view_do_not_restore_it() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", 1)]));
    fixture.handle(DispatchEvent::ViewLost("engines-1".into()));
    let stats_event = DispatchEvent::StatsReceived {
        backend: "engines-1".into(),
        stats: EngineStats::default(),
    };
    fixture.handle(stats_event);
    let request = fixture.new_request(ENGINES, Some("a"));
    assert!(fixture.submit(1, request).is_empty());
}

/// Guards against a list of a restored store that is left out for its lower revision.
#[test]
fn a_list_of_a_later_era_replaces_one_with_a_higher_revision() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    let mut list_at = |era, revision, number| {
        fixture.handle(DispatchEvent::ListUpdated {
            at: StorePosition::new(era, revision),
            list: vec![backend(PLAIN, number)],
        });
        let request = fixture.new_request(PLAIN, None);
        sent_to(&fixture.submit(revision, request))
    };
    assert_eq!(list_at(1, 306, 1), ["plain-1"]);
    assert_eq!(list_at(2, 171, 2), ["plain-2"]);
    assert_eq!(list_at(1, 310, 1), ["plain-2"], "the former era is over");
}
