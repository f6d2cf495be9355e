//! Where adapters are loaded while engines have fewer adapter slots than adapters are in use.

mod dispatch_fixture;

use {
    chalkcart_coordination::{
        dispatch::{Decision, DispatchRequest, SendOutcome},
        features::FeatureSwitches,
    },
    chalkcart_protocol::peer::EngineView,
    dispatch_fixture::*,
};

/// Prompts in prefill at an engine that is busy for about 250 ms, with prompts of 1,000 tokens
/// at 16 tokens a ms.
const SOME_PROMPTS: u32 = 4;
/// The same for about 2,500 ms.
const MANY_PROMPTS: u32 = 40;

/// Returns the view of an engine whose adapter slots all hold unused adapters.
fn full_view(number: u8) -> EngineView {
    let names = [format!("x{number}"), format!("y{number}")];
    let held: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let mut full = view(&format!("{ENGINES}-{number}"), &held);
    full.figures.entries = 20;
    full.figures.next_load_ms = 300;
    full.figures.next_return_ms = 30;
    full
}

/// Three engines without an empty adapter slot.
fn fixture_with_full_engines() -> Fixture {
    let mut fixture = Fixture::new(engines());
    for number in 1..=3 {
        fixture.view(number, full_view(number));
    }
    fixture
}

/// The same; the engine has the adapter in host memory and prefills this many prompts.
fn fixture_with_reload(number: u8, reading: u32) -> Fixture {
    let mut fixture = fixture_with_full_engines();
    let mut reloading = full_view(number);
    reloading.lately = vec![hash("a")];
    reloading.figures.reading = reading;
    fixture.view(number, reloading);
    fixture
}

fn without_affinity(fixture: &mut Fixture) {
    fixture.update_settings(|settings| {
        settings.features = FeatureSwitches {
            adapter_affinity: false,
            ..FeatureSwitches::default()
        };
    });
}

/// Returns the engine that loads an adapter for a request that arrives now.
fn home(fixture: &mut Fixture) -> String {
    let request = fixture.new_request(ENGINES, Some("a"));
    fixture.submit(1, request);
    fixture.homes("a").concat()
}

/// Guards against a load from the weight store at another engine whose queue is a little shorter.
#[test]
fn an_engine_with_the_adapter_in_host_memory_is_home_unless_its_wait_exceeds_a_load() {
    for number in 1..=3 {
        let memory = format!("{ENGINES}-{number}");
        let mut fixture = fixture_with_reload(number, SOME_PROMPTS * 2);
        assert_eq!(home(&mut fixture), memory);
        let mut fixture = fixture_with_reload(number, MANY_PROMPTS);
        assert_ne!(home(&mut fixture), memory, "a long queue");
    }
    let homes = (1..=3).map(|number| {
        let mut fixture = fixture_with_reload(number, SOME_PROMPTS * 2);
        without_affinity(&mut fixture);
        home(&mut fixture) == format!("{ENGINES}-{number}")
    });
    assert!(
        homes.into_iter().any(|is_memory| !is_memory),
        "switched off"
    );
}

/// Guards against a load from the weight store while the engine with the adapter in host memory
/// uses all its slots for a moment, and against waiting there for long.
#[test]
fn a_slot_of_the_engine_with_the_adapter_in_host_memory_is_awaited_for_a_short_time() {
    for number in 1..=3 {
        let memory = format!("{ENGINES}-{number}");
        let mut fixture = fixture_with_reload(number, 0);
        let mut in_use = full_view(number);
        in_use.figures.spare_slots = 0;
        fixture.view(number, in_use.clone());
        assert_eq!(home(&mut fixture), memory);
        fixture.advance(ms(300));
        assert_eq!(
            fixture.homes("a"),
            std::slice::from_ref(&memory),
            "still awaited"
        );
        fixture.advance(ms(150));
        let homes = fixture.homes("a");
        assert_eq!(homes.len(), 1);
        assert_ne!(homes[0], memory, "no slot in time");
    }
}

/// Guards against the eviction of an adapter for a request that passes its deadline before the
/// load ends.
#[test]
fn no_adapter_is_loaded_for_a_request_that_is_too_late() {
    for (left_ms, is_loaded) in [(300, false), (1_000, true)] {
        let mut fixture = fixture_with_full_engines();
        let request = DispatchRequest {
            deadline: fixture.now + ms(left_ms),
            ..fixture.new_request(ENGINES, Some("a"))
        };
        fixture.submit(1, request.clone());
        assert_eq!(!fixture.homes("a").is_empty(), is_loaded, "{left_ms} ms");
        let mut fixture = fixture_with_full_engines();
        without_affinity(&mut fixture);
        fixture.submit(1, request);
        assert_eq!(fixture.homes("a").len(), 1, "switched off");
    }
}

/// Guards against a second home when one more request waits at one of many entries.
#[test]
fn one_more_waiting_request_is_no_reason_for_another_home() {
    let homes = |fixture: &mut Fixture, requests: u64| {
        for ticket in 1..=requests {
            let request = DispatchRequest {
                prompt_tokens: 2_000,
                ..fixture.new_request(ENGINES, Some("a"))
            };
            fixture.submit(ticket, request);
        }
        fixture.homes("a").len()
    };
    assert_eq!(homes(&mut fixture_with_full_engines(), 2), 1);
    assert!(homes(&mut fixture_with_full_engines(), 6) > 1, "in demand");
    let mut fixture = fixture_with_full_engines();
    without_affinity(&mut fixture);
    assert!(homes(&mut fixture, 2) > 1, "switched off");
}

