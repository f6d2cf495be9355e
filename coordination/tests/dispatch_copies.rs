//! where adapters are loaded: homes and copies

mod dispatch_fixture;

use {
    chalkcart_coordination::dispatch::DispatchRequest, chalkcart_state::backends::Backend,
    dispatch_fixture::*,
};

#[test]
fn an_adapter_that_many_wait_for_is_loaded_at_several_homes() {
    let mut fixture = fixture_with_views();
    for (ticket, homes) in [(1, 1), (2, 1), (3, 2), (4, 2), (5, 3)] {
        let ask = DispatchRequest {
            prompt_tokens: 4_000,
            ..fixture.new_request(ENGINES, Some("a"))
        };
        fixture.submit(ticket, ask);
        assert_eq!(fixture.homes("a").len(), homes, "{ticket} wait");
    }
}

#[test]
fn the_home_of_an_adapter_is_the_same_at_each_entry() {
    let home = || {
        let mut fixture = fixture_with_views();
        let ask = fixture.new_request(ENGINES, Some("a"));
        fixture.submit(1, ask);
        fixture.homes("a")
    };
    assert_eq!(home(), home());
}

#[test]
fn an_engine_without_a_spare_place_is_no_home() {
    let mut fixture = fixture_with_views();
    let ask = fixture.new_request(ENGINES, Some("a"));
    fixture.submit(1, ask.clone());
    let first = fixture.homes("a");
    let number: u8 = first[0].trim_start_matches("engines-").parse().unwrap();
    let mut full = view(&first[0], &[]);
    full.figures.spare_slots = 0;
    fixture.view(number, full);
    fixture.advance(ms(1_600));
    assert_ne!(fixture.homes("a"), first);
}

#[test]
fn a_busy_holder_makes_its_adapter_spread() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", 1)]));
    for ticket in 1..=4 {
        let ask = DispatchRequest {
            prompt_tokens: 3_000,
            ..fixture.new_request(ENGINES, Some("a"))
        };
        fixture.submit(ticket, ask);
    }
    let homes = fixture.homes("a");
    assert_eq!(homes.len(), 1, "{homes:?}");
    assert_ne!(homes[0], "engines-1");
}

/// engines with 16 places, `running` of them taken at the first
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

/// send requests for the adapter, and say which engines are to load it then
fn homes_after(fixture: &mut Fixture, requests: u64) -> Vec<String> {
    for ticket in 1..=requests {
        let ask = DispatchRequest {
            prompt_tokens: 10,
            ..fixture.new_request(ENGINES, Some("a"))
        };
        fixture.submit(ticket, ask);
    }
    fixture.homes("a")
}

#[test]
fn an_adapter_is_copied_while_its_holder_has_places_left() {
    // requests, others at the holder, whether a copy is wanted
    let cases = [
        (4, 0, false, "few of the places are taken"),
        (1, 8, false, "others press the holder"),
        (9, 0, true, "half of the places are taken"),
        (
            4,
            12,
            true,
            "a part of the places that counts, and a busy holder",
        ),
    ];
    for (requests, others, is_copied, name) in cases {
        let mut fixture = fixture_with_one_holder(others);
        let homes = homes_after(&mut fixture, requests);
        assert_eq!(!homes.is_empty(), is_copied, "{name}: {homes:?}");
    }
}

#[test]
fn copies_of_a_favourite_grow_by_half_and_one_round_at_a_time() {
    let mut fixture = fixture_with_one_holder(16);
    for number in 2..=3 {
        let mut holder = view(&format!("{ENGINES}-{number}"), &[("a", 1)]);
        holder.figures.running = 10;
        fixture.view(number, holder);
    }
    let homes = homes_after(&mut fixture, 6);
    assert_eq!(homes.len(), 2, "three hold it: {homes:?}");
    let number: u8 = homes[0].trim_start_matches("engines-").parse().unwrap();
    let mut loaded = view(&homes[0], &[("a", 1)]);
    loaded.figures.running = 16;
    fixture.view(number, loaded);
    let ask = fixture.new_request(ENGINES, Some("a"));
    fixture.submit(100, ask);
    let asked = fixture.homes("a");
    assert_eq!(asked, homes[1..], "the second is still on its way");
}

#[test]
fn a_copy_goes_to_no_engine_that_is_busy_itself() {
    let mut fixture = fixture_with_one_holder(16);
    for number in 2..=7 {
        let mut busy = view(&format!("{ENGINES}-{number}"), &[]);
        busy.figures.running = 10;
        fixture.view(number, busy);
    }
    assert_eq!(homes_after(&mut fixture, 4), ["engines-8"]);
    let mut fixture = fixture_with_one_holder(16);
    for number in 2..=8 {
        let mut busy = view(&format!("{ENGINES}-{number}"), &[]);
        busy.figures.running = 10;
        fixture.view(number, busy);
    }
    let homes = homes_after(&mut fixture, 4);
    assert!(homes.is_empty(), "a copy would relieve nobody: {homes:?}");
}

#[test]
fn a_cold_adapter_is_loaded_where_it_is_calm() {
    let mut fixture = fixture_with_one_holder(0);
    let cold = |fixture: &mut Fixture, ticket| {
        let ask = fixture.new_request(ENGINES, Some("cold"));
        fixture.submit(ticket, ask);
        fixture.homes("cold")
    };
    let calm = cold(&mut fixture, 1);
    let number: u8 = calm[0].trim_start_matches("engines-").parse().unwrap();
    let mut fixture = fixture_with_one_holder(0);
    let mut busy = view(&calm[0], &[]);
    busy.figures.running = 12;
    fixture.view(number, busy);
    assert_ne!(cold(&mut fixture, 1), calm);
}
