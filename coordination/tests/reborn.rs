//! Engines that restart under the same name.

mod dispatch_fixture;
mod placement_fixture;

use {
    chalkcart_coordination::{
        dispatch::{DispatchEvent, DueDemands, SendOutcome},
        placement::{adapter_hash, OrderAnswer, OrderKind, PlacementAction},
    },
    chalkcart_protocol::peer::EngineView,
    chalkcart_state::{
        backends::{Backend, BackendId},
        published::StorePosition,
    },
    dispatch_fixture::*,
    placement_fixture::{holding, PlacementFixture},
    std::time::Duration,
};

const FIRST: u64 = 1_700_000_000_000;
const SECOND: u64 = FIRST + 5_000;
const THIRD: u64 = FIRST + 9_000;
/// Start time of an incarnation whose clock was set back.
const EARLIER: u64 = FIRST - 60_000;

fn id(start_time_ms: u64) -> BackendId {
    BackendId::new("engines-1", start_time_ms)
}

fn listed(start_time_ms: u64) -> Backend {
    Backend {
        id: id(start_time_ms),
        ..backend(ENGINES, 1)
    }
}

fn reported_view(start_time_ms: u64, held: &[(&str, u64)]) -> EngineView {
    EngineView {
        backend: id(start_time_ms),
        ..view("engines-1", held)
    }
}

fn aged(mut view: EngineView, age_ms: u32) -> EngineView {
    view.figures.age_ms = age_ms;
    view
}

/// Returns the back end to which a request for an adapter is sent immediately, if any.
fn target_of(fixture: &mut Fixture, ticket: u64, wanted: &str) -> Option<String> {
    let request = fixture.new_request(ENGINES, Some(wanted));
    let sent = sent_to(&fixture.submit(ticket, request));
    fixture.handle(DispatchEvent::RequestWithdrawn(ticket));
    fixture.end(ticket, SendOutcome::Abandoned);
    sent.first().cloned()
}

fn id_text(start_time_ms: u64) -> Option<String> {
    Some(id(start_time_ms).to_string())
}

#[test]
fn a_sidecar_s_report_of_a_new_incarnation_ends_the_previous_at_once() {
    for start_time_ms in [SECOND, EARLIER] {
        let mut fixture = Fixture::new(vec![listed(FIRST)]);
        fixture.view(1, reported_view(FIRST, &[("a", 1)]));
        assert_eq!(target_of(&mut fixture, 1, "a"), id_text(FIRST));
        fixture.view(1, reported_view(start_time_ms, &[]));
        assert_eq!(target_of(&mut fixture, 2, "a"), None, "no adapter is held");
        fixture.view(1, reported_view(start_time_ms, &[("a", 1)]));
        assert_eq!(target_of(&mut fixture, 3, "a"), id_text(start_time_ms));
        // the list is stale at first
        fixture.update_list(vec![listed(FIRST)]);
        assert_eq!(target_of(&mut fixture, 4, "a"), id_text(start_time_ms));
        fixture.update_list(vec![listed(start_time_ms)]);
        assert_eq!(target_of(&mut fixture, 5, "a"), id_text(start_time_ms));
    }
}

#[test]
fn a_listed_later_incarnation_ends_the_previous_at_once() {
    let mut fixture = Fixture::new(vec![listed(FIRST)]);
    fixture.view(1, reported_view(FIRST, &[("a", 1)]));
    fixture.update_list(vec![listed(SECOND)]);
    // its sidecar is frozen, and its last view is of the previous incarnation
    assert_eq!(target_of(&mut fixture, 1, "a"), None);
    fixture.handle(DispatchEvent::ViewLost(id(FIRST)));
    assert_eq!(target_of(&mut fixture, 2, "a"), None);
    let request = fixture.new_request(ENGINES, None);
    assert_eq!(
        sent_to(&fixture.submit(3, request)),
        [id(SECOND).to_string()]
    );
}

#[test]
fn a_late_report_of_a_previous_incarnation_is_ignored() {
    for start_time_ms in [SECOND, EARLIER] {
        let mut fixture = Fixture::new(vec![listed(FIRST)]);
        fixture.view(1, reported_view(FIRST, &[("a", 1)]));
        fixture.now += ms(500);
        fixture.view(1, reported_view(start_time_ms, &[("b", 1)]));
        // from a relay without a newer report of the sidecar
        fixture.view(1, aged(reported_view(FIRST, &[("a", 1)]), 300));
        assert_eq!(target_of(&mut fixture, 1, "a"), None);
        assert_eq!(target_of(&mut fixture, 2, "b"), id_text(start_time_ms));
        let ended = fixture.list_version;
        fixture.handle(DispatchEvent::ListUpdated {
            at: StorePosition::new(1, ended - 1),
            list: vec![listed(FIRST)],
        });
        assert_eq!(target_of(&mut fixture, 3, "b"), id_text(start_time_ms));
    }
}

