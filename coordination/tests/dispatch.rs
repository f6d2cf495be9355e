//! Decisions of the dispatcher.

mod dispatch_fixture;

use {
    chalkcart_coordination::{
        backend_signals::BackendSignals,
        dispatch::{
            Decision, DispatchEvent, DispatchRequest, DispatchSettings, RejectionCause,
            SendOutcome, SharedRetryBudget, Ticket,
        },
    },
    chalkcart_protocol::peer::{EngineStats, EngineView},
    dispatch_fixture::*,
    std::time::Instant,
};

#[test]
fn a_request_is_sent_to_the_holder_of_its_adapter_with_the_held_version() {
    let mut fixture = fixture_with_views();
    fixture.view(2, view("engines-2", &[("a", 7)]));
    let request = fixture.new_request(ENGINES, Some("a"));
    let decided = fixture.submit(1, request);
    let Some((1, Decision::Send(assignment))) = decided.first() else {
        panic!("not sent: {decided:?}");
    };
    assert_eq!(assignment.backend, "engines-2");
    assert_eq!(assignment.version, Some(7));
}

#[test]
fn requests_wait_until_their_adapter_is_loaded_on_one_home() {
    let mut fixture = fixture_with_views();
    for ticket in 1..=3 {
        let request = fixture.new_request(ENGINES, Some("a"));
        assert!(fixture.submit(ticket, request).is_empty());
    }
    let homes = fixture.homes("a");
    assert_eq!(homes.len(), 1, "{homes:?}");
    let number: u8 = homes[0].trim_start_matches("engines-").parse().unwrap();
    let decided = fixture.view(number, view(&homes[0], &[("a", 1)]));
    assert_eq!(sent_to(&decided), vec![homes[0].clone(); 3]);
}

#[test]
fn a_request_that_waits_too_long_is_rejected_with_retry_after() {
    let mut fixture = fixture_with_views();
    let request = fixture.new_request(ENGINES, Some("a"));
    fixture.submit(1, request);
    let decided = fixture.advance(ms(1_600));
    let Some((
        1,
        Decision::Reject {
            cause, retry_after, ..
        },
    )) = decided.first()
    else {
        panic!("not rejected: {decided:?}");
    };
    assert_eq!(*cause, RejectionCause::NotLoaded);
    assert!(*retry_after >= ms(100));
    assert!(fixture.advance(ms(10)).is_empty(), "decided once only");
}

#[test]
fn a_withdrawn_request_is_not_sent() {
    let mut fixture = fixture_with_views();
    let request = fixture.new_request(ENGINES, Some("a"));
    fixture.submit(1, request);
    fixture.handle(DispatchEvent::RequestWithdrawn(1));
    let decided = fixture.view(1, view("engines-1", &[("a", 1)]));
    assert!(decided.is_empty());
}

#[test]
fn a_full_back_end_receives_the_next_request_when_a_slot_is_free() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    for ticket in 1..=4 {
        let request = fixture.new_request(PLAIN, None);
        assert_eq!(sent_to(&fixture.submit(ticket, request)).len(), 1);
    }
    let request = fixture.new_request(PLAIN, None);
    assert!(fixture.submit(5, request).is_empty(), "four slots");
    let ended = DispatchEvent::SendEnded {
        ticket: 2,
        outcome: SendOutcome::Answered,
    };
    assert_eq!(fixture.handle(ended).first().map(|(t, _)| *t), Some(5));
}

#[test]
fn the_more_urgent_of_two_waiting_requests_is_sent_first() {
    let mut fixture = fixture_with_views();
    let later = DispatchRequest {
        priority: 2,
        ..fixture.new_request(ENGINES, Some("a"))
    };
    fixture.submit(1, later);
    let urgent = DispatchRequest {
        priority: 0,
        ..fixture.new_request(ENGINES, Some("a"))
    };
    fixture.submit(2, urgent);
    let decided = fixture.view(1, view("engines-1", &[("a", 1)]));
    let order: Vec<Ticket> = decided.iter().map(|(ticket, _)| *ticket).collect();
    assert_eq!(order, [2, 1]);
}

