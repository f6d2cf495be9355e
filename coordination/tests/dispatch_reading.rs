//! how fast prompts are read, in what order, and where an adapter returns to

mod dispatch_fixture;

use {
    chalkcart_coordination::{
        dispatch::{urgency, Decision, DispatchEvent, ReadingRate, WishCause},
        features::FeatureSwitches,
    },
    dispatch_fixture::*,
    quickcheck::{Gen, QuickCheck},
};

const SEED: u64 = 22;
const TOKENS_PER_MS: f64 = 20.0;

#[test]
fn the_rate_is_the_median_of_prompts_that_were_read_alone() {
    let mut rate = ReadingRate::default();
    for _ in 0..4 {
        rate.on_read_alone(4_000, 100.0);
    }
    assert_eq!(rate.tokens_per_ms(), None, "too few");
    // two that were kept there, and one at a slow engine
    for ms in [10.0, 10.0, 900.0] {
        rate.on_read_alone(4_000, ms);
    }
    // says more of the connection than of reading
    rate.on_read_alone(20, 10.0);
    assert_eq!(rate.tokens_per_ms(), Some(40.0));
}

#[test]
fn short_prompts_go_first_and_late_ones_last() {
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
        let mut ask = fixture.new_ask(ENGINES, Some("a"));
        ask.prompt_tokens = prompt_tokens;
        ask.priority = priority;
        let at = fixture.now + ms(waited);
        let case = format!("{prompt_tokens} tokens, {waited} ms, priority {priority}");
        assert_eq!(urgency(&ask, TOKENS_PER_MS, at), expected, "{case}");
    }
}

