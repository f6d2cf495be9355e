//! Prefill rates, urgency, and reloads of adapters.

mod dispatch_fixture;

use {
    chalkcart_coordination::{
        dispatch::{urgency, Decision, DispatchEvent, LoadCause, PrefillRate},
        features::FeatureSwitches,
    },
    dispatch_fixture::*,
    quickcheck::{Gen, QuickCheck},
};

const SEED: u64 = 22;
const TOKENS_PER_MS: f64 = 20.0;

#[test]
fn the_prefill_rate_is_the_median_of_prompts_prefilled_alone() {
    let mut rate = PrefillRate::default();
    for _ in 0..4 {
        rate.on_sole_prefill(4_000, 100.0);
    }
    assert_eq!(rate.tokens_per_ms(), None, "too few samples");
    // two prompts that were cached, and one at a slow engine
    for ms in [10.0, 10.0, 900.0] {
        rate.on_sole_prefill(4_000, ms);
    }
    // too short for a sample
    rate.on_sole_prefill(20, 10.0);
    assert_eq!(rate.tokens_per_ms(), Some(40.0));
}

#[test]
fn short_prompts_are_urgent_and_late_ones_are_not() {
    let fixture = fixture_with_views();
    // tokens, waited ms, priority, urgency; the objective is 400 ms
    let cases = [
        (100, 0, 0, 0),
        (1_000, 0, 0, 1),
        (3_000, 0, 0, 2),
        (6_000, 0, 0, 3),
        (6_000, 0, 2, 4),
        (6_000, 200, 0, 7),
        (100, 390, 0, 7),
        (100, 390, 9, 9),
        (90_000, 0, 0, 7),
    ];
    for (prompt_tokens, waited, priority, expected) in cases {
        let mut request = fixture.new_request(ENGINES, Some("a"));
        request.prompt_tokens = prompt_tokens;
        request.priority = priority;
        let at = fixture.now + ms(waited);
        let case = format!("{prompt_tokens} tokens, {waited} ms, priority {priority}");
        assert_eq!(urgency(&request, TOKENS_PER_MS, at), expected, "{case}");
    }
}