#[test]
fn retries_of_all_entries_stay_within_the_budget() {
    let now = Instant::now();
    for entries in [1, 4, 32] {
        let mut sum = 0;
        for _ in 0..entries {
            let mut budget = SharedRetryBudget::new(DispatchSettings::default().budget, None);
            for _ in 0..100 {
                budget.on_request(now);
            }
            while budget.try_reserve(entries, now) {
                budget.on_retry_sent();
                budget.on_retry_settled(now, now);
                sum += 1;
            }
        }
        let allowed = 0.2 * 100.0 * f64::from(entries) + 50.0;
        assert!(
            f64::from(sum) <= allowed,
            "{sum} of {allowed}, {entries} entries"
        );
        assert!(
            f64::from(sum) > allowed / 2.0,
            "{sum} of {allowed}, {entries} entries"
        );
    }
}

/// Guards against retries that exceed the budget because they are counted only when they
/// are sent, after waiting for an adapter or a slot.
#[test]
fn waiting_retries_count_against_the_budget() {
    const RETRIES: u64 = 200;
    let mut engine = backend(ENGINES, 1);
    engine.slots = 2 * RETRIES as u32;
    let mut fixture = Fixture::new(vec![engine]);
    fixture.view(1, view("engines-1", &[]));
    for ticket in 0..RETRIES {
        let request = DispatchRequest {
            send_count: 1,
            was_rejected_before: true,
            ..fixture.new_request(ENGINES, Some("a"))
        };
        fixture.submit(ticket, request);
    }
    let decided = fixture.view(1, view("engines-1", &[("a", 1)]));
    let sent = sent_to(&decided).len();
    // the view reports that two entries share the budget
    let share = 50.0 / 2.0;
    assert!(
        sent as f64 <= share,
        "{sent} retries, {share} allowed for this entry"
    );
}

/// Guards against a fresh budget after every restart of an entry, and against too large
/// shares while restarted sidecars count too few entries.
#[test]
fn restarts_of_entries_and_sidecars_do_not_extend_the_budget() {
    const ENTRIES: u32 = 4;
    const RUNS: u64 = 5;
    let submit_retries = |fixture: &mut Fixture| {
        let mut sent = 0;
        for ticket in 0..100 {
            let request = DispatchRequest {
                send_count: 1,
                ..fixture.new_request(ENGINES, None)
            };
            let decided = fixture.submit(ticket, request);
            sent += sent_to(&decided).len();
            fixture.end(ticket, SendOutcome::Answered);
        }
        sent
    };
    let report_entries = |fixture: &mut Fixture, entries: u32| {
        let mut report = view("engines-1", &[]);
        report.figures.entries = entries;
        fixture.view(1, report);
    };
    let mut retries = 0;
    let started_at = Instant::now();
    for run in 0..RUNS {
        let mut fixture = Fixture::restarted(engines(), started_at + ms(2_000 * run));
        report_entries(&mut fixture, ENTRIES);
        retries += submit_retries(&mut fixture);
        fixture.advance(ms(1_000));
        retries += submit_retries(&mut fixture);
    }
    let share = 50.0 / f64::from(ENTRIES);
    assert!(
        retries as f64 <= share,
        "{retries} retries in {RUNS} runs, {share} allowed for the entry"
    );

    let mut fixture = Fixture::new(engines());
    report_entries(&mut fixture, ENTRIES);
    report_entries(&mut fixture, 1);
    let sent = submit_retries(&mut fixture);
    assert!(
        sent as f64 <= share,
        "{sent} retries after sidecars restarted, {share} allowed for the entry"
    );
}

#[test]
fn a_retry_beyond_the_budget_is_rejected_at_once() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    let mut rejected = 0;
    for ticket in 0..60 {
        let request = DispatchRequest {
            send_count: 1,
            ..fixture.new_request(PLAIN, None)
        };
        for (_, decision) in fixture.submit(ticket, request) {
            match decision {
                Decision::Send(_) => fixture.end(ticket, SendOutcome::Answered),
                Decision::Reject { cause, .. } => {
                    assert_eq!(cause, RejectionCause::RetryBudgetExhausted);
                    rejected += 1;
                }
            }
        }
    }
    assert!(rejected > 0);
}

