//! what an entry knows of back ends: lists, incarnations, versions, and what it
//! tells sidecars

mod dispatch_fixture;

use {
    chalkcart_coordination::dispatch::{Ask, DemandsDue, DispatchEvent, SendOutcome},
    chalkcart_protocol::peer::EngineStats,
    chalkcart_state::backends::{Backend, HeldAdapter},
    dispatch_fixture::*,
};

/// each of these leaves one of two back ends out
#[test]
fn back_ends_that_must_not_get_work_get_none() {
    type Change = fn(&mut Fixture);
    let cases: &[(&str, Change)] = &[
        ("leaving", |f| {
            let mut list = vec![backend(PLAIN, 1), backend(PLAIN, 2)];
            list[0].leaving = true;
            f.list(list);
        }),
        ("gone from the list", |f| f.list(vec![backend(PLAIN, 2)])),
        ("unreachable", |f| one_fails(f, SendOutcome::Unreachable)),
        ("another incarnation answers", |f| {
            one_fails(f, SendOutcome::Superseded)
        }),
    ];
    for (name, change) in cases {
        let mut fixture = Fixture::new(vec![backend(PLAIN, 1), backend(PLAIN, 2)]);
        change(&mut fixture);
        for ticket in 100..104 {
            let ask = fixture.new_ask(PLAIN, None);
            let decided = fixture.ask(ticket, ask);
            assert_eq!(sent_to(&decided), ["plain-2"], "{name}");
        }
    }
}

/// end one send to the first back end in this way
fn one_fails(fixture: &mut Fixture, outcome: SendOutcome) {
    let ask = Ask {
        tried: vec!["plain-2".into()],
        ..fixture.new_ask(PLAIN, None)
    };
    fixture.ask(50, ask);
    fixture.end(50, outcome);
}

#[test]
fn a_list_that_lost_all_of_a_service_leaves_the_former_ones_in_use() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    fixture.list(Vec::new());
    let ask = fixture.new_ask(PLAIN, None);
    assert_eq!(sent_to(&fixture.ask(1, ask)), ["plain-1"]);
    fixture.list(vec![backend(PLAIN, 2)]);
    let ask = fixture.new_ask(PLAIN, None);
    assert_eq!(sent_to(&fixture.ask(2, ask)), ["plain-2"]);
}

#[test]
fn an_older_list_changes_nothing() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    fixture.list(vec![backend(PLAIN, 2)]);
    let list = vec![backend(PLAIN, 1)];
    fixture.tell(DispatchEvent::Listed { version: 1, list });
    let ask = fixture.new_ask(PLAIN, None);
    assert_eq!(sent_to(&fixture.ask(1, ask)), ["plain-2"]);
}

#[test]
fn an_engine_that_came_back_is_used_before_the_list_has_it() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1-new", &[("a", 1)]));
    let ask = fixture.new_ask(ENGINES, Some("a"));
    assert_eq!(sent_to(&fixture.ask(1, ask)), ["engines-1-new"]);
    fixture.list(engines());
    let ask = fixture.new_ask(ENGINES, Some("a"));
    assert_eq!(sent_to(&fixture.ask(2, ask)), ["engines-1-new"]);
}

#[test]
fn a_former_incarnation_that_is_still_listed_gets_nothing() {
    let held = HeldAdapter {
        adapter: adapter("a"),
        version: 1,
    };
    let former = Backend {
        id: "former".into(),
        held: vec![held],
        ..backend(ENGINES, 1)
    };
    let mut fixture = Fixture::new(vec![former, backend(ENGINES, 1), backend(ENGINES, 2)]);
    fixture.view(1, view("engines-1", &[]));
    fixture.view(2, view("engines-2", &[]));
    // by now the list is believed of engines whose sidecars are silent
    fixture.pass(ms(2_000));
    let ask = fixture.new_ask(ENGINES, Some("a"));
    assert!(fixture.ask(1, ask).is_empty(), "the living ones lack it");
    assert!(!fixture.homes("a").contains(&"former".to_string()));
    // the sidecar was wrong, or late
    fixture.view(1, view("former", &[("a", 1)]));
    let decided = fixture.pass(ms(25));
    assert!(decided.is_empty(), "sent with the view");
    assert_eq!(fixture.dispatcher.waiting_count(), 0);
}

