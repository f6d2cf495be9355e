//! Where adapters are loaded: homes and copies.

mod dispatch_fixture;

use {
    chalkcart_coordination::dispatch::DispatchRequest, chalkcart_state::backends::Backend,
    dispatch_fixture::*,
};

#[test]
fn an_adapter_with_many_waiting_requests_is_loaded_at_several_homes() {
    let mut fixture = fixture_with_views();
    for (ticket, homes) in [(1, 1), (2, 1), (3, 2), (4, 2), (5, 3)] {
        let request = DispatchRequest {
            prompt_tokens: 4_000,
            ..fixture.new_request(ENGINES, Some("a"))
        };
        fixture.submit(ticket, request);
        assert_eq!(fixture.homes("a").len(), homes, "{ticket} requests wait");
    }
}

#[test]
fn the_home_of_an_adapter_is_the_same_at_each_entry() {
    let home = || {
        let mut fixture = fixture_with_views();
        let request = fixture.new_request(ENGINES, Some("a"));
        fixture.submit(1, request);
        fixture.homes("a")
    };
    assert_eq!(home(), home());
}

#[test]
fn an_engine_without_a_free_adapter_slot_is_no_home() {
    let mut fixture = fixture_with_views();
    let request = fixture.new_request(ENGINES, Some("a"));
    fixture.submit(1, request.clone());
    let first = fixture.homes("a");
    let number: u8 = first[0].trim_start_matches("engines-").parse().unwrap();
    let mut full = view(&first[0], &[]);
    full.figures.spare_slots = 0;
    fixture.view(number, full);
    fixture.advance(ms(1_600));
    assert_ne!(fixture.homes("a"), first);
}

#[test]
fn an_adapter_of_a_busy_holder_is_copied() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", 1)]));
    for ticket in 1..=4 {
        let request = DispatchRequest {
            prompt_tokens: 3_000,
            ..fixture.new_request(ENGINES, Some("a"))
        };
        fixture.submit(ticket, request);
    }
    let homes = fixture.homes("a");
    assert_eq!(homes.len(), 1, "{homes:?}");
    assert_ne!(homes[0], "engines-1");
}

/// Engines with 16 slots; `running` of them are taken on engine 1, which holds the adapter.
fn fixture_with_one_holder(running: u32) -> Fixture {
    let list = (1..=8).map(|number| Backend {
        slots: 16,
        ..backend(ENGINES, number)
    });
    let mut fixture = Fixture::new(list.collect());
    for number in 1..=8 {
        fixture.view(number, view(&format!("{ENGINES}-{number}"), &[]));
    }
    let mut holder = view("engines-1", &[("a", 1)]);
    holder.figures.running = running;
    fixture.view(1, holder);
    fixture
}

/// Submits requests for the adapter and returns the engines that should load it.
fn homes_after_requests(fixture: &mut Fixture, requests: u64) -> Vec<String> {
    for ticket in 1..=requests {
        let request = DispatchRequest {
            prompt_tokens: 10,
            ..fixture.new_request(ENGINES, Some("a"))
        };
        fixture.submit(ticket, request);
    }
    fixture.homes("a")
}

#[test]
fn an_adapter_is_copied_before_its_holder_is_full() {
    // requests, requests of others at the holder, whether a copy is expected
    let cases = [
        (4, 0, false, "few slots are taken"),
        (1, 8, false, "the holder is busy with other adapters"),
        (9, 0, true, "half of the slots are taken"),
        (
            4,
            12,
            true,
            "enough demand, and a holder busy with other adapters",
        ),
    ];
    for (requests, others, is_copied, name) in cases {
        let mut fixture = fixture_with_one_holder(others);
        let homes = homes_after_requests(&mut fixture, requests);
        assert_eq!(!homes.is_empty(), is_copied, "{name}: {homes:?}");
    }
}

#[test]
fn copies_grow_by_half_and_one_round_at_a_time() {
    let mut fixture = fixture_with_one_holder(16);
    for number in 2..=3 {
        let mut holder = view(&format!("{ENGINES}-{number}"), &[("a", 1)]);
        holder.figures.running = 10;
        fixture.view(number, holder);
    }
    let homes = homes_after_requests(&mut fixture, 6);
    assert_eq!(homes.len(), 2, "three holders: {homes:?}");
    let number: u8 = homes[0].trim_start_matches("engines-").parse().unwrap();
    let mut loaded = view(&homes[0], &[("a", 1)]);
    loaded.figures.running = 16;
    fixture.view(number, loaded);
    let request = fixture.new_request(ENGINES, Some("a"));
    fixture.submit(100, request);
    let pending = fixture.homes("a");
    assert_eq!(pending, homes[1..], "the second copy is still loading");
}

#[test]
fn no_copy_is_loaded_on_a_busy_engine() {
    let mut fixture = fixture_with_one_holder(16);
    for number in 2..=7 {
        let mut busy = view(&format!("{ENGINES}-{number}"), &[]);
        busy.figures.running = 10;
        fixture.view(number, busy);
    }
    assert_eq!(homes_after_requests(&mut fixture, 4), ["engines-8"]);
    let mut fixture = fixture_with_one_holder(16);
    for number in 2..=8 {
        let mut busy = view(&format!("{ENGINES}-{number}"), &[]);
        busy.figures.running = 10;
        fixture.view(number, busy);
    }
    let homes = homes_after_requests(&mut fixture, 4);
    assert!(homes.is_empty(), "every engine is busy: {homes:?}");
}

#[test]
fn an_adapter_without_holders_is_loaded_on_an_idle_engine() {
    let mut fixture = fixture_with_one_holder(0);
    let load_home = |fixture: &mut Fixture, ticket| {
        let request = fixture.new_request(ENGINES, Some("cold"));
        fixture.submit(ticket, request);
        fixture.homes("cold")
    };
    let idle = load_home(&mut fixture, 1);
    let number: u8 = idle[0].trim_start_matches("engines-").parse().unwrap();
    let mut fixture = fixture_with_one_holder(0);
    let mut busy = view(&idle[0], &[]);
    busy.figures.running = 12;
    fixture.view(number, busy);
    assert_ne!(load_home(&mut fixture, 1), idle);
}
