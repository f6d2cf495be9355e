//! New versions of an adapter, several of which are being rolled out at the same time.

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

/// Half of the time after which no request may start on an older version.
const GRACE: Duration = Duration::from_millis(2_500);

fn announce_version(fixture: &mut Fixture, version: u64) {
    fixture.handle(DispatchEvent::VersionAnnounced {
        adapter: adapter("a"),
        version,
    });
}

/// Returns whether a request is sent to an engine with the versions that engines hold.
fn begins(fixture: &mut Fixture, ticket: u64) -> bool {
    let request = fixture.new_request(ENGINES, Some("a"));
    let sent = !sent_to(&fixture.submit(ticket, request)).is_empty();
    fixture.handle(DispatchEvent::RequestWithdrawn(ticket));
    fixture.end(ticket, SendOutcome::Abandoned);
    sent
}

fn holding(version: u64) -> Fixture {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", version)]));
    fixture
}

#[test]
fn each_version_has_its_own_deadline_however_soon_the_next_is_published() {
    let mut fixture = holding(1);
    // each is published before the previous one is loaded everywhere
    for version in 2..=4 {
        announce_version(&mut fixture, version);
        fixture.now += GRACE - ms(100);
        let late = version > 2;
        assert_eq!(
            begins(&mut fixture, version),
            !late,
            "shortly before the deadline of version {version}"
        );
    }
    let mut second = holding(1);
    for version in 2..=4 {
        announce_version(&mut second, version);
        second.now += ms(500);
    }
    // version 2 is loaded: its deadline is set by version 3, not by version 4
    second.view(1, view("engines-1", &[("a", 2)]));
    assert!(begins(&mut second, 1));
    second.now += GRACE - ms(1_000);
    assert!(
        !begins(&mut second, 2),
        "version 3 was published {GRACE:?} ago"
    );
    second.view(1, view("engines-1", &[("a", 3)]));
    assert!(begins(&mut second, 3));
    second.now += ms(500);
    assert!(!begins(&mut second, 4));
    second.view(1, view("engines-1", &[("a", 4)]));
    assert!(begins(&mut second, 5));
}

/// Guards against: requests that begin on an outdated version at an entry that has just started,
/// since it takes a version that was announced before for one that was announced just now.
#[test]
fn an_entry_that_starts_permits_no_version_older_than_those_it_finds() {
    let mut fixture = holding(1);
    fixture.handle(DispatchEvent::VersionFound {
        adapter: adapter("a"),
        version: 2,
    });
    assert!(!begins(&mut fixture, 1));
    fixture.view(1, view("engines-1", &[("a", 2)]));
    assert!(begins(&mut fixture, 2));
    announce_version(&mut fixture, 3);
    assert!(begins(&mut fixture, 3), "within the grace of version 3");
    fixture.now += GRACE;
    assert!(!begins(&mut fixture, 4));
}

#[test]
fn a_late_update_of_an_older_version_is_ignored() {
    let mut fixture = holding(1);
    announce_version(&mut fixture, 3);
    fixture.now += GRACE + ms(1);
    announce_version(&mut fixture, 2);
    assert!(!begins(&mut fixture, 1));
    fixture.view(1, view("engines-1", &[("a", 2)]));
    assert!(!begins(&mut fixture, 2));
    fixture.view(1, view("engines-1", &[("a", 3)]));
    assert!(begins(&mut fixture, 3));
}

/// Returns the version of the adapter that an entry knows.
fn knows(version: u64) -> [HeldAdapter; 1] {
    [HeldAdapter {
        adapter: adapter("a"),
        version,
    }]
}

fn orders_replacement(placement: &mut PlacementFixture) -> bool {
    let replacement = OrderKind::LoadAdapter(adapter("a"));
    placement
        .order()
        .is_some_and(|order| order.kind == replacement)
}

#[test]
fn a_version_published_during_a_load_is_ordered_next() {
    let mut placement = PlacementFixture::new();
    placement.demand(&[], &[]);
    placement.report(placement_fixture::holding(0, &["m"], &[("a", 1)]));
    placement.identify();
    placement.demand(&[], &knows(2));
    assert!(orders_replacement(&mut placement));
    // version 3 is published while version 2 is loading
    let mut loading = placement_fixture::holding(0, &["m"], &[("a", 1)]);
    loading.loading = vec![adapter("a")];
    placement.report(loading);
    placement.demand(&[], &knows(3));
    placement.now += ms(250);
    placement.report(placement_fixture::holding(0, &["m"], &[("a", 2)]));
    assert!(orders_replacement(&mut placement));
    placement.report(placement_fixture::holding(0, &["m"], &[("a", 3)]));
    assert!(!orders_replacement(&mut placement));
}