#[test]
fn the_former_version_is_run_for_a_short_time_only() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", 1)]));
    fixture.tell(DispatchEvent::Versioned {
        adapter: adapter("a"),
        version: 2,
    });
    let ask = fixture.new_ask(ENGINES, Some("a"));
    assert_eq!(sent_to(&fixture.ask(1, ask)), ["engines-1"]);
    fixture.pass(ms(2_600));
    let ask = fixture.new_ask(ENGINES, Some("a"));
    assert!(fixture.ask(2, ask).is_empty(), "only the former is held");
    let decided = fixture.view(1, view("engines-1", &[("a", 2)]));
    assert_eq!(sent_to(&decided), ["engines-1"]);
}

#[test]
fn sidecars_hear_of_adapters_with_a_newer_version() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", 1)]));
    fixture.tell(DispatchEvent::Versioned {
        adapter: adapter("a"),
        version: 2,
    });
    let demands = fixture.dispatcher.demands(DemandsDue::Urgent, fixture.now);
    let (_, told) = demands
        .iter()
        .find(|(_, d)| d.backend == "engines-1")
        .unwrap();
    assert_eq!(told.outdated[0].version, 2);
}

#[test]
fn a_sidecar_hears_once_that_nothing_is_needed_any_more() {
    let mut fixture = fixture_with_views();
    let told = |fixture: &mut Fixture| {
        let now = fixture.now;
        let demands = fixture.dispatcher.demands(DemandsDue::Changed, now);
        let told = demands
            .into_iter()
            .map(|(_, d)| (d.backend.to_string(), d.used.len()));
        told.collect::<Vec<(String, usize)>>()
    };
    told(&mut fixture);
    assert!(told(&mut fixture).is_empty(), "all are quiet");
    fixture.view(2, view("engines-2", &[("a", 1)]));
    let ask = fixture.new_ask(ENGINES, Some("a"));
    fixture.ask(1, ask);
    assert_eq!(told(&mut fixture), [("engines-2".to_string(), 1)]);
    fixture.end(1, SendOutcome::Answered);
    assert_eq!(told(&mut fixture), [("engines-2".to_string(), 0)]);
    assert!(told(&mut fixture).is_empty(), "it knows");
}

#[test]
fn sidecars_hear_the_fence_of_their_earlier_life() {
    let mut fixture = fixture_with_views();
    for fence in [9, 7] {
        let mut spoken = view("engines-1", &[]);
        spoken.figures.fence = fence;
        fixture.view(1, spoken);
    }
    let demands = fixture.dispatcher.demands(DemandsDue::All, fixture.now);
    let (_, told) = demands
        .iter()
        .find(|(_, d)| d.backend == "engines-1")
        .unwrap();
    assert_eq!(told.fence_seen, 9);
}

#[test]
fn an_entry_that_hears_nothing_says_so() {
    let mut fixture = fixture_with_views();
    assert!(fixture.dispatcher.reaches_backends(fixture.now));
    fixture.pass(ms(1_500));
    assert!(!fixture.dispatcher.reaches_backends(fixture.now));
    fixture.view(1, view("engines-1", &[]));
    assert!(fixture.dispatcher.reaches_backends(fixture.now));
}

#[test]
fn figures_alone_count_in_the_next_decision_and_decide_nothing_themselves() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", 1)]));
    let figures = |running| DispatchEvent::Figures {
        backend: "engines-1".into(),
        figures: EngineStats {
            running,
            ..view("engines-1", &[]).figures
        },
    };
    assert!(fixture.tell(figures(4)).is_empty());
    let ask = fixture.new_ask(ENGINES, Some("a"));
    assert!(fixture.ask(1, ask).is_empty(), "four places, all taken");
    assert!(
        fixture.tell(figures(0)).is_empty(),
        "not before the next tick"
    );
    assert_eq!(sent_to(&fixture.pass(ms(25))), ["engines-1"]);
}

#[test]
fn figures_of_a_sidecar_that_was_lost_bring_nothing_back() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", 1)]));
    fixture.tell(DispatchEvent::ViewLost("engines-1".into()));
    let figures = DispatchEvent::Figures {
        backend: "engines-1".into(),
        figures: EngineStats::default(),
    };
    fixture.tell(figures);
    let ask = fixture.new_ask(ENGINES, Some("a"));
    assert!(fixture.ask(1, ask).is_empty());
}
