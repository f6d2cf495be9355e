//! Requests whose route or client account names the regions in which they may be served.

mod dispatch_fixture;

use {
    chalkcart_coordination::dispatch::{Ask, Decision, DispatchEvent, RefusalCause, SendOutcome},
    chalkcart_state::{backends::Backend, regions::AllowedRegions},
    dispatch_fixture::*,
    quickcheck::{quickcheck, TestResult},
    std::collections::{BTreeSet, HashSet},
};

const REGIONS: [&str; 3] = ["north", "middle", "south"];

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::restricted_to(names.iter().map(ToString::to_string))
}

/// a back end in the zone of a region; zone and region have the same name here
fn in_region(service: &str, number: u8, region: &str) -> Backend {
    Backend {
        zone: region.to_string(),
        ..backend(service, number)
    }
}

fn fixture(list: Vec<Backend>) -> Fixture {
    let mut fixture = Fixture::new(Vec::new());
    fixture.tune(|settings| {
        settings.zone = REGIONS[0].to_string();
        settings.regions = REGIONS.map(|r| (r.to_string(), r.to_string())).into();
    });
    fixture.list(list);
    fixture
}

fn bound(fixture: &Fixture, service: &str, adapter: Option<&str>, regions: &[&str]) -> Ask {
    Ask {
        allowed_regions: only(regions),
        ..fixture.new_ask(service, adapter)
    }
}

fn of_each_region(service: &str) -> Vec<Backend> {
    let numbered = (1..).zip(REGIONS);
    numbered.map(|(n, r)| in_region(service, n, r)).collect()
}

/// Guards against: a request that is served where its route does not allow it, since nothing
/// compares regions.
#[test]
fn a_bound_request_goes_to_its_regions_alone() {
    let mut fixture = fixture(of_each_region(PLAIN));
    for ticket in 0..20 {
        let ask = bound(&fixture, PLAIN, None, &["south"]);
        assert_eq!(sent_to(&fixture.ask(ticket, ask)), ["plain-3"]);
        fixture.end(ticket, SendOutcome::Answered);
    }
}

/// Guards against: a way past the bound where the regions' own back ends are gone, fail or are
/// full.
#[test]
fn it_is_refused_at_once_where_they_have_none() {
    let mut fixture = fixture(of_each_region(PLAIN));
    let ask = bound(&fixture, PLAIN, None, &["south"]);
    fixture.ask(1, ask);
    fixture.end(1, SendOutcome::Unreachable);
    // one that rests is tried where no other may be
    let ask = bound(&fixture, PLAIN, None, &["south"]);
    assert_eq!(sent_to(&fixture.ask(2, ask)), ["plain-3"]);
    fixture.end(2, SendOutcome::Answered);
    fixture.list(of_each_region(PLAIN).into_iter().take(2).collect());
    for regions in [&["south"][..], &["nowhere"][..]] {
        let ask = bound(&fixture, PLAIN, None, regions);
        let decided = fixture.ask(3, ask);
        let cause = decided.iter().map(|(_, decision)| match decision {
            Decision::Refuse { cause, .. } => *cause,
            Decision::Send(to) => panic!("sent to {}", to.backend),
        });
        assert_eq!(cause.collect::<Vec<_>>(), [RefusalCause::OutsideRegions]);
    }
}

/// Guards against: a repeat, or what waits, that goes past the bound of the first send.
#[test]
fn repeats_and_what_waits_are_bound_as_well() {
    let mut fixture = fixture(of_each_region(PLAIN));
    let repeat = Ask {
        sends: 1,
        tried: vec!["plain-3".into()],
        ..bound(&fixture, PLAIN, None, &["south"])
    };
    assert!(sent_to(&fixture.ask(1, repeat)).is_empty());
    let mut full = of_each_region(PLAIN);
    full[2].slots = 0;
    fixture.list(full);
    let ask = bound(&fixture, PLAIN, None, &["south"]);
    assert!(fixture.ask(2, ask).is_empty());
    assert!(sent_to(&fixture.pass(ms(25))).is_empty());
}

/// Guards against: adapters that are brought where their requests may not be served.
#[test]
fn adapters_are_brought_to_their_regions() {
    let mut fixture = fixture(of_each_region(ENGINES));
    for number in 1..=3 {
        fixture.view(number, view(&format!("engines-{number}"), &[]));
    }
    let ask = bound(&fixture, ENGINES, Some("a"), &["middle"]);
    fixture.ask(1, ask);
    assert_eq!(fixture.homes("a"), ["engines-2"]);
}

