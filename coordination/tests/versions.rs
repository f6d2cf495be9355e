//! new versions of an adapter, several of them on their way at once

mod dispatch_fixture;

use {
    chalkcart_coordination::{
        dispatch::{DispatchEvent, SendOutcome},
        placement::{
            EngineReport, OrderKind, PlacementControl, PlacementEvent, PlacementSettings,
            PlacementStep,
        },
    },
    chalkcart_protocol::peer::{AdapterDemand, EngineRoom, ModelSize},
    chalkcart_state::backends::HeldAdapter,
    dispatch_fixture::*,
    std::time::{Duration, Instant},
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

/// what a sidecar orders at its engine
struct Keeper {
    control: PlacementControl,
    now: Instant,
}

impl Keeper {
    fn new() -> Self {
        let now = Instant::now();
        let control = PlacementControl::new(PlacementSettings::default(), 1);
        let mut keeper = Self { control, now };
        keeper.demand(0);
        keeper.control.handle(
            PlacementEvent::Report(EngineReport {
                models: vec!["m".to_string()],
                ..EngineReport::default()
            }),
            now,
        );
        let named = PlacementEvent::Identified(Some("engines-1".to_string()));
        keeper.control.handle(named, now);
        keeper
    }
    /// an entry says which version it knows
    fn demand(&mut self, version: u64) {
        let outdated = HeldAdapter {
            adapter: adapter("a"),
            version,
        };
        let demand = AdapterDemand {
            entry: "e".to_string(),
            entries: 1,
            backend: "engines-1".into(),
            list_version: 1,
            fence_seen: 0,
            health_path: "/health".to_string(),
            room: EngineRoom {
                adapter_slots: 4,
                weights_mb: 1_000.0,
                models: vec![ModelSize {
                    model: "m".to_string(),
                    weights_mb: 500.0,
                    adapter_mb: 10.0,
                    reload_ms: 500,
                }],
            },
            wanted: Vec::new(),
            used: Vec::new(),
            outdated: (version > 0).then_some(outdated).into_iter().collect(),
        };
        self.control
            .handle(PlacementEvent::Demand(demand), self.now);
    }
    fn report(&mut self, held: u64, is_loading: bool) {
        let report = EngineReport {
            models: vec!["m".to_string()],
            held: vec![HeldAdapter {
                adapter: adapter("a"),
                version: held,
            }],
            loading: is_loading.then(|| adapter("a")).into_iter().collect(),
            ..EngineReport::default()
        };
        self.control
            .handle(PlacementEvent::Report(report), self.now);
    }
    fn orders_replacement(&mut self) -> bool {
        let replacement = OrderKind::LoadAdapter(adapter("a"));
        match self.control.next_step(self.now) {
            PlacementStep::Order(order) => order.kind == replacement,
            _ => false,
        }
    }
}

#[test]
fn a_version_named_while_the_one_before_is_loaded_is_ordered_next() {
    let mut keeper = Keeper::new();
    keeper.report(1, false);
    keeper.demand(2);
    assert!(keeper.orders_replacement());
    // version 2 is on its way; 3 is named meanwhile
    keeper.report(1, true);
    keeper.demand(3);
    keeper.now += ms(250);
    keeper.report(2, false);
    assert!(keeper.orders_replacement());
    keeper.report(3, false);
    assert!(!keeper.orders_replacement());
}