#[test]
fn health_slots_drain_and_history_are_reset_with_the_incarnation() {
    let mut fixture = Fixture::new(vec![listed(FIRST), backend(ENGINES, 2)]);
    fixture.view(2, view("engines-2", &[]));
    fixture.view(1, reported_view(FIRST, &[("a", 1)]));
    // four slots are taken, then the engine fails and drains
    for ticket in 0..4 {
        let request = fixture.new_request(ENGINES, Some("a"));
        assert_eq!(sent_to(&fixture.submit(ticket, request)).len(), 1);
    }
    for ticket in 10..13 {
        fixture.end(ticket, SendOutcome::Unreachable);
    }
    fixture.update_list(vec![
        Backend {
            leaving: true,
            ..listed(FIRST)
        },
        backend(ENGINES, 2),
    ]);
    fixture.view(1, reported_view(SECOND, &[("a", 1)]));
    fixture.update_list(vec![listed(SECOND), backend(ENGINES, 2)]);
    for ticket in 20..24 {
        let request = fixture.new_request(ENGINES, Some("a"));
        let sent = sent_to(&fixture.submit(ticket, request));
        assert_eq!(sent, [id(SECOND).to_string()], "{ticket}");
    }
    // runs of the previous incarnation free no slot of this one
    (0..4).for_each(|ticket| fixture.end(ticket, SendOutcome::Failed));
    let request = fixture.new_request(ENGINES, Some("a"));
    assert!(
        fixture.submit(30, request).is_empty(),
        "all four slots are taken"
    );
}

#[test]
fn after_five_restarts_the_last_reported_incarnation_is_used() {
    let mut fixture = Fixture::new(vec![listed(FIRST)]);
    for life in 0..5 {
        fixture.now += ms(200);
        let name = format!("of-{life}");
        fixture.view(1, reported_view(FIRST + life, &[(&name, 1)]));
    }
    for life in 0..5 {
        let held = target_of(&mut fixture, life, &format!("of-{life}"));
        let expected = (life == 4).then(|| id(FIRST + life).to_string());
        assert_eq!(held, expected, "incarnation {life}");
    }
}

/// The sidecar restarts while the list still has the previous incarnation. Only a demand makes
/// the sidecar identify its engine again, so the incarnation that it reported must stay in use.
#[test]
fn an_incarnation_ahead_of_the_list_stays_in_use_when_its_sidecar_is_lost() {
    for start_time_ms in [SECOND, EARLIER] {
        let mut fixture = Fixture::new(vec![listed(FIRST), backend(ENGINES, 2)]);
        fixture.view(1, reported_view(FIRST, &[("a", 1)]));
        fixture.view(1, reported_view(start_time_ms, &[("a", 1)]));
        fixture.now += ms(2_000);
        fixture.handle(DispatchEvent::ViewLost(id(start_time_ms)));
        assert!(
            has_demand(&mut fixture, start_time_ms),
            "the sidecar is lost"
        );
        assert_eq!(target_of(&mut fixture, 1, "a"), id_text(start_time_ms));
        // another record of the list changes
        fixture.update_list(vec![listed(FIRST)]);
        assert!(has_demand(&mut fixture, start_time_ms), "the list changes");
        // the record of the engine is gone
        fixture.update_list(vec![backend(ENGINES, 2)]);
        assert!(!has_demand(&mut fixture, start_time_ms), "it is not listed");
    }
}

fn has_demand(fixture: &mut Fixture, start_time_ms: u64) -> bool {
    let demands = fixture.dispatcher.demands(DueDemands::All, fixture.now);
    demands.iter().any(|(_, d)| d.backend == id(start_time_ms))
}

/// The address of a removed engine may be reused by a back end of a service without sidecars.
#[test]
fn an_address_reused_by_another_service_is_used_for_it() {
    for falls_silent in [true, false] {
        let mut fixture = Fixture::new(vec![listed(FIRST), backend(ENGINES, 2)]);
        fixture.view(1, reported_view(FIRST, &[("a", 1)]));
        if falls_silent {
            fixture.handle(DispatchEvent::ViewLost(id(FIRST)));
        }
        let reused = Backend {
            id: BackendId::new("plain-1", SECOND),
            ..backend(PLAIN, 1)
        };
        fixture.update_list(vec![reused.clone(), backend(ENGINES, 2)]);
        let request = fixture.new_request(PLAIN, None);
        let sent = sent_to(&fixture.submit(1, request));
        assert_eq!(
            sent,
            [reused.id.to_string()],
            "sidecar unresponsive: {falls_silent}"
        );
    }
}

/// Creates a placement whose engine is to hold an adapter.
fn placement_with_demand() -> PlacementFixture {
    let mut placement = PlacementFixture::new();
    placement.demand(&["a"], &[]);
    placement
}

/// Expects a query for the engine's name and responds to it.
fn identify(placement: &mut PlacementFixture) {
    assert!(matches!(placement.step(), PlacementAction::Identify { .. }));
    placement.identify();
}

