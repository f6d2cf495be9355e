//! the dispatcher's decisions, from events and times alone

mod dispatch_fixture;

use {
    chalkcart_coordination::dispatch::{
        Ask, Decision, DispatchEvent, DispatchSettings, RefusalCause, SendOutcome, SharedBudget,
        Ticket,
    },
    chalkcart_protocol::peer::{EngineStats, EngineView},
    dispatch_fixture::*,
    std::time::Instant,
};

#[test]
fn a_request_goes_to_the_engine_that_holds_its_adapter_in_its_version() {
    let mut fixture = fixture_with_views();
    fixture.view(2, view("engines-2", &[("a", 7)]));
    let ask = fixture.new_ask(ENGINES, Some("a"));
    let decided = fixture.ask(1, ask);
    let Some((1, Decision::Send(assignment))) = decided.first() else {
        panic!("not sent: {decided:?}");
    };
    assert_eq!(assignment.backend, "engines-2");
    assert_eq!(assignment.version, Some(7));
}

#[test]
fn a_request_waits_for_its_adapter_at_one_home_and_is_sent_when_it_is_there() {
    let mut fixture = fixture_with_views();
    for ticket in 1..=3 {
        let ask = fixture.new_ask(ENGINES, Some("a"));
        assert!(fixture.ask(ticket, ask).is_empty());
    }
    let homes = fixture.homes("a");
    assert_eq!(homes.len(), 1, "{homes:?}");
    let number: u8 = homes[0].trim_start_matches("engines-").parse().unwrap();
    let decided = fixture.view(number, view(&homes[0], &[("a", 1)]));
    assert_eq!(sent_to(&decided), vec![homes[0].clone(); 3]);
}

#[test]
fn a_wait_ends_in_a_refusal_that_says_when_to_come_back() {
    let mut fixture = fixture_with_views();
    let ask = fixture.new_ask(ENGINES, Some("a"));
    fixture.ask(1, ask);
    let decided = fixture.pass(ms(1_600));
    let Some((
        1,
        Decision::Refuse {
            cause, retry_after, ..
        },
    )) = decided.first()
    else {
        panic!("not refused: {decided:?}");
    };
    assert_eq!(*cause, RefusalCause::NotLoaded);
    assert!(*retry_after >= ms(100));
    assert!(fixture.pass(ms(10)).is_empty(), "one answer only");
}

#[test]
fn a_client_that_left_while_waiting_gets_no_back_end() {
    let mut fixture = fixture_with_views();
    let ask = fixture.new_ask(ENGINES, Some("a"));
    fixture.ask(1, ask);
    fixture.tell(DispatchEvent::Withdrawn(1));
    let decided = fixture.view(1, view("engines-1", &[("a", 1)]));
    assert!(decided.is_empty());
}

#[test]
fn full_engines_get_no_more_and_the_next_goes_when_a_place_is_free() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    for ticket in 1..=4 {
        let ask = fixture.new_ask(PLAIN, None);
        assert_eq!(sent_to(&fixture.ask(ticket, ask)).len(), 1);
    }
    let ask = fixture.new_ask(PLAIN, None);
    assert!(fixture.ask(5, ask).is_empty(), "four places");
    let ended = DispatchEvent::Ended {
        ticket: 2,
        outcome: SendOutcome::Answered,
    };
    assert_eq!(fixture.tell(ended).first().map(|(t, _)| *t), Some(5));
}

#[test]
fn the_more_urgent_of_two_that_wait_goes_first() {
    let mut fixture = fixture_with_views();
    let later = Ask {
        priority: 2,
        ..fixture.new_ask(ENGINES, Some("a"))
    };
    fixture.ask(1, later);
    let urgent = Ask {
        priority: 0,
        ..fixture.new_ask(ENGINES, Some("a"))
    };
    fixture.ask(2, urgent);
    let decided = fixture.view(1, view("engines-1", &[("a", 1)]));
    let order: Vec<Ticket> = decided.iter().map(|(ticket, _)| *ticket).collect();
    assert_eq!(order, [2, 1]);
}

