//! engines that start again under the name that they had

mod dispatch_fixture;
mod keeper_fixture;

use {
    chalkcart_coordination::{
        dispatch::{DispatchEvent, SendOutcome},
        placement::{adapter_mark, OrderAnswer, OrderKind, PlacementStep},
    },
    chalkcart_protocol::peer::EngineView,
    chalkcart_state::backends::{Backend, BackendId},
    dispatch_fixture::*,
    keeper_fixture::{holding, Keeper},
    std::time::Duration,
};

const FIRST: u64 = 1_700_000_000_000;
const SECOND: u64 = FIRST + 5_000;
const THIRD: u64 = FIRST + 9_000;
/// of a life whose clock stepped back
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

/// where a request for an adapter goes, if it goes at once
fn goes_to(fixture: &mut Fixture, ticket: u64, wanted: &str) -> Option<String> {
    let ask = fixture.new_ask(ENGINES, Some(wanted));
    let sent = sent_to(&fixture.ask(ticket, ask));
    fixture.tell(DispatchEvent::Withdrawn(ticket));
    fixture.end(ticket, SendOutcome::Abandoned);
    sent.first().cloned()
}

fn text(born: u64) -> Option<String> {
    Some(id(born).to_string())
}

#[test]
fn the_sidecar_s_word_of_a_new_life_ends_the_former_at_once() {
    for born in [SECOND, EARLIER] {
        let mut fixture = Fixture::new(vec![listed(FIRST)]);
        fixture.view(1, said(FIRST, &[("a", 1)]));
        assert_eq!(goes_to(&mut fixture, 1, "a"), text(FIRST));
        fixture.view(1, said(born, &[]));
        assert_eq!(goes_to(&mut fixture, 2, "a"), None, "nothing is held");
        fixture.view(1, said(born, &[("a", 1)]));
        assert_eq!(goes_to(&mut fixture, 3, "a"), text(born));
        // the list lags, then follows
        fixture.list(vec![listed(FIRST)]);
        assert_eq!(goes_to(&mut fixture, 4, "a"), text(born));
        fixture.list(vec![listed(born)]);
        assert_eq!(goes_to(&mut fixture, 5, "a"), text(born));
    }
}

#[test]
fn the_list_s_word_of_a_later_life_ends_the_former_at_once() {
    let mut fixture = Fixture::new(vec![listed(FIRST)]);
    fixture.view(1, said(FIRST, &[("a", 1)]));
    fixture.list(vec![listed(SECOND)]);
    // its sidecar is frozen: its last word is of the former life
    assert_eq!(goes_to(&mut fixture, 1, "a"), None);
    fixture.tell(DispatchEvent::ViewLost(id(FIRST)));
    assert_eq!(goes_to(&mut fixture, 2, "a"), None);
    let ask = fixture.new_ask(ENGINES, None);
    assert_eq!(sent_to(&fixture.ask(3, ask)), [id(SECOND).to_string()]);
}

#[test]
fn a_late_word_of_a_former_life_changes_nothing() {
    for born in [SECOND, EARLIER] {
        let mut fixture = Fixture::new(vec![listed(FIRST)]);
        fixture.view(1, said(FIRST, &[("a", 1)]));
        fixture.now += ms(500);
        fixture.view(1, said(born, &[("b", 1)]));
        // by a relay that has not heard the sidecar since
        fixture.view(1, aged(said(FIRST, &[("a", 1)]), 300));
        assert_eq!(goes_to(&mut fixture, 1, "a"), None);
        assert_eq!(goes_to(&mut fixture, 2, "b"), text(born));
        let ended = fixture.list_version;
        fixture.tell(DispatchEvent::Listed {
            version: ended - 1,
            list: vec![listed(FIRST)],
        });
        assert_eq!(goes_to(&mut fixture, 3, "b"), text(born));
    }
}

#[test]
fn health_places_drain_and_memory_end_with_the_life() {
    let mut fixture = Fixture::new(vec![listed(FIRST), backend(ENGINES, 2)]);
    fixture.view(2, view("engines-2", &[]));
    fixture.view(1, said(FIRST, &[("a", 1)]));
    // four places taken, then it fails, and drains
    for ticket in 0..4 {
        let ask = fixture.new_ask(ENGINES, Some("a"));
        assert_eq!(sent_to(&fixture.ask(ticket, ask)).len(), 1);
    }
    for ticket in 10..13 {
        fixture.end(ticket, SendOutcome::Unreachable);
    }
    fixture.list(vec![
        Backend {
            leaving: true,
            ..listed(FIRST)
        },
        backend(ENGINES, 2),
    ]);
    fixture.view(1, said(SECOND, &[("a", 1)]));
    fixture.list(vec![listed(SECOND), backend(ENGINES, 2)]);
    for ticket in 20..24 {
        let ask = fixture.new_ask(ENGINES, Some("a"));
        let sent = sent_to(&fixture.ask(ticket, ask));
        assert_eq!(sent, [id(SECOND).to_string()], "{ticket}");
    }
    // what ran in the former life frees no place of this one
    (0..4).for_each(|ticket| fixture.end(ticket, SendOutcome::Failed));
    let ask = fixture.new_ask(ENGINES, Some("a"));
    assert!(fixture.ask(30, ask).is_empty(), "four places");
}

#[test]
fn a_life_that_restarts_five_times_is_the_last_one_that_was_heard_of() {
    let mut fixture = Fixture::new(vec![listed(FIRST)]);
    for life in 0..5 {
        fixture.now += ms(200);
        let name = format!("of-{life}");
        fixture.view(1, said(FIRST + life, &[(&name, 1)]));
    }
    for life in 0..5 {
        let held = goes_to(&mut fixture, life, &format!("of-{life}"));
        let expected = (life == 4).then(|| id(FIRST + life).to_string());
        assert_eq!(held, expected, "life {life}");
    }
}

