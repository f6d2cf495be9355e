//! Engines that restart under the same name.

mod dispatch_fixture;
mod placement_fixture;

use {
    chalkcart_coordination::{
        dispatch::{DispatchEvent, SendOutcome},
        placement::{adapter_hash, OrderAnswer, OrderKind, PlacementAction},
    },
    chalkcart_protocol::peer::EngineView,
    chalkcart_state::backends::{Backend, BackendId},
    dispatch_fixture::*,
    placement_fixture::{holding, PlacementFixture},
    std::time::Duration,
};

const FIRST: u64 = 1_700_000_000_000;
const SECOND: u64 = FIRST + 5_000;
const THIRD: u64 = FIRST + 9_000;
/// Start time of an incarnation whose clock was set back.
const EARLIER: u64 = FIRST - 60_000;

fn id(born: u64) -> BackendId {
    BackendId::new("engines-1", born)
}

fn listed(born: u64) -> Backend {
    Backend {
        id: id(born),
        ..backend(ENGINES, 1)
    }
}

fn said(born: u64, held: &[(&str, u64)]) -> EngineView {
    EngineView {
        backend: id(born),
        ..view("engines-1", held)
    }
}

fn aged(mut view: EngineView, age_ms: u32) -> EngineView {
    view.figures.age_ms = age_ms;
    view
}

/// Returns the back end to which a request for an adapter is sent immediately, if any.
fn goes_to(fixture: &mut Fixture, ticket: u64, wanted: &str) -> Option<String> {
    let ask = fixture.new_request(ENGINES, Some(wanted));
    let sent = sent_to(&fixture.submit(ticket, ask));
    fixture.handle(DispatchEvent::RequestWithdrawn(ticket));
    fixture.end(ticket, SendOutcome::Abandoned);
    sent.first().cloned()
}

fn text(born: u64) -> Option<String> {
    Some(id(born).to_string())
}

#[test]
fn a_sidecar_s_report_of_a_new_incarnation_ends_the_previous_at_once() {
    for born in [SECOND, EARLIER] {
        let mut fixture = Fixture::new(vec![listed(FIRST)]);
        fixture.view(1, said(FIRST, &[("a", 1)]));
        assert_eq!(goes_to(&mut fixture, 1, "a"), text(FIRST));
        fixture.view(1, said(born, &[]));
        assert_eq!(goes_to(&mut fixture, 2, "a"), None, "no adapter is held");
        fixture.view(1, said(born, &[("a", 1)]));
        assert_eq!(goes_to(&mut fixture, 3, "a"), text(born));
        // the list is stale at first
        fixture.update_list(vec![listed(FIRST)]);
        assert_eq!(goes_to(&mut fixture, 4, "a"), text(born));
        fixture.update_list(vec![listed(born)]);
        assert_eq!(goes_to(&mut fixture, 5, "a"), text(born));
    }
}

#[test]
fn a_listed_later_incarnation_ends_the_previous_at_once() {
    let mut fixture = Fixture::new(vec![listed(FIRST)]);
    fixture.view(1, said(FIRST, &[("a", 1)]));
    fixture.update_list(vec![listed(SECOND)]);
    // its sidecar is frozen, and its last view is of the previous incarnation
    assert_eq!(goes_to(&mut fixture, 1, "a"), None);
    fixture.handle(DispatchEvent::ViewLost(id(FIRST)));
    assert_eq!(goes_to(&mut fixture, 2, "a"), None);
    let ask = fixture.new_request(ENGINES, None);
    assert_eq!(sent_to(&fixture.submit(3, ask)), [id(SECOND).to_string()]);
}

#[test]
fn a_late_report_of_a_previous_incarnation_is_ignored() {
    for born in [SECOND, EARLIER] {
        let mut fixture = Fixture::new(vec![listed(FIRST)]);
        fixture.view(1, said(FIRST, &[("a", 1)]));
        fixture.now += ms(500);
        fixture.view(1, said(born, &[("b", 1)]));
        // from a relay without a newer report of the sidecar
        fixture.view(1, aged(said(FIRST, &[("a", 1)]), 300));
        assert_eq!(goes_to(&mut fixture, 1, "a"), None);
        assert_eq!(goes_to(&mut fixture, 2, "b"), text(born));
        let ended = fixture.list_version;
        fixture.handle(DispatchEvent::ListUpdated {
            version: ended - 1,
            list: vec![listed(FIRST)],
        });
        assert_eq!(goes_to(&mut fixture, 3, "b"), text(born));
    }
}