#[test]
fn repeats_of_all_entries_stay_within_the_budget() {
    let now = Instant::now();
    for entries in [1, 4, 32] {
        let mut sum = 0;
        for _ in 0..entries {
            let mut budget = SharedBudget::new(DispatchSettings::default().budget, None);
            for _ in 0..100 {
                budget.on_request(now);
            }
            while budget.take(entries, now) {
                budget.on_repeat(now);
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

/// A service got more repeats than are allowed, on days on which engines shed what they
/// got and processes were killed one after the other. Each entry asked its budget when a
/// repeat was wished and counted it when it was sent: all that waited in between, for an
/// adapter or a place, had passed the same test.
#[test]
fn repeats_that_wait_are_in_the_budget() {
    const REPEATS: u64 = 200;
    let mut engine = backend(ENGINES, 1);
    engine.slots = 2 * REPEATS as u32;
    let mut fixture = Fixture::new(vec![engine]);
    fixture.view(1, view("engines-1", &[]));
    for ticket in 0..REPEATS {
        let ask = Ask {
            sends: 1,
            has_returned: true,
            ..fixture.new_ask(ENGINES, Some("a"))
        };
        fixture.ask(ticket, ask);
    }
    let decided = fixture.view(1, view("engines-1", &[("a", 1)]));
    let sent = sent_to(&decided).len();
    // the view says that two entries share the budget
    let share = 50.0 / 2.0;
    assert!(
        sent as f64 <= share,
        "{sent} repeats, {share} are this entry's"
    );
}

/// As above: what the traces showed besides. A process that was killed began with its
/// whole budget again, and where all sidecars had just begun, each counted the few entries
/// that it had heard, so that every entry held more than its part.
#[test]
fn lives_of_entries_and_sidecars_share_one_budget() {
    const ENTRIES: u32 = 4;
    const LIVES: u64 = 5;
    let repeat_all = |fixture: &mut Fixture| {
        let mut sent = 0;
        for ticket in 0..100 {
            let ask = Ask {
                sends: 1,
                ..fixture.new_ask(ENGINES, None)
            };
            let decided = fixture.ask(ticket, ask);
            sent += sent_to(&decided).len();
            fixture.end(ticket, SendOutcome::Answered);
        }
        sent
    };
    let say = |fixture: &mut Fixture, entries: u32| {
        let mut said = view("engines-1", &[]);
        said.figures.entries = entries;
        fixture.view(1, said);
    };
    let mut of_entry = 0;
    let begun = Instant::now();
    for life in 0..LIVES {
        let mut fixture = Fixture::started_again(engines(), begun + ms(2_000 * life));
        say(&mut fixture, ENTRIES);
        of_entry += repeat_all(&mut fixture);
        fixture.pass(ms(1_000));
        of_entry += repeat_all(&mut fixture);
    }
    let share = 50.0 / f64::from(ENTRIES);
    assert!(
        of_entry as f64 <= share,
        "{of_entry} repeats in {LIVES} lives, {share} are the entry's"
    );

    let mut fixture = Fixture::new(engines());
    say(&mut fixture, ENTRIES);
    say(&mut fixture, 1);
    let sent = repeat_all(&mut fixture);
    assert!(
        sent as f64 <= share,
        "{sent} repeats once sidecars began anew, {share} are the entry's"
    );
}

#[test]
fn a_repeat_beyond_the_budget_is_refused_at_once() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    let mut refused = 0;
    for ticket in 0..60 {
        let ask = Ask {
            sends: 1,
            ..fixture.new_ask(PLAIN, None)
        };
        for (_, decision) in fixture.ask(ticket, ask) {
            match decision {
                Decision::Send(_) => fixture.end(ticket, SendOutcome::Answered),
                Decision::Refuse { cause, .. } => {
                    assert_eq!(cause, RefusalCause::NoBudget);
                    refused += 1;
                }
            }
        }
    }
    assert!(refused > 0);
}

#[test]
fn a_back_end_that_fails_its_requests_gets_few_until_it_recovers() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1), backend(PLAIN, 2)]);
    let mut to_failing = 0;
    for ticket in 0..40 {
        let ask = fixture.new_ask(PLAIN, None);
        let chosen = sent_to(&fixture.ask(ticket, ask));
        let fails = chosen == ["plain-1"];
        to_failing += u32::from(fails);
        let outcome = match fails {
            true => SendOutcome::Failed,
            false => SendOutcome::Answered,
        };
        fixture.end(ticket, outcome);
    }
    assert!(to_failing <= 4, "{to_failing} of 40");
    fixture.pass(ms(30_000));
    let chosen: Vec<_> = (100..104)
        .flat_map(|ticket| {
            let ask = fixture.new_ask(PLAIN, None);
            sent_to(&fixture.ask(ticket, ask))
        })
        .collect();
    assert!(chosen.contains(&"plain-1".to_string()), "{chosen:?}");
}

/// engines whose loads take this long
fn fixture_with_slow_loads(next_load_ms: u32) -> Fixture {
    let mut fixture = Fixture::new(engines());
    tell_slow_loads(&mut fixture, next_load_ms);
    fixture
}

