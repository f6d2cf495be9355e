//! Signals that back ends send in the heads of their responses.

mod dispatch_fixture;
mod placement_fixture;

use {
    chalkcart_coordination::{
        backend_signals::{BackendSignals, LimitSignal, RequestRate},
        dispatch::{Decision, DispatchEvent, RejectionCause, SendOutcome, Ticket},
        placement::{OrderAnswer, PlacementAction, PlacementEvent},
    },
    chalkcart_state::backends::Backend,
    dispatch_fixture::*,
    placement_fixture::{holding, PlacementFixture, ENGINE},
    std::time::Duration,
};

const LEAVING: BackendSignals = BackendSignals {
    is_leaving: true,
    backoff: None,
    limit: LimitSignal::Absent,
    slow_start_left: None,
};

fn two_plain() -> Vec<Backend> {
    vec![backend(PLAIN, 1), backend(PLAIN, 2)]
}

/// back-off that back ends request in these tests, in seconds
const BACKOFF_S: u64 = 3;
const BACKING_OFF: BackendSignals = BackendSignals {
    is_leaving: false,
    backoff: Some(Duration::from_secs(BACKOFF_S)),
    limit: LimitSignal::Absent,
    slow_start_left: None,
};

fn receive_signals(fixture: &mut Fixture, backend: &str, signals: BackendSignals) {
    let backend = backend.into();
    let sent = fixture.now;
    fixture.handle(DispatchEvent::SignalReceived {
        backend,
        signal: signals,
        sent_at: sent,
    });
}

/// Returns the back end that a request for the plain service is sent to, if it is sent at once.
fn route_plain_request(fixture: &mut Fixture, ticket: u64) -> Option<String> {
    let request = fixture.new_request(PLAIN, None);
    let sent = sent_to(&fixture.submit(ticket, request));
    fixture.end(ticket, SendOutcome::Answered);
    sent.first().cloned()
}

fn assert_never_routed_to(fixture: &mut Fixture, backend: &str) {
    for ticket in 100..120 {
        assert_ne!(
            route_plain_request(fixture, ticket).as_deref(),
            Some(backend)
        );
    }
}

#[test]
fn a_leaving_back_end_gets_no_requests_whatever_its_record_says() {
    let mut fixture = Fixture::new(two_plain());
    receive_signals(&mut fixture, "plain-1", LEAVING);
    assert_never_routed_to(&mut fixture, "plain-1");
    // a newer record without the state
    let mut newer = two_plain();
    newer[0].slots = 8;
    fixture.update_list(newer);
    assert_never_routed_to(&mut fixture, "plain-1");
    // the record expires and returns, as happens while the store is down
    fixture.update_list(vec![backend(PLAIN, 2)]);
    fixture.advance(ms(30_000));
    fixture.update_list(two_plain());
    assert_never_routed_to(&mut fixture, "plain-1");
}

#[test]
fn the_last_back_end_gets_no_requests_either_when_it_leaves() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    receive_signals(&mut fixture, "plain-1", LEAVING);
    assert_eq!(route_plain_request(&mut fixture, 1), None);
    fixture.update_list(Vec::new());
    assert_eq!(route_plain_request(&mut fixture, 2), None);
}

#[test]
fn the_next_incarnation_of_a_leaving_back_end_is_used() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    receive_signals(&mut fixture, "plain-1", LEAVING);
    let restarted = Backend {
        id: "plain-9".into(),
        ..backend(PLAIN, 1)
    };
    fixture.update_list(vec![restarted]);
    assert_eq!(
        route_plain_request(&mut fixture, 1).as_deref(),
        Some("plain-9")
    );
}

#[test]
fn an_adapter_of_a_leaving_engine_is_loaded_on_another_engine() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", 1)]));
    receive_signals(&mut fixture, "engines-1", LEAVING);
    let request = fixture.new_request(ENGINES, Some("a"));
    assert!(fixture.submit(1, request).is_empty());
    let homes = fixture.homes("a");
    assert_eq!(homes.len(), 1);
    assert_ne!(homes, ["engines-1"]);
}

#[test]
fn a_pending_load_on_a_leaving_engine_is_dropped() {
    let mut fixture = fixture_with_views();
    let request = fixture.new_request(ENGINES, Some("a"));
    fixture.submit(1, request);
    let homes = fixture.homes("a");
    receive_signals(&mut fixture, &homes[0], LEAVING);
    fixture.advance(ms(25));
    let after = fixture.homes("a");
    assert_eq!(after.len(), 1);
    assert_ne!(after, homes);
}