/// Returns the engines that load another copy of an adapter whose holder prefills this many
/// prompts.
fn copies(fixture: &mut Fixture, reading: u32) -> Vec<String> {
    let mut holder = full_view(1);
    holder.held[0].adapter = adapter("a");
    holder.figures.reading = reading;
    fixture.view(1, holder);
    for ticket in 1..=3 {
        let request = DispatchRequest {
            prompt_tokens: 1_000,
            ..fixture.new_request(ENGINES, Some("a"))
        };
        fixture.submit(ticket, request);
    }
    fixture.homes("a")
}

/// Guards against a copy for a queue that is gone soon after the copy is loaded.
#[test]
fn a_copy_needs_a_queue_longer_than_a_load() {
    // slots are no reason for a copy
    let fixture = || {
        let list = engines().into_iter().map(|mut backend| {
            backend.slots = 100;
            backend
        });
        let mut fixture = Fixture::new(list.collect());
        for number in 1..=3 {
            fixture.view(number, full_view(number));
        }
        fixture
    };
    assert_eq!(copies(&mut fixture(), SOME_PROMPTS), Vec::<String>::new());
    assert_eq!(copies(&mut fixture(), MANY_PROMPTS).len(), 1);
    let mut switched_off = fixture();
    without_affinity(&mut switched_off);
    assert_eq!(copies(&mut switched_off, SOME_PROMPTS).len(), 1);
}

/// Guards against a load from the weight store at another engine when an engine refuses a
/// request because it evicted the adapter since its last view.
#[test]
fn an_adapter_that_an_engine_has_just_evicted_is_reloaded_there() {
    for number in 1..=3 {
        let id = format!("{ENGINES}-{number}");
        let mut fixture = fixture_with_full_engines();
        let mut holder = full_view(number);
        holder.held[0].adapter = adapter("a");
        // a queue that makes other engines preferable, but no copy worthwhile
        holder.figures.reading = SOME_PROMPTS;
        fixture.view(number, holder);
        let request = fixture.new_request(ENGINES, Some("a"));
        let decided = fixture.submit(1, request.clone());
        assert!(matches!(&decided[..], [(1, Decision::Send(_))]));
        fixture.end(1, SendOutcome::Misdirected);
        fixture.submit(2, request);
        assert_eq!(fixture.homes("a"), [id]);
    }
}

/// Guards against other choices at engines that have room for the adapters in use.
#[test]
fn nothing_changes_while_engines_have_empty_slots() {
    for reading in [0, SOME_PROMPTS, SOME_PROMPTS * 2, MANY_PROMPTS] {
        for number in 1..=3 {
            let homes = |is_on: bool| {
                let mut fixture = Fixture::new(engines());
                for other in 1..=3 {
                    let mut with_room = full_view(other);
                    with_room.held.pop();
                    fixture.view(other, with_room);
                }
                let mut memory = full_view(number);
                memory.held.pop();
                memory.lately = vec![hash("a")];
                memory.figures.reading = reading;
                fixture.view(number, memory);
                if !is_on {
                    without_affinity(&mut fixture);
                }
                let mut seen = Vec::new();
                for ticket in 1..=8 {
                    let request = DispatchRequest {
                        prompt_tokens: 1_500,
                        ..fixture.new_request(ENGINES, Some("a"))
                    };
                    let decided = fixture.submit(ticket, request);
                    seen.push((sent_to(&decided), fixture.homes("a")));
                    fixture.advance(ms(100));
                }
                seen
            };
            assert_eq!(homes(true), homes(false), "{reading} prompts at {number}");
        }
    }
}

/// Guards against a log line that doesn't explain why an engine was chosen.
#[test]
fn a_requested_load_lists_the_inputs_of_its_choice() {
    let mut fixture = fixture_with_reload(2, SOME_PROMPTS);
    home(&mut fixture);
    let requested = fixture.dispatcher.take_requested_loads();
    let inputs = requested[0].inputs;
    assert!(inputs.is_reload && inputs.are_slots_short);
    assert_eq!((inputs.holders, inputs.in_memory), (0, 1));
    assert_eq!(inputs.spare_slots, 2);
    assert!(inputs.queue > ms(0));
    assert_eq!(inputs.view_age, Some(ms(0)));
}

/// Guards against loading an adapter again that the sidecar has evicted for others, after its only
/// request was sent.
#[test]
fn an_adapter_is_not_loaded_again_without_a_request() {
    for is_on in [true, false] {
        let mut fixture = fixture_with_full_engines();
        if !is_on {
            without_affinity(&mut fixture);
        }
        let home = home(&mut fixture);
        let number: u8 = home[home.len() - 1..].parse().expect("a number");
        let decided = fixture.view(number, view(&home, &[("a", 1)]));
        assert!(matches!(decided[..], [(1, Decision::Send(_))]));
        fixture.end(1, SendOutcome::Answered);
        assert!(fixture.homes("a").is_empty(), "loaded");
        fixture.view(number, full_view(number));
        assert_eq!(fixture.homes("a").is_empty(), is_on);
    }
}