#[test]
fn a_sidecar_reports_the_new_incarnation_without_the_adapters_of_the_previous() {
    for start_time_ms in [SECOND, EARLIER] {
        let mut placement = placement_with_demand();
        placement.report(holding(FIRST, &["m"], &[("a", 1), ("b", 1)]));
        identify(&mut placement);
        // an adapter unloaded in this incarnation can be reloaded from the host cache
        placement.report(holding(FIRST, &["m"], &[("a", 1)]));
        assert_eq!(placement.view().lately, [adapter_hash(&adapter("b"))]);
        placement.report(holding(start_time_ms, &["m"], &[]));
        let view = placement.view();
        assert_eq!(view.backend, id(start_time_ms));
        assert_eq!((view.held, view.lately), (Vec::new(), Vec::new()));
        identify(&mut placement);
        let order = placement
            .order()
            .expect("the wanted adapter is ordered again");
        assert_eq!(order.kind, OrderKind::LoadAdapter(adapter("a")));
        assert_eq!(order.backend, id(start_time_ms));
    }
}

#[test]
fn an_order_without_a_response_is_sent_to_the_new_incarnation_at_once() {
    let mut placement = placement_with_demand();
    placement.report(holding(FIRST, &["m"], &[]));
    identify(&mut placement);
    let order = placement.order().expect("an order");
    placement.answer(order, OrderAnswer::Unknown);
    placement.report(holding(FIRST, &["m"], &[]));
    assert_eq!(
        placement.order(),
        None,
        "no order to the same incarnation during the back-off"
    );
    placement.report(holding(SECOND, &["m"], &[]));
    identify(&mut placement);
    assert!(placement.order().is_some());
}

/// Guards against an engine in a restart loop that uses up the weight store's rate of loads.
#[test]
fn the_base_model_is_ordered_at_once_and_at_a_limited_rate() {
    let mut placement = placement_with_demand();
    placement.report(holding(FIRST, &["m"], &[]));
    identify(&mut placement);
    placement.now += Duration::from_secs(60);
    placement.demand(&["a"], &[]);
    let mut ordered = 0;
    for life in 1..=5 {
        placement.now += ms(300);
        placement.report(holding(FIRST + life, &[], &[]));
        identify(&mut placement);
        if let Some(order) = placement.order() {
            assert_eq!(order.kind, OrderKind::LoadModel("m".to_string()));
            assert_eq!(life, 1, "ordered after the first restart");
            placement.answer(order, OrderAnswer::Taken);
            ordered += 1;
        }
    }
    assert_eq!(ordered, 1);
    placement.now += Duration::from_secs(5);
    placement.demand(&["a"], &[]);
    placement.report(holding(THIRD, &[], &[]));
    identify(&mut placement);
    assert!(placement.order().is_some());
}

/// While the list has two names at one address, the ended incarnation must not be used.
#[test]
fn an_ended_incarnation_is_not_used_when_the_sidecar_becomes_unresponsive() {
    let other = Backend {
        id: "other".into(),
        ..backend(ENGINES, 1)
    };
    let mut fixture = Fixture::new(vec![listed(FIRST), other]);
    fixture.view(1, reported_view(FIRST, &[("a", 1)]));
    fixture.view(1, view("other", &[("a", 1)]));
    fixture.handle(DispatchEvent::ViewLost("other".into()));
    for ticket in 0..4 {
        let request = fixture.new_request(ENGINES, None);
        assert_eq!(sent_to(&fixture.submit(ticket, request)), ["other"]);
    }
}

/// After a suspension of the sidecar its state is stale: the engine may have been controlled by
/// another process or replaced meanwhile.
#[test]
fn no_order_is_based_on_a_report_from_before_a_suspension() {
    let mut placement = PlacementFixture::new();
    placement.demand(&["a"], &[]);
    placement.report(holding(FIRST, &["m"], &[]));
    placement.identify();
    placement.report(holding(FIRST, &["m"], &[]));
    assert!(placement.order().is_some(), "before the suspension");
    placement.now += Duration::from_secs(2);
    placement.demand(&["a"], &[]);
    assert_eq!(placement.order(), None, "after the suspension");
    placement.report(holding(SECOND, &["m"], &[]));
    placement.identify();
    placement.report(holding(SECOND, &["m"], &[]));
    let order = placement.order();
    assert_eq!(order.map(|o| o.backend.start_time_ms), Some(SECOND));
}

/// Guards against ordering a load into a full engine, which crashes it, after the engine's name
/// turned out to differ from the listed one.
#[test]
fn identifying_an_engine_keeps_the_report_of_its_adapters() {
    let full = [("a", 1), ("b", 1), ("c", 1), ("d", 1)];
    let mut placement = PlacementFixture::new();
    placement.demand(&["e"], &[]);
    placement.report(holding(0, &["m"], &full));
    assert!(matches!(placement.step(), PlacementAction::Identify { .. }));
    placement.identify_as("another name");
    for _ in 0..2 {
        if let Some(order) = placement.order() {
            assert!(
                matches!(order.kind, OrderKind::UnloadAdapter(_)),
                "{order:?}"
            );
        }
        placement.report(holding(0, &["m"], &full));
    }
}