#[test]
fn of_two_that_can_be_in_time_the_longer_is_never_more_urgent() {
    fn check(shorter: u16, more: u16, priority: u8) -> bool {
        let fixture = fixture_with_views();
        let mut ask = fixture.new_ask(ENGINES, Some("a"));
        ask.priority = priority;
        ask.prompt_tokens = u32::from(shorter);
        let first = urgency(&ask, TOKENS_PER_MS, fixture.now);
        ask.prompt_tokens += u32::from(more);
        first <= urgency(&ask, TOKENS_PER_MS, fixture.now)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .quickcheck(check as fn(u16, u16, u8) -> bool);
}

/// three engines of which the first holds an adapter that the second has
/// dropped, and this many prompts are read at the first
fn fixture_with_return(reading: u32) -> Fixture {
    let mut fixture = fixture_with_views();
    fixture.view(2, view("engines-2", &[("a", 1)]));
    let mut dropped = view("engines-2", &[]);
    dropped.figures.next_return_ms = 30;
    fixture.view(2, dropped);
    let mut busy = view("engines-1", &[("a", 1)]);
    busy.figures.reading = reading;
    fixture.view(1, busy);
    fixture
}

#[test]
fn a_request_waits_for_its_adapters_return_only_if_that_is_sooner() {
    for (reading, returns) in [(0, false), (1, false), (12, true)] {
        let mut fixture = fixture_with_return(reading);
        let mut ask = fixture.new_ask(ENGINES, Some("a"));
        ask.prompt_tokens = 1_000;
        let decided = fixture.ask(1, ask);
        let case = format!("{reading} are read");
        match returns {
            false => assert_eq!(sent_to(&decided), ["engines-1"], "{case}"),
            true => {
                assert!(decided.is_empty(), "{case}: {decided:?}");
                assert_eq!(fixture.homes("a"), ["engines-2"], "{case}");
                let wished = fixture.dispatcher.take_wished();
                assert_eq!(wished.len(), 1, "{wished:?}");
                assert_eq!(wished[0].cause, WishCause::Return);
            }
        }
    }
}

#[test]
fn a_return_that_does_not_come_holds_nobody_up() {
    let mut fixture = fixture_with_return(12);
    let ask = fixture.new_ask(ENGINES, Some("a"));
    assert!(fixture.ask(1, ask).is_empty());
    let decided = fixture.pass(ms(200));
    assert_eq!(sent_to(&decided), ["engines-1"]);
}

#[test]
fn without_the_mechanism_the_holder_gets_it() {
    let mut fixture = fixture_with_return(12);
    let mechanisms = FeatureSwitches {
        return_home: false,
        ..FeatureSwitches::default()
    };
    fixture.tune(|settings| settings.mechanisms = mechanisms);
    let ask = fixture.new_ask(ENGINES, Some("a"));
    assert_eq!(sent_to(&fixture.ask(1, ask)), ["engines-1"]);
}

#[test]
fn a_dropped_adapter_goes_back_to_where_it_was() {
    for engine in 1..=3 {
        let mut fixture = fixture_with_views();
        let id = format!("engines-{engine}");
        fixture.view(engine, view(&id, &[("a", 1)]));
        fixture.view(engine, view(&id, &[]));
        let ask = fixture.new_ask(ENGINES, Some("a"));
        fixture.ask(1, ask);
        assert_eq!(fixture.homes("a"), [id]);
    }
}

#[test]
fn an_entry_that_starts_hears_what_engines_held_before() {
    let mut former = fixture_with_views();
    let ask = former.new_ask(ENGINES, Some("a"));
    former.ask(1, ask);
    let plain_home = former.homes("a");
    for engine in 1..=3 {
        let id = format!("engines-{engine}");
        let mut fixture = Fixture::new(engines());
        for number in 1..=3 {
            let mut whole = view(&format!("engines-{number}"), &[]);
            if number == engine {
                whole.lately = vec![mark("a")];
            }
            fixture.view(number, whole);
        }
        let ask = fixture.new_ask(ENGINES, Some("a"));
        fixture.ask(1, ask);
        assert_eq!(fixture.homes("a"), [id], "not {plain_home:?}");
    }
}

#[test]
fn prompts_of_other_entries_make_an_engine_dear() {
    let mut fixture = fixture_with_views();
    for number in 1..=2 {
        fixture.view(number, view(&format!("engines-{number}"), &[("a", 1)]));
    }
    // one's own prompts say how long a typical one is
    let mut ask = fixture.new_ask(ENGINES, Some("a"));
    ask.prompt_tokens = 2_000;
    let first = sent_to(&fixture.ask(1, ask.clone()));
    fixture.tell(DispatchEvent::Started(1));
    for number in 1..=2u8 {
        let id = format!("engines-{number}");
        let mut seen = view(&id, &[("a", 1)]);
        seen.figures.reading = u32::from(first == [id.clone()]) * 2;
        fixture.view(number, seen);
    }
    let decided = fixture.ask(2, ask);
    assert_ne!(sent_to(&decided), first);
    let Some((2, Decision::Send(assignment))) = decided.first() else {
        panic!("not sent: {decided:?}");
    };
    assert_eq!(assignment.basis.queue_ms, 0.0);
}

#[test]
fn an_adapter_that_is_there_and_that_nobody_waits_for_is_wanted_no_more() {
    let mut fixture = fixture_with_views();
    let ask = fixture.new_ask(ENGINES, Some("a"));
    fixture.ask(1, ask);
    let homes = fixture.homes("a");
    let number: u8 = homes[0].trim_start_matches("engines-").parse().unwrap();
    assert_eq!(homes.len(), 1);
    fixture.view(number, view(&homes[0], &[("a", 1)]));
    // its request is served there; the place may go to another adapter
    assert!(fixture.homes("a").is_empty());
}

#[test]
fn a_copy_is_made_only_where_it_comes_before_the_queue_is_over() {
    // prompts read at the holder, ms of a load, and whether a copy is made; a
    // typical prompt takes 62 ms to read
    let cases = [(16, 300, true), (16, 5_000, false), (2, 400, false)];
    for (reading, load_ms, is_copied) in cases {
        let mut fixture = fixture_with_views();
        let mut busy = view("engines-1", &[("a", 1)]);
        busy.figures.reading = reading;
        for number in 2..=3 {
            let mut calm = view(&format!("engines-{number}"), &[]);
            calm.figures.next_load_ms = load_ms;
            fixture.view(number, calm);
        }
        fixture.view(1, busy);
        for ticket in 1..=2 {
            let mut ask = fixture.new_ask(ENGINES, Some("a"));
            ask.prompt_tokens = 1_000;
            fixture.ask(ticket, ask);
        }
        let homes = fixture.homes("a");
        let copies = homes.iter().filter(|home| *home != "engines-1").count();
        let case = format!("{reading} read, {load_ms} ms a load: {homes:?}");
        assert_eq!(copies > 0, is_copied, "{case}");
    }
}

#[test]
fn absurd_sizes_of_prompts_overflow_nothing() {
    let mut fixture = fixture_with_views();
    for ticket in 1..=3 {
        let mut ask = fixture.new_ask(ENGINES, Some("a"));
        ask.prompt_tokens = u32::MAX;
        fixture.ask(ticket, ask);
    }
    assert_eq!(fixture.homes("a").len(), 3, "as many homes as there are");
}