#[test]
fn a_failing_back_end_receives_few_requests_until_it_recovers() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1), backend(PLAIN, 2)]);
    let mut to_failing = 0;
    for ticket in 0..40 {
        let request = fixture.new_request(PLAIN, None);
        let chosen = sent_to(&fixture.submit(ticket, request));
        let fails = chosen == ["plain-1"];
        to_failing += u32::from(fails);
        let outcome = match fails {
            true => SendOutcome::Failed,
            false => SendOutcome::Answered,
        };
        fixture.end(ticket, outcome);
    }
    assert!(to_failing <= 4, "{to_failing} of 40");
    fixture.advance(ms(30_000));
    let chosen: Vec<_> = (100..104)
        .flat_map(|ticket| {
            let request = fixture.new_request(PLAIN, None);
            sent_to(&fixture.submit(ticket, request))
        })
        .collect();
    assert!(chosen.contains(&"plain-1".to_string()), "{chosen:?}");
}

/// Engines whose loads take this long.
fn fixture_with_slow_loads(next_load_ms: u32) -> Fixture {
    let mut fixture = Fixture::new(engines());
    report_slow_loads(&mut fixture, next_load_ms);
    fixture
}

/// Sends a view from every sidecar.
fn report_slow_loads(fixture: &mut Fixture, next_load_ms: u32) {
    for number in 1..=3 {
        let mut slow = view(&format!("{ENGINES}-{number}"), &[]);
        slow.figures.next_load_ms = next_load_ms;
        fixture.view(number, slow);
    }
}

#[test]
fn a_request_whose_adapter_loads_too_slowly_is_rejected_early_and_the_adapter_stays_wanted() {
    let mut fixture = fixture_with_slow_loads(900);
    let request = fixture.new_request(ENGINES, Some("a"));
    fixture.submit(1, request);
    assert!(
        fixture.advance(ms(60)).is_empty(),
        "no sidecar has reported since the load was requested"
    );
    report_slow_loads(&mut fixture, 900);
    let decided = fixture.advance(ms(25));
    let Some((
        1,
        Decision::Reject {
            cause, retry_after, ..
        },
    )) = decided.first()
    else {
        panic!("not rejected: {decided:?}");
    };
    assert_eq!(*cause, RejectionCause::LoadTooSlow);
    assert!(*retry_after >= ms(900));
    fixture.advance(*retry_after);
    assert_eq!(fixture.homes("a").len(), 1, "wanted until it comes back");
    fixture.advance(ms(3_000));
    assert!(fixture.homes("a").is_empty(), "no longer wanted afterwards");
}

/// In each case the request waits for its adapter.
#[test]
fn a_request_is_not_rejected_early_when_waiting_is_better() {
    type Change = fn(&mut DispatchRequest);
    let cases: &[(&str, u32, Change)] = &[
        ("the load is fast", 100, |_| {}),
        ("it was rejected before", 900, |request| {
            request.was_rejected_before = true
        }),
        ("it was sent before", 900, |request| request.send_count = 1),
    ];
    for (name, next_load_ms, change) in cases {
        let mut fixture = fixture_with_slow_loads(*next_load_ms);
        let mut request = fixture.new_request(ENGINES, Some("a"));
        change(&mut request);
        fixture.submit(1, request);
        for _ in 0..5 {
            assert!(fixture.advance(ms(25)).is_empty(), "{name}");
            report_slow_loads(&mut fixture, *next_load_ms);
        }
    }
}

/// Guards against the rejection of a request that has already waited, when a load turns out
/// to be slow.
#[test]
fn the_load_time_of_an_adapter_is_checked_once_per_request() {
    let mut fixture = fixture_with_slow_loads(100);
    let request = fixture.new_request(ENGINES, Some("a"));
    fixture.submit(1, request);
    for next_load_ms in [100, 900, 900, 900] {
        assert!(fixture.advance(ms(25)).is_empty(), "{next_load_ms}");
        report_slow_loads(&mut fixture, next_load_ms);
    }
}