#[test]
fn health_slots_drain_and_history_are_reset_with_the_incarnation() {
    let mut fixture = Fixture::new(vec![listed(FIRST), backend(ENGINES, 2)]);
    fixture.view(2, view("engines-2", &[]));
    fixture.view(1, said(FIRST, &[("a", 1)]));
    // four slots are taken, then the engine fails and drains
    for ticket in 0..4 {
        let ask = fixture.new_request(ENGINES, Some("a"));
        assert_eq!(sent_to(&fixture.submit(ticket, ask)).len(), 1);
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
    fixture.view(1, said(SECOND, &[("a", 1)]));
    fixture.update_list(vec![listed(SECOND), backend(ENGINES, 2)]);
    for ticket in 20..24 {
        let ask = fixture.new_request(ENGINES, Some("a"));
        let sent = sent_to(&fixture.submit(ticket, ask));
        assert_eq!(sent, [id(SECOND).to_string()], "{ticket}");
    }
    // runs of the previous incarnation free no slot of this one
    (0..4).for_each(|ticket| fixture.end(ticket, SendOutcome::Failed));
    let ask = fixture.new_request(ENGINES, Some("a"));
    assert!(
        fixture.submit(30, ask).is_empty(),
        "all four slots are taken"
    );
}

#[test]
fn after_five_restarts_the_last_reported_incarnation_is_used() {
    let mut fixture = Fixture::new(vec![listed(FIRST)]);
    for life in 0..5 {
        fixture.now += ms(200);
        let name = format!("of-{life}");
        fixture.view(1, said(FIRST + life, &[(&name, 1)]));
    }
    for life in 0..5 {
        let held = goes_to(&mut fixture, life, &format!("of-{life}"));
        let expected = (life == 4).then(|| id(FIRST + life).to_string());
        assert_eq!(held, expected, "incarnation {life}");
    }
}

/// The address of a removed engine may be reused by a back end of a service without sidecars.
#[test]
fn an_address_reused_by_another_service_is_used_for_it() {
    for falls_silent in [true, false] {
        let mut fixture = Fixture::new(vec![listed(FIRST), backend(ENGINES, 2)]);
        fixture.view(1, said(FIRST, &[("a", 1)]));
        if falls_silent {
            fixture.handle(DispatchEvent::ViewLost(id(FIRST)));
        }
        let reused = Backend {
            id: BackendId::new("plain-1", SECOND),
            ..backend(PLAIN, 1)
        };
        fixture.update_list(vec![reused.clone(), backend(ENGINES, 2)]);
        let ask = fixture.new_request(PLAIN, None);
        let sent = sent_to(&fixture.submit(1, ask));
        assert_eq!(
            sent,
            [reused.id.to_string()],
            "sidecar unresponsive: {falls_silent}"
        );
    }
}

/// Creates a placement whose engine is to hold an adapter.
fn keeper() -> PlacementFixture {
    let mut keeper = PlacementFixture::new();
    keeper.demand(&["a"], &[]);
    keeper
}

/// Expects a query for the engine's name and responds to it.
fn identify(keeper: &mut PlacementFixture) {
    assert!(matches!(keeper.step(), PlacementAction::Identify { .. }));
    keeper.identify();
}

#[test]
fn a_sidecar_reports_the_new_incarnation_without_the_adapters_of_the_previous() {
    for born in [SECOND, EARLIER] {
        let mut keeper = keeper();
        keeper.report(holding(FIRST, &["m"], &[("a", 1), ("b", 1)]));
        identify(&mut keeper);
        // an adapter unloaded in this incarnation can be reloaded from the host cache
        keeper.report(holding(FIRST, &["m"], &[("a", 1)]));
        assert_eq!(keeper.view().lately, [adapter_hash(&adapter("b"))]);
        keeper.report(holding(born, &["m"], &[]));
        let view = keeper.view();
        assert_eq!(view.backend, id(born));
        assert_eq!((view.held, view.lately), (Vec::new(), Vec::new()));
        identify(&mut keeper);
        let order = keeper.order().expect("the wanted adapter is ordered again");
        assert_eq!(order.kind, OrderKind::LoadAdapter(adapter("a")));
        assert_eq!(order.backend, id(born));
    }
}

#[test]
fn an_order_without_a_response_is_sent_to_the_new_incarnation_at_once() {
    let mut keeper = keeper();
    keeper.report(holding(FIRST, &["m"], &[]));
    identify(&mut keeper);
    let order = keeper.order().expect("an order");
    keeper.answer(order, OrderAnswer::Unknown);
    keeper.report(holding(FIRST, &["m"], &[]));
    assert_eq!(
        keeper.order(),
        None,
        "no order to the same incarnation during the back-off"
    );
    keeper.report(holding(SECOND, &["m"], &[]));
    identify(&mut keeper);
    assert!(keeper.order().is_some());
}

/// Guards against an engine in a restart loop that uses up the weight store's rate of loads.
#[test]
fn the_base_model_is_ordered_at_once_and_at_a_limited_rate() {
    let mut keeper = keeper();
    keeper.report(holding(FIRST, &["m"], &[]));
    identify(&mut keeper);
    keeper.now += Duration::from_secs(60);
    keeper.demand(&["a"], &[]);
    let mut ordered = 0;
    for life in 1..=5 {
        keeper.now += ms(300);
        keeper.report(holding(FIRST + life, &[], &[]));
        identify(&mut keeper);
        if let Some(order) = keeper.order() {
            assert_eq!(order.kind, OrderKind::LoadModel("m".to_string()));
            assert_eq!(life, 1, "ordered after the first restart");
            keeper.answer(order, OrderAnswer::Taken);
            ordered += 1;
        }
    }
    assert_eq!(ordered, 1);
    keeper.now += Duration::from_secs(5);
    keeper.demand(&["a"], &[]);
    keeper.report(holding(THIRD, &[], &[]));
    identify(&mut keeper);
    assert!(keeper.order().is_some());
}

/// While the list has two names at one address, the ended incarnation must not be used.
#[test]
fn an_ended_incarnation_is_not_used_when_the_sidecar_becomes_unresponsive() {
    let other = Backend {
        id: "other".into(),
        ..backend(ENGINES, 1)
    };
    let mut fixture = Fixture::new(vec![listed(FIRST), other]);
    fixture.view(1, said(FIRST, &[("a", 1)]));
    fixture.view(1, view("other", &[("a", 1)]));
    fixture.handle(DispatchEvent::ViewLost("other".into()));
    for ticket in 0..4 {
        let ask = fixture.new_request(ENGINES, None);
        assert_eq!(sent_to(&fixture.submit(ticket, ask)), ["other"]);
    }
}

/// After a suspension of the sidecar its state is stale: the engine may have been controlled by
/// another process or replaced meanwhile.
#[test]
fn no_order_is_based_on_a_report_from_before_a_suspension() {
    let mut keeper = PlacementFixture::new();
    keeper.demand(&["a"], &[]);
    keeper.report(holding(FIRST, &["m"], &[]));
    keeper.identify();
    keeper.report(holding(FIRST, &["m"], &[]));
    assert!(keeper.order().is_some(), "before the suspension");
    keeper.now += Duration::from_secs(2);
    keeper.demand(&["a"], &[]);
    assert_eq!(keeper.order(), None, "after the suspension");
    keeper.report(holding(SECOND, &["m"], &[]));
    keeper.identify();
    keeper.report(holding(SECOND, &["m"], &[]));
    let order = keeper.order();
    assert_eq!(order.map(|o| o.backend.start_time_ms), Some(SECOND));
}

/// Guards against ordering a load into a full engine, which crashes it, after the engine's name
/// turned out to differ from the listed one.
#[test]
fn identifying_an_engine_keeps_the_report_of_its_adapters() {
    let full = [("a", 1), ("b", 1), ("c", 1), ("d", 1)];
    let mut keeper = PlacementFixture::new();
    keeper.demand(&["e"], &[]);
    keeper.report(holding(0, &["m"], &full));
    assert!(matches!(keeper.step(), PlacementAction::Identify { .. }));
    keeper.identify_as("another name");
    for _ in 0..2 {
        if let Some(order) = keeper.order() {
            assert!(
                matches!(order.kind, OrderKind::UnloadAdapter(_)),
                "{order:?}"
            );
        }
        keeper.report(holding(0, &["m"], &full));
    }
}
