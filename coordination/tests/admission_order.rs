//! Order among requests of accounts and routes that compete for slots.

mod dispatch_fixture;

use {
    chalkcart_coordination::{
        dispatch::{
            urgency, Decision, DispatchEvent, DispatchRequest, RejectionCause, SendOutcome, Ticket,
        },
        features::FeatureSwitches,
    },
    chalkcart_state::{
        ingress::{Route, RouteKind, WeightedService},
        regions::AllowedRegions,
    },
    dispatch_fixture::*,
    std::{collections::BTreeSet, sync::Arc, time::Duration},
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
        let decisions = fixture.handle(DispatchEvent::SendEnded {
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

/// Configures a route of each priority to the service of the engines.
fn add_routes(fixture: &mut Fixture, priorities: &[u8]) {
    let mut table = table();
    for priority in priorities {
        let route = Route {
            name: format!("route-{priority}"),
            path_prefix: format!("/{priority}/"),
            kind: RouteKind::Stream { resumable: true },
            timeout: ms(5_000),
            target_latency: ms(1_000),
            priority: *priority,
            max_attempts: 3,
            is_public: false,
            services: vec![WeightedService {
                service: ENGINES.to_string(),
                weight: 1.0,
            }],
            allowed_regions: AllowedRegions::default(),
            target_gap: None,
        };
        table.add_route("host", route);
    }
    fixture.handle(DispatchEvent::ConfigUpdated(Arc::new(table)));
}

/// Engines that hold an adapter.
fn fixture_with_holders() -> Fixture {
    let mut fixture = fixture_with_views();
    for number in 1..=3 {
        fixture.view(number, view(&format!("{ENGINES}-{number}"), &[("a", 1)]));
    }
    fixture
}

/// Sends a request, ends it, and returns its urgency.
fn sent_urgency(fixture: &mut Fixture, request: DispatchRequest) -> u8 {
    let decisions = fixture.submit(1, request);
    let Some((1, Decision::Send(assignment))) = decisions.first() else {
        panic!("not sent: {decisions:?}");
    };
    let urgency = assignment.urgency;
    fixture.end(1, SendOutcome::Answered);
    urgency
}

fn prompt(fixture: &Fixture, priority: u8, prompt_tokens: u32) -> DispatchRequest {
    DispatchRequest {
        prompt_tokens,
        priority,
        target_latency: ms(1_000),
        ..fixture.new_request(ENGINES, Some("a"))
    }
}

/// Guards against a less urgent route whose prompts are shorter going before a more urgent one.
#[test]
fn typical_prompts_of_a_more_urgent_route_go_first() {
    let mut fixture = fixture_with_holders();
    add_routes(&mut fixture, &[0, 1, 2]);
    let typical = [(0, 2_400), (1, 2_400), (2, 700)];
    for _ in 0..50 {
        for (priority, tokens) in typical {
            let request = prompt(&fixture, priority, tokens);
            sent_urgency(&mut fixture, request);
        }
    }
    let urgencies = typical.map(|(priority, tokens)| {
        let request = prompt(&fixture, priority, tokens);
        sent_urgency(&mut fixture, request)
    });
    assert!(
        urgencies.is_sorted() && urgencies[0] < urgencies[2],
        "{urgencies:?}"
    );
    let sizes = [600, 1_500, 2_400, 3_000, 4_000].map(|tokens| {
        let request = prompt(&fixture, 0, tokens);
        sent_urgency(&mut fixture, request)
    });
    assert!(sizes.is_sorted() && sizes[0] < sizes[4], "{sizes:?}");
    let late = prompt(&fixture, 0, 2_400);
    fixture.now += ms(990);
    assert_eq!(sent_urgency(&mut fixture, late), 9, "misses its objective");
}

/// Guards against a change for services whose routes all have one priority, and with the
/// switch off.
#[test]
fn without_different_priorities_urgency_is_by_size() {
    for (priorities, urgency_by_route) in [(&[1u8, 1][..], true), (&[], true), (&[0, 1], false)] {
        let mut fixture = fixture_with_holders();
        add_routes(&mut fixture, priorities);
        fixture.update_settings(|settings| {
            settings.features = FeatureSwitches {
                urgency_by_route,
                ..FeatureSwitches::default()
            };
        });
        for tokens in [50, 400, 2_000, 4_000, 9_000] {
            let request = DispatchRequest {
                is_beyond_share: urgency_by_route,
                ..prompt(&fixture, 1, tokens)
            };
            let expected = urgency(&request, 16.0, fixture.now);
            let sent = sent_urgency(&mut fixture, request);
            assert_eq!(sent, expected, "{tokens} tokens, {priorities:?}");
        }
    }
}

/// Guards against the excess of one account in engines' queues before requests of others.
#[test]
fn a_request_beyond_its_accounts_share_yields_to_all_that_are_in_time() {
    let mut fixture = fixture_with_holders();
    add_routes(&mut fixture, &[0, 2]);
    let excess = DispatchRequest {
        is_beyond_share: true,
        ..prompt(&fixture, 0, 100)
    };
    let beyond = sent_urgency(&mut fixture, excess);
    let large = prompt(&fixture, 2, 6_000);
    assert!(beyond > sent_urgency(&mut fixture, large));
    let late = prompt(&fixture, 0, 100);
    fixture.now += ms(990);
    assert!(beyond < sent_urgency(&mut fixture, late));
}

/// Lets a request beyond its account's share, one of a less urgent route, and one within its
/// account's share wait in this order, and returns the order in which they are sent.
fn order_of_waiting(priorities: &[u8]) -> Vec<Ticket> {
    let mut fixture = fixture_with_holders();
    add_routes(&mut fixture, priorities);
    let mut running = Vec::new();
    for ticket in 100..200 {
        let request = prompt(&fixture, 0, 100);
        if sent_to(&fixture.submit(ticket, request)).is_empty() {
            break;
        }
        running.push(ticket);
    }
    fixture.handle(DispatchEvent::RequestWithdrawn(100 + running.len() as u64));
    for (ticket, is_beyond_share, priority) in [(1, true, 0), (2, false, 2), (3, false, 0)] {
        fixture.now += ms(1);
        let request = DispatchRequest {
            is_beyond_share,
            ..prompt(&fixture, priority, 100)
        };
        assert_eq!(fixture.submit(ticket, request), []);
    }
    let mut order = Vec::new();
    for ticket in running {
        let outcome = SendOutcome::Answered;
        let decisions = fixture.handle(DispatchEvent::SendEnded { ticket, outcome });
        order.extend(decisions.iter().map(|(sent, _)| *sent));
    }
    order
}

/// Guards against the excess of one account taking the next free slot.
#[test]
fn a_request_beyond_its_accounts_share_waits_behind_its_kind() {
    assert_eq!(order_of_waiting(&[0, 2]), [3, 1, 2]);
}

/// Guards against a change for deployments whose routes all have one priority.
#[test]
fn without_different_priorities_waiting_requests_keep_their_order() {
    assert_eq!(order_of_waiting(&[1]), [1, 3, 2]);
}

/// Guards against adapter slots filled for the excess of one account.
#[test]
fn a_request_beyond_its_accounts_share_gets_no_copies() {
    let copies = |is_beyond_share| {
        let mut fixture = fixture_with_views();
        fixture.view(1, view("engines-1", &[("a", 1)]));
        add_routes(&mut fixture, &[0, 2]);
        for ticket in 1..=4 {
            let request = DispatchRequest {
                is_beyond_share,
                ..prompt(&fixture, 0, 3_000)
            };
            fixture.submit(ticket, request);
        }
        fixture.homes("a").len()
    };
    assert_eq!((copies(false), copies(true)), (1, 0));
}

/// Guards against clients that were rejected together and return together: they find the
/// slots taken by each other.
#[test]
fn retry_times_for_want_of_room_are_spread() {
    let retry_times = |spread_retries| {
        let mut fixture = fixture_with_holders();
        add_routes(&mut fixture, &[0, 2]);
        fixture.update_settings(|settings| {
            settings.features = FeatureSwitches {
                spread_retries,
                ..FeatureSwitches::default()
            };
        });
        for ticket in 0..60 {
            let request = prompt(&fixture, 0, 100);
            fixture.submit(ticket, request);
        }
        let decisions = fixture.advance(ms(2_000));
        let rejected = decisions.iter().filter_map(|(_, decision)| match decision {
            Decision::Reject {
                cause, retry_after, ..
            } => Some((*cause, *retry_after)),
            Decision::Send(_) => None,
        });
        let rejected: Vec<(RejectionCause, Duration)> = rejected.collect();
        assert!(rejected.len() >= 40, "{}", rejected.len());
        assert!(rejected
            .iter()
            .all(|(cause, _)| *cause == RejectionCause::Full));
        let times: BTreeSet<Duration> = rejected.iter().map(|(_, time)| *time).collect();
        times
    };
    assert_eq!(retry_times(false).len(), 1, "one time");
    let times = retry_times(true);
    assert!(times.len() >= 40, "{times:?}");
    assert!(
        times.first() >= Some(&ms(500)) && times.last() <= Some(&ms(1_000)),
        "{times:?}"
    );
    let quarters: BTreeSet<u128> = times.iter().map(|time| time.as_millis() / 125).collect();
    assert!(quarters.len() >= 4, "{times:?}");
}