#[test]
fn a_request_without_an_adapter_is_sent_to_a_holder_of_its_base_model() {
    let mut fixture = Fixture::new(engines());
    for (number, model) in [(1, "other"), (2, "m"), (3, "other")] {
        let holds = EngineView {
            models: vec![model.to_string()],
            ..view(&format!("{ENGINES}-{number}"), &[])
        };
        fixture.view(number, holds);
    }
    let base = |fixture: &Fixture, model: &str| DispatchRequest {
        model: Some(model.to_string()),
        ..fixture.new_request(ENGINES, None)
    };
    let request = base(&fixture, "m");
    assert_eq!(sent_to(&fixture.submit(1, request)), ["engines-2"]);
    let request = base(&fixture, "nowhere");
    assert!(fixture.submit(2, request).is_empty());
    let request = fixture.new_request(ENGINES, Some("a"));
    fixture.submit(3, request);
    assert_eq!(
        fixture.homes("a"),
        ["engines-2"],
        "only holder of its base model"
    );
}

#[test]
fn a_later_request_for_an_adapter_does_not_overtake_an_earlier_one() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", 1)]));
    for ticket in 1..=4 {
        let request = fixture.new_request(ENGINES, Some("a"));
        assert_eq!(sent_to(&fixture.submit(ticket, request)).len(), 1);
    }
    let request = fixture.new_request(ENGINES, Some("a"));
    assert!(fixture.submit(5, request).is_empty(), "four slots");
    // frees a slot without the end of a request
    let mut list = engines();
    list[0].slots = 5;
    let stats_event = DispatchEvent::StatsReceived {
        backend: "engines-1".into(),
        stats: EngineStats::default(),
    };
    fixture.handle(stats_event);
    let request = fixture.new_request(ENGINES, Some("a"));
    assert!(fixture.submit(6, request).is_empty());
    fixture.update_list(list);
    let waiting = fixture.dispatcher.waiting_count();
    assert_eq!(waiting, 1, "the earlier of the two was sent");
    fixture.handle(DispatchEvent::RequestWithdrawn(6));
    assert_eq!(fixture.dispatcher.waiting_count(), 0);
}

/// Returns the decisions on a request that was sent to some of two back ends; both back off if
/// they gave a signal.
fn decisions_on_resent(
    tried: &[u8],
    is_repeat: bool,
    signal: Option<BackendSignals>,
) -> Vec<(Ticket, Decision)> {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1), backend(PLAIN, 2)]);
    for number in [1, 2] {
        let Some(signal) = signal else { continue };
        fixture.handle(DispatchEvent::SignalReceived {
            backend: backend(PLAIN, number).id,
            signal,
            sent_at: fixture.now,
        });
    }
    let request = DispatchRequest {
        send_count: 1,
        is_repeat,
        tried_backends: tried.iter().map(|n| backend(PLAIN, *n).id).collect(),
        ..fixture.new_request(PLAIN, None)
    };
    fixture.submit(1, request)
}

fn rejection_cause(decided: &[(Ticket, Decision)]) -> Option<RejectionCause> {
    decided.first().and_then(|(_, decision)| match decision {
        Decision::Reject { cause, .. } => Some(*cause),
        Decision::Send(_) => None,
    })
}

/// Guards against: a request that failed at each back end and whose caller waits for one that is
/// not listed, or for one of these to end its back-off.
#[test]
fn a_request_that_failed_everywhere_is_answered_at_once() {
    let backoff = BackendSignals::new(false, Some(ms(200)));
    for signal in [None, Some(backoff)] {
        let decided = decisions_on_resent(&[1, 2], true, signal);
        let cause = rejection_cause(&decided);
        assert_eq!(cause, Some(RejectionCause::NoBackend), "{signal:?}");
        // a request that has not run waits as before
        let decided = decisions_on_resent(&[1, 2], false, signal);
        assert!(decided.is_empty(), "{signal:?}: {decided:?}");
    }
    // or is told how long they back off
    let long = BackendSignals::new(false, Some(ms(5_000)));
    let decided = decisions_on_resent(&[1, 2], false, Some(long));
    let cause = rejection_cause(&decided);
    assert_eq!(cause, Some(RejectionCause::BackedOff), "{decided:?}");
    // one that is left gets it, or is waited for
    let decided = decisions_on_resent(&[1], true, None);
    assert_eq!(sent_to(&decided), ["plain-2"]);
    let decided = decisions_on_resent(&[1], true, Some(backoff));
    assert!(decided.is_empty(), "{decided:?}");
}