/// the address of an engine that is gone may go to a back end of another service, whose
/// life no sidecar tells
#[test]
fn an_address_that_another_service_got_is_used_by_it() {
    for falls_silent in [true, false] {
        let mut fixture = Fixture::new(vec![listed(FIRST), backend(ENGINES, 2)]);
        fixture.view(1, said(FIRST, &[("a", 1)]));
        if falls_silent {
            fixture.tell(DispatchEvent::ViewLost(id(FIRST)));
        }
        let reused = Backend {
            id: BackendId::new("plain-1", SECOND),
            ..backend(PLAIN, 1)
        };
        fixture.list(vec![reused.clone(), backend(ENGINES, 2)]);
        let ask = fixture.new_ask(PLAIN, None);
        let sent = sent_to(&fixture.ask(1, ask));
        assert_eq!(sent, [reused.id.to_string()], "silent: {falls_silent}");
    }
}

/// one whose engine is wanted to hold an adapter
fn keeper() -> Keeper {
    let mut keeper = Keeper::new();
    keeper.demand(&["a"], &[]);
    keeper
}

/// the engine is asked for its name, and tells it
fn identify(keeper: &mut Keeper) {
    assert!(matches!(keeper.step(), PlacementStep::Identify { .. }));
    keeper.identify();
}

#[test]
fn a_sidecar_speaks_of_the_new_life_and_of_nothing_that_it_held() {
    for born in [SECOND, EARLIER] {
        let mut keeper = keeper();
        keeper.report(holding(FIRST, &["m"], &[("a", 1), ("b", 1)]));
        identify(&mut keeper);
        // one adapter that left in this life may come back fast
        keeper.report(holding(FIRST, &["m"], &[("a", 1)]));
        assert_eq!(keeper.view().lately, [adapter_mark(&adapter("b"))]);
        keeper.report(holding(born, &["m"], &[]));
        let view = keeper.view();
        assert_eq!(view.backend, id(born));
        assert_eq!((view.held, view.lately), (Vec::new(), Vec::new()));
        identify(&mut keeper);
        let order = keeper.order().expect("what is wanted is ordered anew");
        assert_eq!(order.kind, OrderKind::LoadAdapter(adapter("a")));
        assert_eq!(order.backend, id(born));
    }
}

#[test]
fn an_order_without_an_answer_is_given_to_the_new_life_at_once() {
    let mut keeper = keeper();
    keeper.report(holding(FIRST, &["m"], &[]));
    identify(&mut keeper);
    let order = keeper.order().expect("an order");
    keeper.answer(order, OrderAnswer::Unknown);
    keeper.report(holding(FIRST, &["m"], &[]));
    assert_eq!(keeper.order(), None, "it rests in the same life");
    keeper.report(holding(SECOND, &["m"], &[]));
    identify(&mut keeper);
    assert!(keeper.order().is_some());
}

/// the weight store allows some loads a second over all engines: an engine that starts
/// again five times in a row takes no more of them than one that starts once
#[test]
fn the_base_model_is_ordered_at_once_and_once_in_a_while() {
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
            assert_eq!(life, 1, "at once");
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

/// another name at the same address: the list has both for a while
#[test]
fn a_life_that_has_ended_is_not_used_again_when_the_sidecar_falls_silent() {
    let other = Backend {
        id: "other".into(),
        ..backend(ENGINES, 1)
    };
    let mut fixture = Fixture::new(vec![listed(FIRST), other]);
    fixture.view(1, said(FIRST, &[("a", 1)]));
    fixture.view(1, view("other", &[("a", 1)]));
    fixture.tell(DispatchEvent::ViewLost("other".into()));
    for ticket in 0..4 {
        let ask = fixture.new_ask(ENGINES, None);
        assert_eq!(sent_to(&fixture.ask(ticket, ask)), ["other"]);
    }
}

/// A process that did not run, or whose machine was suspended, knew the engine as it was
/// before: between two of its steps the engine may have been ordered, emptied or replaced.
#[test]
fn no_order_is_given_by_what_was_read_before_a_pause() {
    let mut keeper = Keeper::new();
    keeper.demand(&["a"], &[]);
    keeper.report(holding(FIRST, &["m"], &[]));
    keeper.identify();
    keeper.report(holding(FIRST, &["m"], &[]));
    assert!(keeper.order().is_some(), "before the pause");
    keeper.now += Duration::from_secs(2);
    keeper.demand(&["a"], &[]);
    assert_eq!(keeper.order(), None, "after it");
    keeper.report(holding(SECOND, &["m"], &[]));
    keeper.identify();
    keeper.report(holding(SECOND, &["m"], &[]));
    let order = keeper.order();
    assert_eq!(order.map(|o| o.backend.start_time_ms), Some(SECOND));
}

/// Seen: an engine with two places got an order for a third adapter, which makes it end. How
/// it came about: it had started again under another name, its sidecar had been killed, and the
/// new one first took the engine for the life that the list still had. When the engine told
/// its name, what the sidecar had just read of it was forgotten, and yet the next order went by
/// it. Proof: here, with one report, one name and one step.
#[test]
fn a_sidecar_that_learns_the_engine_s_name_knows_what_it_holds() {
    let full = [("a", 1), ("b", 1), ("c", 1), ("d", 1)];
    let mut keeper = Keeper::new();
    keeper.demand(&["e"], &[]);
    keeper.report(holding(0, &["m"], &full));
    assert!(matches!(keeper.step(), PlacementStep::Identify { .. }));
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
