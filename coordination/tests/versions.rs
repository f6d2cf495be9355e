//! new versions of an adapter, several of them on their way at once

mod dispatch_fixture;
mod placement_fixture;

use {
    chalkcart_coordination::{
        dispatch::{DispatchEvent, SendOutcome},
        placement::OrderKind,
    },
    chalkcart_state::backends::HeldAdapter,
    dispatch_fixture::*,
    placement_fixture::PlacementFixture,
    std::time::Duration,
};

/// half of the time after which no request may begin on an older version
const GRACE: Duration = Duration::from_millis(2_500);

fn name_version(fixture: &mut Fixture, version: u64) {
    fixture.tell(DispatchEvent::Versioned {
        adapter: adapter("a"),
        version,
    });
}

/// whether a request begins on what engines hold
fn begins(fixture: &mut Fixture, ticket: u64) -> bool {
    let ask = fixture.new_ask(ENGINES, Some("a"));
    let sent = !sent_to(&fixture.ask(ticket, ask)).is_empty();
    fixture.tell(DispatchEvent::Withdrawn(ticket));
    fixture.end(ticket, SendOutcome::Abandoned);
    sent
}

fn holding(version: u64) -> Fixture {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", version)]));
    fixture
}

#[test]
fn each_version_has_its_own_time_however_soon_the_next_is_named() {
    let mut fixture = holding(1);
    // each is named before the one before it is everywhere
    for version in 2..=4 {
        name_version(&mut fixture, version);
        fixture.now += GRACE - ms(100);
        let late = version > 2;
        assert_eq!(begins(&mut fixture, version), !late, "before {version}");
    }
    let mut second = holding(1);
    for version in 2..=4 {
        name_version(&mut second, version);
        second.now += ms(500);
    }
    // version 2 is there: it is as old as version 3, not as version 4
    second.view(1, view("engines-1", &[("a", 2)]));
    assert!(begins(&mut second, 1));
    second.now += GRACE - ms(1_000);
    assert!(!begins(&mut second, 2), "3 was named before {GRACE:?}");
    second.view(1, view("engines-1", &[("a", 3)]));
    assert!(begins(&mut second, 3));
    second.now += ms(500);
    assert!(!begins(&mut second, 4));
    second.view(1, view("engines-1", &[("a", 4)]));
    assert!(begins(&mut second, 5));
}

#[test]
fn an_older_version_that_is_heard_late_changes_nothing() {
    let mut fixture = holding(1);
    name_version(&mut fixture, 3);
    fixture.now += GRACE + ms(1);
    name_version(&mut fixture, 2);
    assert!(!begins(&mut fixture, 1));
    fixture.view(1, view("engines-1", &[("a", 2)]));
    assert!(!begins(&mut fixture, 2));
    fixture.view(1, view("engines-1", &[("a", 3)]));
    assert!(begins(&mut fixture, 3));
}

/// an entry that knows this version of the adapter
fn knows(version: u64) -> [HeldAdapter; 1] {
    [HeldAdapter {
        adapter: adapter("a"),
        version,
    }]
}

fn orders_replacement(keeper: &mut PlacementFixture) -> bool {
    let replacement = OrderKind::LoadAdapter(adapter("a"));
    keeper
        .order()
        .is_some_and(|order| order.kind == replacement)
}

#[test]
fn a_version_named_while_the_one_before_is_loaded_is_ordered_next() {
    let mut keeper = PlacementFixture::new();
    keeper.demand(&[], &[]);
    keeper.report(placement_fixture::holding(0, &["m"], &[("a", 1)]));
    keeper.identify();
    keeper.demand(&[], &knows(2));
    assert!(orders_replacement(&mut keeper));
    // version 2 is on its way; 3 is named meanwhile
    let mut loading = placement_fixture::holding(0, &["m"], &[("a", 1)]);
    loading.loading = vec![adapter("a")];
    keeper.report(loading);
    keeper.demand(&[], &knows(3));
    keeper.now += ms(250);
    keeper.report(placement_fixture::holding(0, &["m"], &[("a", 2)]));
    assert!(orders_replacement(&mut keeper));
    keeper.report(placement_fixture::holding(0, &["m"], &[("a", 3)]));
    assert!(!orders_replacement(&mut keeper));
}