/// Returns the causes and the retry times of the rejected requests.
fn refusals(decisions: &[(Ticket, Decision)]) -> Vec<(RejectionCause, Duration)> {
    let refused = decisions.iter().filter_map(|(_, d)| match d {
        Decision::Reject {
            cause, retry_after, ..
        } => Some((*cause, *retry_after)),
        Decision::Send(_) => None,
    });
    refused.collect()
}

#[test]
fn a_back_end_gets_no_requests_during_its_requested_backoff() {
    let mut fixture = Fixture::new(two_plain());
    receive_signals(&mut fixture, "plain-1", BACKING_OFF);
    assert_never_routed_to(&mut fixture, "plain-1");
    fixture.advance(ms(BACKOFF_S * 1_000 - 1));
    assert_never_routed_to(&mut fixture, "plain-1");
    fixture.advance(ms(1));
    assert_eq!(
        route_plain_request(&mut fixture, 1).as_deref(),
        Some("plain-1")
    );
}

/// Guards against: a later, shorter back-off that ends a longer one.
#[test]
fn the_longest_backoff_applies() {
    let mut fixture = Fixture::new(two_plain());
    receive_signals(&mut fixture, "plain-1", BACKING_OFF);
    let shorter = BackendSignals {
        backoff: Some(ms(10)),
        ..BackendSignals::default()
    };
    receive_signals(&mut fixture, "plain-1", shorter);
    fixture.advance(ms(100));
    assert_never_routed_to(&mut fixture, "plain-1");
}

#[test]
fn a_backoff_is_kept_while_its_back_end_is_not_listed() {
    let mut fixture = Fixture::new(two_plain());
    receive_signals(&mut fixture, "plain-1", BACKING_OFF);
    fixture.update_list(vec![backend(PLAIN, 2)]);
    fixture.advance(ms(500));
    fixture.update_list(two_plain());
    assert_never_routed_to(&mut fixture, "plain-1");
}

#[test]
fn requests_are_rejected_until_the_first_backoff_ends_if_all_back_ends_are_backing_off() {
    let mut fixture = Fixture::new(two_plain());
    receive_signals(&mut fixture, "plain-1", BACKING_OFF);
    fixture.advance(ms(1_000));
    receive_signals(&mut fixture, "plain-2", BACKING_OFF);
    let request = fixture.new_request(PLAIN, None);
    let decided = fixture.submit(1, request);
    let left = ms(BACKOFF_S * 1_000 - 1_000);
    assert_eq!(refusals(&decided), [(RejectionCause::BackedOff, left)]);
}

#[test]
fn a_request_waits_for_a_backoff_that_ends_in_time() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    let short = BackendSignals {
        backoff: Some(ms(100)),
        ..BackendSignals::default()
    };
    receive_signals(&mut fixture, "plain-1", short);
    let request = fixture.new_request(PLAIN, None);
    assert!(fixture.submit(1, request).is_empty());
    assert_eq!(sent_to(&fixture.advance(ms(100))), ["plain-1"]);
}

/// Guards against: a base model that is loaded because the only engines with it are backing off.
#[test]
fn a_base_model_is_not_loaded_on_another_engine_during_a_backoff() {
    let mut fixture = fixture_with_views();
    for number in [2, 3] {
        let mut bare = view(&format!("engines-{number}"), &[]);
        bare.models.clear();
        fixture.view(number, bare);
    }
    receive_signals(&mut fixture, "engines-1", BACKING_OFF);
    let request = fixture.new_request(ENGINES, Some("a"));
    let decided = fixture.submit(1, request);
    let left = ms(BACKOFF_S * 1_000);
    assert_eq!(refusals(&decided), [(RejectionCause::BackedOff, left)]);
    assert!(fixture.homes("a").is_empty());
}

/// Guards against: waiting requests that are all sent when a back-off ends.
#[test]
fn a_single_probe_request_follows_a_backoff() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    receive_signals(&mut fixture, "plain-1", BACKING_OFF);
    fixture.advance(ms(BACKOFF_S * 1_000));
    let decided: Vec<_> = (1..=3)
        .flat_map(|ticket| {
            let request = fixture.new_request(PLAIN, None);
            fixture.submit(ticket, request)
        })
        .collect();
    assert_eq!(sent_to(&decided).len(), 1);
    // refused without a new back-off: the next request is the probe
    fixture.end(1, SendOutcome::Shed);
    assert_eq!(sent_to(&fixture.advance(ms(100))).len(), 1);
    // the probe has started to run: all others are sent
    fixture.handle(DispatchEvent::ResponseStarted(2));
    assert_eq!(sent_to(&fixture.advance(ms(1))).len(), 1);
    let request = fixture.new_request(PLAIN, None);
    assert_eq!(sent_to(&fixture.submit(4, request)).len(), 1);
}

