//! Guards against a back end that is missing in the list, though it runs, taken for one that crashed
//! under the requests that lost their connection to it.

mod dispatch_fixture;

use {
    chalkcart_coordination::{
        crashes::EngineCrash,
        dispatch::{Decision, DispatchEvent, DispatchRequest, SendOutcome, Ticket},
    },
    chalkcart_state::backends::Backend,
    dispatch_fixture::*,
    quickcheck::{Arbitrary, Gen},
};

const SEED: u64 = 93;
const CASES: usize = 200;
const BACKENDS: u8 = 4;

fn plain() -> Vec<Backend> {
    (1..=BACKENDS).map(|n| backend(PLAIN, n)).collect()
}

/// A request that all clients send alike.
fn popular(fixture: &Fixture) -> DispatchRequest {
    fixture.new_request(PLAIN, None)
}

/// Sends a popular request to each back end; returns their names.
fn send_to_each(fixture: &mut Fixture) -> Vec<(Ticket, String)> {
    let mut sent = Vec::new();
    for ticket in 0..u64::from(BACKENDS) {
        let mut request = popular(fixture);
        request.tried_backends = sent
            .iter()
            .map(|(_, name): &(Ticket, String)| name.as_str().into())
            .collect();
        let to = sent_to(&fixture.submit(ticket, request));
        sent.extend(to.into_iter().map(|name| (ticket, name)));
    }
    assert_eq!(sent.len(), usize::from(BACKENDS));
    sent
}

fn set_store_available(fixture: &mut Fixture, is_available: bool) {
    fixture.handle(DispatchEvent::ListSourceChanged { is_available });
}

fn crashes(fixture: &mut Fixture) -> Vec<EngineCrash> {
    fixture.dispatcher.take_crashes()
}

/// Guards against a request that is blocked for good after an outage of the store (review/8).
#[test]
fn a_back_end_whose_record_lapsed_while_the_store_was_away_has_not_crashed() {
    let mut fixture = Fixture::new(plain());
    let sent = send_to_each(&mut fixture);
    set_store_available(&mut fixture, false);
    for (ticket, _) in sent {
        fixture.end(ticket, SendOutcome::Broken);
    }
    fixture.advance(ms(1_000));
    set_store_available(&mut fixture, true);
    fixture.update_list(Vec::new());
    assert_eq!(crashes(&mut fixture), []);
    fixture.advance(ms(1_300));
    fixture.update_list(plain());
    assert_eq!(crashes(&mut fixture), []);
}

/// Guards against a back end that is cut off from the store, and serves, taken for a crashed one.
#[test]
fn a_back_end_that_responded_after_an_interrupted_run_has_not_crashed() {
    for outcome in [
        SendOutcome::Answered,
        SendOutcome::Shed,
        SendOutcome::Closed,
    ] {
        let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
        let lost = popular(&fixture);
        fixture.submit(1, lost);
        fixture.end(1, SendOutcome::Broken);
        fixture.advance(ms(100));
        let later = popular(&fixture);
        fixture.submit(2, later);
        fixture.advance(ms(100));
        fixture.end(2, outcome);
        fixture.update_list(Vec::new());
        let runs: usize = crashes(&mut fixture).iter().map(|c| c.runs.len()).sum();
        // the end of the connection may be that of the back end
        let expected = usize::from(outcome == SendOutcome::Closed);
        assert_eq!(runs, expected, "{outcome:?}");
    }
}

/// Guards against an evidence of life that hides the crash: the response was sent before it.
#[test]
fn a_response_to_an_earlier_request_shows_nothing() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    let earlier = popular(&fixture);
    fixture.submit(1, earlier);
    let lost = popular(&fixture);
    fixture.submit(2, lost);
    fixture.advance(ms(100));
    fixture.end(2, SendOutcome::Broken);
    fixture.end(1, SendOutcome::Answered);
    fixture.update_list(Vec::new());
    assert_eq!(crashes(&mut fixture).len(), 1);
}

/// One case of the generator: outages of the store in which records lapse, and answers that are
/// lost, at any moments, while all back ends run and respond.
fn play(g: &mut Gen) -> Vec<EngineCrash> {
    let mut fixture = Fixture::new(plain());
    let (mut ticket, mut is_away, mut lapsed) = (0, false, vec![false; usize::from(BACKENDS)]);
    let mut found = Vec::new();
    for _ in 0..40 {
        match u8::arbitrary(g) % 8 {
            0 => {
                is_away = true;
                set_store_available(&mut fixture, false);
            }
            1 if is_away => {
                is_away = false;
                lapsed.iter_mut().for_each(|l| *l = bool::arbitrary(g));
                set_store_available(&mut fixture, true);
                list_all_but(&mut fixture, &lapsed);
            }
            2 if !is_away && lapsed.contains(&true) => {
                fixture.advance(ms(u64::from(u8::arbitrary(g)) * 5));
                lapsed.fill(false);
                list_all_but(&mut fixture, &lapsed);
            }
            _ => {
                for _ in 0..3 {
                    ticket += 1;
                    let request = popular(&fixture);
                    let decisions = fixture.submit(ticket, request);
                    let is_lost = u8::arbitrary(g) % 3 == 0;
                    for (ticket, decision) in decisions {
                        if matches!(decision, Decision::Send(_)) {
                            let outcome = match is_lost {
                                true => SendOutcome::Broken,
                                false => SendOutcome::Answered,
                            };
                            fixture.end(ticket, outcome);
                        }
                    }
                }
            }
        }
        fixture.advance(ms(u64::from(u8::arbitrary(g))));
        found.extend(crashes(&mut fixture));
    }
    found
}

fn list_all_but(fixture: &mut Fixture, lapsed: &[bool]) {
    let list = plain().into_iter().zip(lapsed);
    let list = list.filter(|(_, is_lapsed)| !**is_lapsed).map(|(b, _)| b);
    fixture.update_list(list.collect());
}

/// Guards against any order of outages, lapses and lost answers that blames a request.
#[test]
fn no_order_of_outages_and_lost_answers_is_a_crash() {
    let mut g = Gen::from_size_and_seed(20, SEED);
    for case in 0..CASES {
        assert_eq!(play(&mut g), [], "case {case}");
    }
}
