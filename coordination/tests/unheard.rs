//! Engines without a reporting sidecar.
//!
//! Guards against requests that wait for an adapter which is never loaded, since no engine is
//! known to have a free slot.

mod dispatch_fixture;

use {
    chalkcart_coordination::dispatch::{
        Decision, DispatchEvent, LoadDelay, RejectionCause, SendOutcome, Ticket,
    },
    chalkcart_state::backends::{Backend, HeldAdapter},
    dispatch_fixture::*,
};

/// Creates engines with the base model, whose sidecars should have reported by now.
fn unheard(engines: u8) -> Fixture {
    let mut fixture = Fixture::new(listed(engines, &[]));
    fixture.advance(ms(2_000));
    fixture
}

fn listed(engines: u8, held: &[&str]) -> Vec<Backend> {
    let held: Vec<HeldAdapter> = held
        .iter()
        .map(|name| HeldAdapter {
            adapter: adapter(name),
            version: 1,
        })
        .collect();
    (1..=engines)
        .map(|n| Backend {
            models: vec!["m".to_string()],
            held: held.clone(),
            ..backend(ENGINES, n)
        })
        .collect()
}

fn refusals(decisions: &[(Ticket, Decision)]) -> Vec<RejectionCause> {
    let refused = decisions.iter().filter_map(|(_, d)| match d {
        Decision::Reject { cause, .. } => Some(*cause),
        Decision::Send(_) => None,
    });
    refused.collect()
}

/// Repeats a request after an engine responded that it lacks the adapter.
fn submit_again(fixture: &mut Fixture, ticket: Ticket, sends: u32) -> Vec<(Ticket, Decision)> {
    fixture.end(ticket, SendOutcome::Misdirected);
    let mut request = fixture.new_request(ENGINES, Some("a"));
    request.send_count = sends;
    fixture.submit(ticket, request)
}

/// The adapter is requested, and the engine is tried once the load should have completed.
#[test]
fn an_adapter_is_requested_and_expected() {
    let mut fixture = unheard(3);
    let request = fixture.new_request(ENGINES, Some("a"));
    assert!(fixture.submit(1, request).is_empty());
    let homes = fixture.homes("a");
    assert_eq!(homes.len(), 1);
    assert_eq!(sent_to(&fixture.advance(ms(400))), homes);
    // after a run there the next request is sent at once, also after the load request expires
    fixture.handle(DispatchEvent::ResponseStarted(1));
    fixture.end(1, SendOutcome::Answered);
    fixture.advance(ms(3_000));
    let request = fixture.new_request(ENGINES, Some("a"));
    assert_eq!(sent_to(&fixture.submit(2, request)), homes);
}

/// Guards against holding requests for an adapter that no sidecar loads.
#[test]
fn requests_for_an_adapter_that_is_not_loaded_are_rejected_at_once() {
    let mut fixture = unheard(1);
    let request = fixture.new_request(ENGINES, Some("a"));
    fixture.submit(1, request);
    assert_eq!(sent_to(&fixture.advance(ms(400))).len(), 1);
    assert_eq!(
        refusals(&submit_again(&mut fixture, 1, 1)),
        [RejectionCause::NoLoadingSidecar]
    );
    let request = fixture.new_request(ENGINES, Some("b"));
    assert_eq!(
        refusals(&fixture.submit(2, request)),
        [RejectionCause::NoLoadingSidecar]
    );
    // the load is requested again later
    fixture.advance(ms(6_000));
    let request = fixture.new_request(ENGINES, Some("b"));
    assert!(fixture.submit(3, request).is_empty());
    assert_eq!(fixture.homes("b").len(), 1);
}

/// The listed holders are used; one that lacks the adapter is not retried at once.
#[test]
fn listed_holders_are_used_and_corrected_by_responses() {
    let mut fixture = Fixture::new(listed(2, &["a"]));
    fixture.advance(ms(2_000));
    let request = fixture.new_request(ENGINES, Some("a"));
    let first = sent_to(&fixture.submit(1, request));
    assert_eq!(first.len(), 1);
    let second = sent_to(&submit_again(&mut fixture, 1, 1));
    assert_eq!(second.len(), 1);
    assert_ne!(first, second);
}

/// After a disconnect the last reported view is still assumed to be valid.
#[test]
fn adapters_held_before_a_disconnect_are_expected_to_remain() {
    let mut fixture = unheard(2);
    fixture.view(1, view("engines-1", &[("a", 1)]));
    fixture.view(2, view("engines-2", &[]));
    for engine in ["engines-1", "engines-2"] {
        fixture.handle(DispatchEvent::ViewLost(engine.into()));
    }
    let request = fixture.new_request(ENGINES, Some("a"));
    assert_eq!(sent_to(&fixture.submit(1, request)), ["engines-1"]);
}

/// Loads are requested from sidecars that report, if there are any.
#[test]
fn reporting_sidecars_are_preferred() {
    let mut fixture = unheard(3);
    fixture.view(2, view("engines-2", &[]));
    let request = fixture.new_request(ENGINES, Some("a"));
    fixture.submit(1, request);
    assert_eq!(fixture.homes("a"), ["engines-2"]);
}