/// Guards against: a client disconnect that blocks the requests of others.
#[test]
fn an_abandoned_probe_is_followed_by_another() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    receive_signals(&mut fixture, "plain-1", BACKING_OFF);
    fixture.advance(ms(BACKOFF_S * 1_000));
    for ticket in 1..=3 {
        let request = fixture.new_request(PLAIN, None);
        assert_eq!(sent_to(&fixture.submit(ticket, request)).len(), 1);
        fixture.end(ticket, SendOutcome::Abandoned);
    }
}

/// Returns a sidecar that knows the identity of its engine, which holds the base model.
fn known_placement() -> PlacementFixture {
    let mut placement = PlacementFixture::new();
    placement.demand(&["a"], &[]);
    placement.report(holding(0, &["m"], &[]));
    placement.identify();
    placement.report(holding(0, &["m"], &[]));
    placement
}

/// Guards against: orders, report requests and identity requests to an engine that is backing off.
#[test]
fn a_sidecar_makes_no_calls_to_its_engine_during_a_backoff() {
    let mut placement = known_placement();
    let order = placement.order().expect("a load");
    placement
        .control
        .handle(PlacementEvent::Signals(BACKING_OFF), placement.now);
    placement.answer(order, OrderAnswer::Refused);
    for _ in 0..BACKOFF_S * 10 {
        let step = placement.step();
        assert!(matches!(step, PlacementAction::BackOff { .. }), "{step:?}");
        placement.demand(&["a"], &[]);
        placement.now += ms(100);
    }
    assert!(!matches!(placement.step(), PlacementAction::BackOff { .. }));
}

/// An entry reports a later incarnation than the one that requested the back-off.
#[test]
fn the_backoff_of_a_previous_incarnation_is_not_kept() {
    let mut placement = known_placement();
    placement
        .control
        .handle(PlacementEvent::Signals(BACKING_OFF), placement.now);
    assert!(matches!(placement.step(), PlacementAction::BackOff { .. }));
    placement.demand_of(&format!("{ENGINE}-again"), &["a"], &[]);
    assert!(!matches!(placement.step(), PlacementAction::BackOff { .. }));
}

/// Guards against: entries that don't know of it, without a response of the engine or a list.
#[test]
fn a_sidecar_reports_to_entries_that_its_engine_is_leaving() {
    let mut placement = known_placement();
    placement
        .control
        .handle(PlacementEvent::Signals(LEAVING), placement.now);
    assert!(placement.order().is_none(), "no load on a leaving engine");
    assert!(placement.view().figures.is_leaving);
    let mut fixture = fixture_with_views();
    let mut reported = view("engines-1", &[("a", 1)]);
    reported.figures.is_leaving = true;
    fixture.view(1, reported);
    let request = fixture.new_request(ENGINES, Some("a"));
    assert!(fixture.submit(1, request).is_empty());
    assert_ne!(fixture.homes("a"), ["engines-1"]);
    // from engine stats without a view
    let mut stats = view("engines-2", &[]).figures;
    stats.is_leaving = true;
    let backend = "engines-2".into();
    fixture.handle(DispatchEvent::StatsReceived { backend, stats });
    fixture.view(2, view("engines-2", &[("b", 1)]));
    let request = fixture.new_request(ENGINES, Some("b"));
    assert!(fixture.submit(2, request).is_empty());
}

/// Guards against: a sidecar that doesn't report its engine's limit or slow start, and one that
/// reports them for the next incarnation.
#[test]
fn a_sidecar_reports_the_limit_and_slow_start_of_one_incarnation_only() {
    let mut placement = PlacementFixture::new();
    placement.demand(&[], &[]);
    placement.identify();
    let signals = BackendSignals::default()
        .with_limit(
            RequestRate::from_per_s(2.0).map_or(LimitSignal::Absent, LimitSignal::Advertised),
        )
        .with_slow_start_left(Some(Duration::from_secs(2)));
    placement
        .control
        .handle(PlacementEvent::Signals(signals), placement.now);
    let stats = placement.view().figures;
    assert_eq!(stats.limit_milli_per_s, Some(2_000));
    assert_eq!(stats.cold_left_ms, 2_000);
    placement.identify_as("engines-2");
    let stats = placement.view().figures;
    assert_eq!(stats.limit_milli_per_s, None);
    assert_eq!(stats.cold_left_ms, 0);
}
