//! Order among requests of accounts and routes that compete for slots.

mod dispatch_fixture;

use {
    chalkcart_coordination::dispatch::{
        Decision, DispatchRequest, RejectionCause, SendOutcome, Ticket,
    },
    dispatch_fixture::*,
};

const FIRST: u64 = 1;
const SECOND: u64 = 2;

fn request_of(fixture: &Fixture, service: &str, account: u64) -> DispatchRequest {
    DispatchRequest {
        account: Some(account),
        target_latency: ms(5_000),
        ..fixture.new_request(service, None)
    }
}

fn causes(decisions: &[(Ticket, Decision)]) -> Vec<RejectionCause> {
    let rejected = decisions.iter().filter_map(|(_, decision)| match decision {
        Decision::Reject { cause, .. } => Some(*cause),
        Decision::Send(_) => None,
    });
    rejected.collect()
}

/// Fills the slots of a back end, lets a request of each account wait, the first account's
/// before that of the second, and returns the ticket that is sent when a slot is free.
fn first_to_be_sent(fixture: &mut Fixture, service: &str) -> Ticket {
    let mut running = Vec::new();
    for ticket in 1_000..1_100 {
        let request = DispatchRequest {
            account: None,
            ..request_of(fixture, service, 0)
        };
        let decisions = fixture.submit(ticket, request);
        if sent_to(&decisions).is_empty() {
            break;
        }
        running.push(ticket);
    }
    for (ticket, account) in [(1, FIRST), (2, SECOND)] {
        fixture.now += ms(1);
        let request = request_of(fixture, service, account);
        let decisions = fixture.submit(ticket, request);
        assert_eq!(decisions, [], "no slot is free");
    }
    // the fillers that still wait have no account and are first in the queue
    for ticket in running {
        let decisions =
            fixture.handle(chalkcart_coordination::dispatch::DispatchEvent::SendEnded {
                ticket,
                outcome: SendOutcome::Answered,
            });
        for (sent, _) in decisions {
            if sent < 1_000 {
                return sent;
            }
        }
    }
    panic!("none was sent");
}

/// Guards against retries that are rejected for want of a budget but still count as served
/// in fair queueing: later requests of the account would wait behind all others.
#[test]
fn a_request_rejected_for_want_of_a_retry_budget_costs_its_account_nothing() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    let mut rejected = 0;
    for ticket in 100..200 {
        let request = DispatchRequest {
            send_count: 1,
            ..request_of(&fixture, PLAIN, FIRST)
        };
        let decisions = fixture.submit(ticket, request);
        match causes(&decisions).first() {
            Some(cause) => {
                assert_eq!(*cause, RejectionCause::RetryBudgetExhausted);
                rejected += 1;
            }
            None => fixture.end(ticket, SendOutcome::Answered),
        }
    }
    assert!(rejected > 10, "{rejected}");
    // the second account was served as often as the first
    for ticket in 200..300 - rejected {
        let request = request_of(&fixture, PLAIN, SECOND);
        fixture.submit(ticket, request);
        fixture.end(ticket, SendOutcome::Answered);
    }
    assert_eq!(first_to_be_sent(&mut fixture, PLAIN), 1);
}

/// The same for requests rejected because their adapter loads too slowly.
#[test]
fn a_request_rejected_for_a_slow_load_costs_its_account_nothing() {
    let mut fixture = fixture_with_views();
    let report = |fixture: &mut Fixture| {
        for number in 1..=3 {
            let mut slow = view(&format!("{ENGINES}-{number}"), &[]);
            slow.figures.next_load_ms = 9_000;
            fixture.view(number, slow);
        }
    };
    let mut rejected = 0;
    for ticket in 100..110 {
        report(&mut fixture);
        let request = DispatchRequest {
            account: Some(FIRST),
            ..fixture.new_request(ENGINES, Some(&format!("a{ticket}")))
        };
        fixture.submit(ticket, request);
        fixture.advance(ms(60));
        report(&mut fixture);
        let decisions = fixture.advance(ms(25));
        rejected += causes(&decisions)
            .iter()
            .filter(|cause| **cause == RejectionCause::LoadTooSlow)
            .count();
    }
    assert!(rejected >= 5, "{rejected}");
    assert_eq!(first_to_be_sent(&mut fixture, ENGINES), 1);
}