/// all sidecars speak
fn tell_slow_loads(fixture: &mut Fixture, next_load_ms: u32) {
    for number in 1..=3 {
        let mut slow = view(&format!("{ENGINES}-{number}"), &[]);
        slow.figures.next_load_ms = next_load_ms;
        fixture.view(number, slow);
    }
}

#[test]
fn a_request_whose_adapter_comes_too_late_is_refused_early_and_its_adapter_stays_wanted() {
    let mut fixture = fixture_with_slow_loads(900);
    let ask = fixture.new_ask(ENGINES, Some("a"));
    fixture.ask(1, ask);
    assert!(
        fixture.pass(ms(60)).is_empty(),
        "no sidecar has answered the wish"
    );
    tell_slow_loads(&mut fixture, 900);
    let decided = fixture.pass(ms(25));
    let Some((
        1,
        Decision::Refuse {
            cause, retry_after, ..
        },
    )) = decided.first()
    else {
        panic!("not refused: {decided:?}");
    };
    assert_eq!(*cause, RefusalCause::LoadsLater);
    assert!(*retry_after >= ms(900));
    fixture.pass(*retry_after);
    assert_eq!(fixture.homes("a").len(), 1, "wanted until it comes back");
    fixture.pass(ms(3_000));
    assert!(fixture.homes("a").is_empty(), "not for ever");
}

/// these wait for their adapter instead
#[test]
fn a_request_is_not_refused_early_when_waiting_is_better() {
    type Change = fn(&mut Ask);
    let cases: &[(&str, u32, Change)] = &[
        ("the load is quick", 100, |_| {}),
        ("it was refused before", 900, |ask| ask.has_returned = true),
        ("it was sent before", 900, |ask| ask.sends = 1),
    ];
    for (name, next_load_ms, change) in cases {
        let mut fixture = fixture_with_slow_loads(*next_load_ms);
        let mut ask = fixture.new_ask(ENGINES, Some("a"));
        change(&mut ask);
        fixture.ask(1, ask);
        for _ in 0..5 {
            assert!(fixture.pass(ms(25)).is_empty(), "{name}");
            tell_slow_loads(&mut fixture, *next_load_ms);
        }
    }
}

/// a load that turns slow later is no reason: the wait so far would be for nothing
#[test]
fn a_request_is_judged_once() {
    let mut fixture = fixture_with_slow_loads(100);
    let ask = fixture.new_ask(ENGINES, Some("a"));
    fixture.ask(1, ask);
    for next_load_ms in [100, 900, 900, 900] {
        assert!(fixture.pass(ms(25)).is_empty(), "{next_load_ms}");
        tell_slow_loads(&mut fixture, next_load_ms);
    }
}

#[test]
fn a_prompt_without_an_adapter_goes_to_an_engine_that_holds_its_model() {
    let mut fixture = Fixture::new(engines());
    for (number, model) in [(1, "other"), (2, "m"), (3, "other")] {
        let holds = EngineView {
            models: vec![model.to_string()],
            ..view(&format!("{ENGINES}-{number}"), &[])
        };
        fixture.view(number, holds);
    }
    let base = |fixture: &Fixture, model: &str| Ask {
        model: Some(model.to_string()),
        ..fixture.new_ask(ENGINES, None)
    };
    let ask = base(&fixture, "m");
    assert_eq!(sent_to(&fixture.ask(1, ask)), ["engines-2"]);
    let ask = base(&fixture, "nowhere");
    assert!(fixture.ask(2, ask).is_empty());
    let ask = fixture.new_ask(ENGINES, Some("a"));
    fixture.ask(3, ask);
    assert_eq!(fixture.homes("a"), ["engines-2"], "where its base model is");
}

#[test]
fn a_later_request_for_the_same_adapter_does_not_pass_an_earlier_one() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", 1)]));
    for ticket in 1..=4 {
        let ask = fixture.new_ask(ENGINES, Some("a"));
        assert_eq!(sent_to(&fixture.ask(ticket, ask)).len(), 1);
    }
    let ask = fixture.new_ask(ENGINES, Some("a"));
    assert!(fixture.ask(5, ask).is_empty(), "four places");
    // room that no end of a request has announced
    let mut list = engines();
    list[0].slots = 5;
    let figures = DispatchEvent::Figures {
        backend: "engines-1".into(),
        figures: EngineStats::default(),
    };
    fixture.tell(figures);
    let ask = fixture.new_ask(ENGINES, Some("a"));
    assert!(fixture.ask(6, ask).is_empty());
    fixture.list(list);
    let waiting = fixture.dispatcher.waiting_count();
    assert_eq!(waiting, 1, "one of the two was sent, the earlier one");
    fixture.tell(DispatchEvent::Withdrawn(6));
    assert_eq!(fixture.dispatcher.waiting_count(), 0);
}