#[test]
fn a_longer_prompt_is_never_more_urgent() {
    fn check(shorter: u16, more: u16, priority: u8) -> bool {
        let fixture = fixture_with_views();
        let mut request = fixture.new_request(ENGINES, Some("a"));
        request.priority = priority;
        request.prompt_tokens = u32::from(shorter);
        let first = urgency(&request, TOKENS_PER_MS, fixture.now);
        request.prompt_tokens += u32::from(more);
        first <= urgency(&request, TOKENS_PER_MS, fixture.now)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .quickcheck(check as fn(u16, u16, u8) -> bool);
}

/// Three engines: the first holds an adapter that the second has unloaded, and prefills
/// this many prompts.
fn fixture_with_reload(reading: u32) -> Fixture {
    let mut fixture = fixture_with_views();
    fixture.view(2, view("engines-2", &[("a", 1)]));
    let mut unloaded = view("engines-2", &[]);
    unloaded.figures.next_return_ms = 30;
    fixture.view(2, unloaded);
    let mut busy = view("engines-1", &[("a", 1)]);
    busy.figures.reading = reading;
    fixture.view(1, busy);
    fixture
}

#[test]
fn a_request_waits_for_a_reload_only_if_that_is_sooner() {
    for (reading, returns) in [(0, false), (1, false), (12, true)] {
        let mut fixture = fixture_with_reload(reading);
        let mut request = fixture.new_request(ENGINES, Some("a"));
        request.prompt_tokens = 1_000;
        let decided = fixture.submit(1, request);
        let case = format!("{reading} prompts in prefill");
        match returns {
            false => assert_eq!(sent_to(&decided), ["engines-1"], "{case}"),
            true => {
                assert!(decided.is_empty(), "{case}: {decided:?}");
                assert_eq!(fixture.homes("a"), ["engines-2"], "{case}");
                let requested = fixture.dispatcher.take_requested_loads();
                assert_eq!(requested.len(), 1, "{requested:?}");
                assert_eq!(requested[0].cause, LoadCause::Reload);
            }
        }
    }
}

#[test]
fn a_request_does_not_wait_for_a_reload_that_fails() {
    let mut fixture = fixture_with_reload(12);
    let request = fixture.new_request(ENGINES, Some("a"));
    assert!(fixture.submit(1, request).is_empty());
    let decided = fixture.advance(ms(200));
    assert_eq!(sent_to(&decided), ["engines-1"]);
}

#[test]
fn requests_go_to_the_holder_while_reloads_are_switched_off() {
    let mut fixture = fixture_with_reload(12);
    let mechanisms = FeatureSwitches {
        return_home: false,
        ..FeatureSwitches::default()
    };
    fixture.update_settings(|settings| settings.features = mechanisms);
    let request = fixture.new_request(ENGINES, Some("a"));
    assert_eq!(sent_to(&fixture.submit(1, request)), ["engines-1"]);
}

#[test]
fn an_unloaded_adapter_is_reloaded_on_the_same_engine() {
    for engine in 1..=3 {
        let mut fixture = fixture_with_views();
        let id = format!("engines-{engine}");
        fixture.view(engine, view(&id, &[("a", 1)]));
        fixture.view(engine, view(&id, &[]));
        let request = fixture.new_request(ENGINES, Some("a"));
        fixture.submit(1, request);
        assert_eq!(fixture.homes("a"), [id]);
    }
}

#[test]
fn a_new_entry_learns_recently_held_adapters_from_views() {
    let mut previous = fixture_with_views();
    let request = previous.new_request(ENGINES, Some("a"));
    previous.submit(1, request);
    let plain_home = previous.homes("a");
    for engine in 1..=3 {
        let id = format!("engines-{engine}");
        let mut fixture = Fixture::new(engines());
        for number in 1..=3 {
            let mut report = view(&format!("engines-{number}"), &[]);
            if number == engine {
                report.lately = vec![hash("a")];
            }
            fixture.view(number, report);
        }
        let request = fixture.new_request(ENGINES, Some("a"));
        fixture.submit(1, request);
        assert_eq!(fixture.homes("a"), [id], "not {plain_home:?}");
    }
}

#[test]
fn prompts_of_other_entries_raise_the_cost_of_an_engine() {
    let mut fixture = fixture_with_views();
    for number in 1..=2 {
        fixture.view(number, view(&format!("engines-{number}"), &[("a", 1)]));
    }
    // the entry's own prompts determine the typical size
    let mut request = fixture.new_request(ENGINES, Some("a"));
    request.prompt_tokens = 2_000;
    let first = sent_to(&fixture.submit(1, request.clone()));
    fixture.handle(DispatchEvent::ResponseStarted(1));
    for number in 1..=2u8 {
        let id = format!("engines-{number}");
        let mut report = view(&id, &[("a", 1)]);
        report.figures.reading = u32::from(first == [id.clone()]) * 2;
        fixture.view(number, report);
    }
    let decided = fixture.submit(2, request);
    assert_ne!(sent_to(&decided), first);
    let Some((2, Decision::Send(assignment))) = decided.first() else {
        panic!("not sent: {decided:?}");
    };
    assert_eq!(assignment.inputs.queue_ms, 0.0);
}

#[test]
fn a_loaded_adapter_without_waiting_requests_is_no_longer_wanted() {
    let mut fixture = fixture_with_views();
    let request = fixture.new_request(ENGINES, Some("a"));
    fixture.submit(1, request);
    let homes = fixture.homes("a");
    let number: u8 = homes[0].trim_start_matches("engines-").parse().unwrap();
    assert_eq!(homes.len(), 1);
    fixture.view(number, view(&homes[0], &[("a", 1)]));
    // its request was sent there, so the slot may go to another adapter
    assert!(fixture.homes("a").is_empty());
}

#[test]
fn a_copy_is_loaded_only_if_it_is_ready_before_the_queue_is_done() {
    // prompts in prefill at the holder, ms of a load, whether a copy is expected; a typical
    // prompt takes 62 ms
    let cases = [(16, 300, true), (16, 5_000, false), (2, 400, false)];
    for (reading, load_ms, is_copied) in cases {
        let mut fixture = fixture_with_views();
        let mut busy = view("engines-1", &[("a", 1)]);
        busy.figures.reading = reading;
        for number in 2..=3 {
            let mut idle = view(&format!("engines-{number}"), &[]);
            idle.figures.next_load_ms = load_ms;
            fixture.view(number, idle);
        }
        fixture.view(1, busy);
        for ticket in 1..=2 {
            let mut request = fixture.new_request(ENGINES, Some("a"));
            request.prompt_tokens = 1_000;
            fixture.submit(ticket, request);
        }
        let homes = fixture.homes("a");
        let copies = homes.iter().filter(|home| *home != "engines-1").count();
        let case = format!("{reading} prompts in prefill, {load_ms} ms per load: {homes:?}");
        assert_eq!(copies > 0, is_copied, "{case}");
    }
}

#[test]
fn huge_prompt_sizes_do_not_overflow() {
    let mut fixture = fixture_with_views();
    for ticket in 1..=3 {
        let mut request = fixture.new_request(ENGINES, Some("a"));
        request.prompt_tokens = u32::MAX;
        fixture.submit(ticket, request);
    }
    assert_eq!(fixture.homes("a").len(), 3, "every engine is a home");
}
