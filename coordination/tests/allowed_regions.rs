//! Requests whose route or client account restricts the regions that may serve them.

mod dispatch_fixture;

use {
    chalkcart_coordination::dispatch::{
        Decision, DispatchEvent, DispatchRequest, RejectionCause, SendOutcome,
    },
    chalkcart_state::{backends::Backend, regions::AllowedRegions},
    dispatch_fixture::*,
    quickcheck::{quickcheck, TestResult},
    std::collections::{BTreeSet, HashSet},
};

const REGIONS: [&str; 3] = ["north", "middle", "south"];

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::restricted_to(names.iter().map(ToString::to_string))
}

/// Returns a back end in a region's only zone, which has the name of the region.
fn in_region(service: &str, number: u8, region: &str) -> Backend {
    Backend {
        zone: region.to_string(),
        ..backend(service, number)
    }
}

fn fixture(list: Vec<Backend>) -> Fixture {
    let mut fixture = Fixture::new(Vec::new());
    fixture.update_settings(|settings| {
        settings.zone = REGIONS[0].to_string();
        settings.regions = REGIONS.map(|r| (r.to_string(), r.to_string())).into();
    });
    fixture.update_list(list);
    fixture
}

fn bound(
    fixture: &Fixture,
    service: &str,
    adapter: Option<&str>,
    regions: &[&str],
) -> DispatchRequest {
    DispatchRequest {
        allowed_regions: only(regions),
        ..fixture.new_request(service, adapter)
    }
}

fn backends_of_each_region(service: &str) -> Vec<Backend> {
    let numbered = (1..).zip(REGIONS);
    numbered.map(|(n, r)| in_region(service, n, r)).collect()
}

/// Guards against serving a request in a region that its route doesn't allow.
#[test]
fn a_restricted_request_is_sent_to_its_regions_only() {
    let mut fixture = fixture(backends_of_each_region(PLAIN));
    for ticket in 0..20 {
        let request = bound(&fixture, PLAIN, None, &["south"]);
        assert_eq!(sent_to(&fixture.submit(ticket, request)), ["plain-3"]);
        fixture.end(ticket, SendOutcome::Answered);
    }
}

/// Guards against ignoring the restriction when the back ends of the allowed regions are gone,
/// fail or are full.
#[test]
fn it_is_rejected_at_once_if_its_regions_have_no_back_end() {
    let mut fixture = fixture(backends_of_each_region(PLAIN));
    let request = bound(&fixture, PLAIN, None, &["south"]);
    fixture.submit(1, request);
    fixture.end(1, SendOutcome::Unreachable);
    // a back end in back-off is tried if no other is allowed
    let request = bound(&fixture, PLAIN, None, &["south"]);
    assert_eq!(sent_to(&fixture.submit(2, request)), ["plain-3"]);
    fixture.end(2, SendOutcome::Answered);
    fixture.update_list(backends_of_each_region(PLAIN).into_iter().take(2).collect());
    for regions in [&["south"][..], &["nowhere"][..]] {
        let request = bound(&fixture, PLAIN, None, regions);
        let decided = fixture.submit(3, request);
        let cause = decided.iter().map(|(_, decision)| match decision {
            Decision::Reject { cause, .. } => *cause,
            Decision::Send(to) => panic!("sent to {}", to.backend),
        });
        assert_eq!(cause.collect::<Vec<_>>(), [RejectionCause::OutsideRegions]);
    }
}

/// Guards against ignoring the restriction for retries and queued requests.
#[test]
fn retries_and_queued_requests_are_restricted() {
    let mut fixture = fixture(backends_of_each_region(PLAIN));
    let repeat = DispatchRequest {
        send_count: 1,
        tried_backends: vec!["plain-3".into()],
        ..bound(&fixture, PLAIN, None, &["south"])
    };
    assert!(sent_to(&fixture.submit(1, repeat)).is_empty());
    let mut full = backends_of_each_region(PLAIN);
    full[2].slots = 0;
    fixture.update_list(full);
    let request = bound(&fixture, PLAIN, None, &["south"]);
    assert!(fixture.submit(2, request).is_empty());
    assert!(sent_to(&fixture.advance(ms(25))).is_empty());
}

/// Guards against loading adapters in regions that may not serve their requests.
#[test]
fn adapters_are_loaded_in_the_allowed_regions() {
    let mut fixture = fixture(backends_of_each_region(ENGINES));
    for number in 1..=3 {
        fixture.view(number, view(&format!("engines-{number}"), &[]));
    }
    let request = bound(&fixture, ENGINES, Some("a"), &["middle"]);
    fixture.submit(1, request);
    assert_eq!(fixture.homes("a"), ["engines-2"]);
}