/// Requests wait while the sidecars of restarted engines load the base model.
#[test]
fn requests_wait_for_a_loading_base_model() {
    let mut fixture = unheard(2);
    for number in [1, 2] {
        let mut bare = view(&format!("engines-{number}"), &[]);
        bare.models.clear();
        fixture.view(number, bare);
    }
    let request = fixture.new_request(ENGINES, Some("a"));
    assert!(fixture.submit(1, request).is_empty());
    let decided = fixture.view(1, view("engines-1", &[("a", 1)]));
    assert_eq!(sent_to(&decided), ["engines-1"]);
}

/// Guards against sending all waiting requests to an engine that is still loading the adapter,
/// which uses up the retry budget. The others are sent once the first could have failed.
#[test]
fn one_request_probes_whether_an_adapter_is_loaded() {
    let mut fixture = unheard(1);
    for ticket in 1..=3 {
        let request = fixture.new_request(ENGINES, Some("a"));
        assert!(fixture.submit(ticket, request).is_empty());
    }
    assert_eq!(sent_to(&fixture.advance(ms(400))).len(), 1);
    assert!(fixture.advance(ms(10)).is_empty());
    assert_eq!(sent_to(&fixture.advance(ms(40))).len(), 2);
}

/// Without a count of the entries each one would request as many copies as all need together.
#[test]
fn one_home_is_used_while_the_number_of_entries_is_unknown() {
    let mut fixture = unheard(6);
    for ticket in 1..=6 {
        let mut request = fixture.new_request(ENGINES, Some("a"));
        // prefill takes 0.6 s for these six, and 2.4 s for the requests of eight entries
        request.prompt_tokens = 1_500;
        fixture.submit(ticket, request);
    }
    fixture.advance(ms(10));
    assert_eq!(fixture.homes("a").len(), 1);
}

/// The delay grows after requests that were sent too early, and shrinks after others.
#[test]
fn the_load_delay_adapts_to_early_requests() {
    let mut time = LoadDelay::default();
    let at_first = time.get();
    time.on_adapter_missing();
    time.on_adapter_missing();
    assert!(time.get() >= at_first + ms(200));
    for _ in 0..50 {
        time.on_adapter_missing();
    }
    // bounded by the time for which a load request is repeated
    assert!(time.get() < ms(1_500));
    for _ in 0..500 {
        time.on_adapter_present();
    }
    assert_eq!(time.get(), at_first);
}

#[test]
fn an_entry_adapts_its_load_delay() {
    let mut fixture = unheard(3);
    for (ticket, name) in (1..).zip(["a", "b", "c", "d"]) {
        let request = fixture.new_request(ENGINES, Some(name));
        fixture.submit(ticket, request);
        fixture.advance(ms(1_000));
        fixture.end(ticket, SendOutcome::Misdirected);
        fixture.advance(ms(6_000));
    }
    let request = fixture.new_request(ENGINES, Some("e"));
    fixture.submit(9, request);
    assert!(fixture.advance(ms(400)).is_empty());
    assert_eq!(sent_to(&fixture.advance(ms(500))).len(), 1);
}

/// A sidecar that has recently loaded an adapter is slow, not unresponsive.
#[test]
fn a_sidecar_that_is_late_once_still_receives_load_requests() {
    let mut fixture = unheard(1);
    let request = fixture.new_request(ENGINES, Some("a"));
    fixture.submit(1, request);
    fixture.advance(ms(400));
    fixture.handle(DispatchEvent::ResponseStarted(1));
    let request = fixture.new_request(ENGINES, Some("b"));
    fixture.submit(2, request);
    assert_eq!(sent_to(&fixture.advance(ms(400))).len(), 1);
    fixture.end(2, SendOutcome::Misdirected);
    let request = fixture.new_request(ENGINES, Some("c"));
    assert!(fixture.submit(3, request).is_empty());
    assert_eq!(fixture.homes("c").len(), 1);
}

/// Guards against holding requests until their deadline while no sidecar can be reached.
#[test]
fn requests_are_rejected_at_once_while_no_sidecar_accepts_demand() {
    let mut fixture = unheard(2);
    for number in [1, 2] {
        let addr = addr(number);
        let is_taken = false;
        fixture.handle(DispatchEvent::DemandSent {
            addr,
            is_accepted: is_taken,
        });
    }
    let request = fixture.new_request(ENGINES, Some("a"));
    assert_eq!(
        refusals(&fixture.submit(1, request)),
        [RejectionCause::NoLoadingSidecar]
    );
    // the next demand is accepted
    fixture.handle(DispatchEvent::DemandSent {
        addr: addr(2),
        is_accepted: true,
    });
    let request = fixture.new_request(ENGINES, Some("a"));
    assert!(fixture.submit(2, request).is_empty());
    assert_eq!(fixture.homes("a"), ["engines-2"]);
}