/// Guards against: the wish of one region that ends that of another for the same adapter.
#[test]
fn two_regions_wish_for_the_same_adapter() {
    let mut fixture = fixture(of_each_region(ENGINES));
    for number in 1..=3 {
        fixture.view(number, view(&format!("engines-{number}"), &[]));
    }
    for (ticket, region) in [(1, "middle"), (2, "south"), (3, "middle")] {
        let ask = bound(&fixture, ENGINES, Some("a"), &[region]);
        fixture.ask(ticket, ask);
    }
    let homes: BTreeSet<String> = fixture.homes("a").into_iter().collect();
    assert!(
        homes.contains("engines-2") && homes.contains("engines-3"),
        "{homes:?}"
    );
}

/// Guards against: a holder elsewhere that keeps an adapter from being brought.
#[test]
fn a_holder_elsewhere_does_not_count() {
    let mut fixture = fixture(of_each_region(ENGINES));
    fixture.view(1, view("engines-1", &[("a", 1)]));
    for number in 2..=3 {
        fixture.view(number, view(&format!("engines-{number}"), &[]));
    }
    let ask = bound(&fixture, ENGINES, Some("a"), &["south"]);
    assert!(fixture.ask(1, ask).is_empty());
    assert_eq!(fixture.homes("a"), ["engines-3"]);
}

/// Guards against: a back end whose zone no region is known of.
#[test]
fn a_zone_of_no_known_region_serves_what_is_not_bound_alone() {
    let mut fixture = fixture(vec![in_region(PLAIN, 1, "new-zone")]);
    let ask = bound(&fixture, PLAIN, None, &["north"]);
    assert!(sent_to(&fixture.ask(1, ask)).is_empty());
    let ask = fixture.new_ask(PLAIN, None);
    assert_eq!(sent_to(&fixture.ask(2, ask)), ["plain-1"]);
}

#[test]
fn both_a_route_and_an_account_bind() {
    let any = AllowedRegions::default();
    let (north, both) = (only(&["north"]), only(&["north", "south"]));
    assert_eq!(any.intersection(&north), north);
    assert_eq!(both.intersection(&any), both);
    assert_eq!(both.intersection(&north), north);
    let none = north.intersection(&only(&["south"]));
    assert!(!none.is_unrestricted());
    assert!(!REGIONS.iter().any(|r| none.allows(Some(&r.to_string()))));
    // an empty list binds to nothing, as an absent one
    assert_eq!(only(&[]), any);
}

fn drawn(mask: u8) -> Vec<&'static str> {
    let bits = (0..3).filter(|bit| mask >> bit & 1 == 1);
    bits.map(|bit| REGIONS[bit]).collect()
}

quickcheck! {
    /// of any fleet, by any bounds of route and account: whatever is sent is sent where both
    /// allow it, and it is sent if any sound back end is there
    fn what_is_sent_is_sent_where_a_plain_model_allows_it(
        zones: Vec<u8>, route: u8, account: u8, leaving: Vec<bool>
    ) -> TestResult {
        let zones: Vec<&str> = zones.iter().take(12).map(|z| REGIONS[usize::from(z % 3)]).collect();
        let list: Vec<Backend> = (1..).zip(&zones).map(|(n, zone)| Backend {
            leaving: leaving.get(usize::from(n)).copied().unwrap_or(false),
            ..in_region(PLAIN, n, zone)
        }).collect();
        // the plain model: sets of names
        let set = |mask: u8| -> HashSet<&str> {
            let names = drawn(mask);
            if names.is_empty() { REGIONS.into() } else { names.into_iter().collect() }
        };
        let allowed: HashSet<&str> = set(route % 8).intersection(&set(account % 8)).copied().collect();
        let sound: HashSet<String> = list.iter()
            .filter(|b| !b.leaving && allowed.contains(b.zone.as_str()))
            .map(|b| b.id.to_string()).collect();
        let mut fixture = fixture(list);
        let ask = Ask {
            allowed_regions: only(&drawn(route % 8)).intersection(&only(&drawn(account % 8))),
            ..fixture.new_ask(PLAIN, None)
        };
        let sent = sent_to(&fixture.ask(1, ask));
        let is_right = match sent.first() {
            Some(to) => sound.contains(to),
            None => sound.is_empty(),
        };
        TestResult::from_bool(is_right)
    }
}

/// Guards against: zones that are emptied, which are tried where no other may be.
#[test]
fn an_emptied_zone_is_none_of_them() {
    let mut fixture = fixture(of_each_region(PLAIN));
    fixture.tell(DispatchEvent::Evacuated(HashSet::from([
        "south".to_string()
    ])));
    let ask = bound(&fixture, PLAIN, None, &["south"]);
    assert!(sent_to(&fixture.ask(1, ask)).is_empty());
}