/// Guards against a load request of one region that replaces that of another.
#[test]
fn two_regions_request_the_same_adapter() {
    let mut fixture = fixture(backends_of_each_region(ENGINES));
    for number in 1..=3 {
        fixture.view(number, view(&format!("engines-{number}"), &[]));
    }
    for (ticket, region) in [(1, "middle"), (2, "south"), (3, "middle")] {
        let request = bound(&fixture, ENGINES, Some("a"), &[region]);
        fixture.submit(ticket, request);
    }
    let homes: BTreeSet<String> = fixture.homes("a").into_iter().collect();
    assert!(
        homes.contains("engines-2") && homes.contains("engines-3"),
        "{homes:?}"
    );
}

/// Guards against not loading an adapter because an engine in another region holds it.
#[test]
fn a_holder_in_another_region_does_not_count() {
    let mut fixture = fixture(backends_of_each_region(ENGINES));
    fixture.view(1, view("engines-1", &[("a", 1)]));
    for number in 2..=3 {
        fixture.view(number, view(&format!("engines-{number}"), &[]));
    }
    let request = bound(&fixture, ENGINES, Some("a"), &["south"]);
    assert!(fixture.submit(1, request).is_empty());
    assert_eq!(fixture.homes("a"), ["engines-3"]);
}

/// Guards against sending restricted requests to a zone whose region is unknown.
#[test]
fn a_zone_without_a_known_region_serves_unrestricted_requests_only() {
    let mut fixture = fixture(vec![in_region(PLAIN, 1, "new-zone")]);
    let request = bound(&fixture, PLAIN, None, &["north"]);
    assert!(sent_to(&fixture.submit(1, request)).is_empty());
    let request = fixture.new_request(PLAIN, None);
    assert_eq!(sent_to(&fixture.submit(2, request)), ["plain-1"]);
}

#[test]
fn restrictions_of_route_and_account_are_combined() {
    let any = AllowedRegions::default();
    let (north, both) = (only(&["north"]), only(&["north", "south"]));
    assert_eq!(any.intersection(&north), north);
    assert_eq!(both.intersection(&any), both);
    assert_eq!(both.intersection(&north), north);
    let none = north.intersection(&only(&["south"]));
    assert!(!none.is_unrestricted());
    assert!(!REGIONS.iter().any(|r| none.allows(Some(&r.to_string()))));
    // an empty list doesn't restrict
    assert_eq!(only(&[]), any);
}

fn regions_of_mask(mask: u8) -> Vec<&'static str> {
    let bits = (0..3).filter(|bit| mask >> bit & 1 == 1);
    bits.map(|bit| REGIONS[bit]).collect()
}

quickcheck! {
    /// A request is sent only to regions that both the route and the account allow, and it is
    /// sent if a healthy back end is there.
    fn requests_are_sent_where_the_reference_model_allows(
        zones: Vec<u8>, route: u8, account: u8, leaving: Vec<bool>
    ) -> TestResult {
        let zones: Vec<&str> = zones.iter().take(12).map(|z| REGIONS[usize::from(z % 3)]).collect();
        let list: Vec<Backend> = (1..).zip(&zones).map(|(n, zone)| Backend {
            leaving: leaving.get(usize::from(n)).copied().unwrap_or(false),
            ..in_region(PLAIN, n, zone)
        }).collect();
        // reference model: sets of region names
        let set = |mask: u8| -> HashSet<&str> {
            let names = regions_of_mask(mask);
            if names.is_empty() { REGIONS.into() } else { names.into_iter().collect() }
        };
        let allowed: HashSet<&str> = set(route % 8).intersection(&set(account % 8)).copied().collect();
        let sound: HashSet<String> = list.iter()
            .filter(|b| !b.leaving && allowed.contains(b.zone.as_str()))
            .map(|b| b.id.to_string()).collect();
        let mut fixture = fixture(list);
        let request = DispatchRequest {
            allowed_regions: only(&regions_of_mask(route % 8)).intersection(&only(&regions_of_mask(account % 8))),
            ..fixture.new_request(PLAIN, None)
        };
        let sent = sent_to(&fixture.submit(1, request));
        let is_right = match sent.first() {
            Some(to) => sound.contains(to),
            None => sound.is_empty(),
        };
        TestResult::from_bool(is_right)
    }
}

/// Guards against using an evacuated zone as the last resort.
#[test]
fn an_evacuated_zone_is_not_used() {
    let mut fixture = fixture(backends_of_each_region(PLAIN));
    fixture.handle(DispatchEvent::ZonesEvacuated(HashSet::from([
        "south".to_string()
    ])));
    let request = bound(&fixture, PLAIN, None, &["south"]);
    assert!(sent_to(&fixture.submit(1, request)).is_empty());
}
