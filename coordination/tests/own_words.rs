//! what back ends say of themselves in the heads of their answers

mod dispatch_fixture;
mod placement_fixture;

use {
    chalkcart_coordination::{
        dispatch::{Decision, DispatchEvent, RefusalCause, SendOutcome, Ticket},
        own_word::{LimitWord, OwnWord, RequestRate},
        placement::{OrderAnswer, PlacementEvent, PlacementStep},
    },
    chalkcart_state::backends::Backend,
    dispatch_fixture::*,
    placement_fixture::{holding, PlacementFixture, ENGINE},
    std::time::Duration,
};

const LEAVES: OwnWord = OwnWord {
    is_leaving: true,
    rest: None,
    limit: LimitWord::Unsaid,
    cold: None,
};

fn two_plain() -> Vec<Backend> {
    vec![backend(PLAIN, 1), backend(PLAIN, 2)]
}

/// s of rest that back ends ask for here
const REST_S: u64 = 3;
const RESTS: OwnWord = OwnWord {
    is_leaving: false,
    rest: Some(Duration::from_secs(REST_S)),
    limit: LimitWord::Unsaid,
    cold: None,
};

fn say(fixture: &mut Fixture, backend: &str, word: OwnWord) {
    let backend = backend.into();
    let sent = fixture.now;
    fixture.tell(DispatchEvent::Said {
        backend,
        word,
        sent,
    });
}

/// where a request of the plain service goes, if it goes at once
fn goes_to(fixture: &mut Fixture, ticket: u64) -> Option<String> {
    let ask = fixture.new_ask(PLAIN, None);
    let sent = sent_to(&fixture.ask(ticket, ask));
    fixture.end(ticket, SendOutcome::Answered);
    sent.first().cloned()
}

fn never_goes_to(fixture: &mut Fixture, backend: &str) {
    for ticket in 100..120 {
        assert_ne!(goes_to(fixture, ticket).as_deref(), Some(backend));
    }
}

#[test]
fn a_back_end_that_says_that_it_leaves_gets_nothing_whatever_its_record_says() {
    let mut fixture = Fixture::new(two_plain());
    say(&mut fixture, "plain-1", LEAVES);
    never_goes_to(&mut fixture, "plain-1");
    // a newer record that does not know it yet
    let mut newer = two_plain();
    newer[0].slots = 8;
    fixture.list(newer);
    never_goes_to(&mut fixture, "plain-1");
    // its record lapses and returns, as records do while the store is down
    fixture.list(vec![backend(PLAIN, 2)]);
    fixture.pass(ms(30_000));
    fixture.list(two_plain());
    never_goes_to(&mut fixture, "plain-1");
}

#[test]
fn nothing_goes_to_the_last_one_either() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    say(&mut fixture, "plain-1", LEAVES);
    assert_eq!(goes_to(&mut fixture, 1), None);
    fixture.list(Vec::new());
    assert_eq!(goes_to(&mut fixture, 2), None);
}

#[test]
fn its_next_life_is_used() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    say(&mut fixture, "plain-1", LEAVES);
    let reborn = Backend {
        id: "plain-9".into(),
        ..backend(PLAIN, 1)
    };
    fixture.list(vec![reborn]);
    assert_eq!(goes_to(&mut fixture, 1).as_deref(), Some("plain-9"));
}

/// an adapter that only the leaving engine has is loaded elsewhere, and no more there
#[test]
fn adapters_find_another_home() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", 1)]));
    say(&mut fixture, "engines-1", LEAVES);
    let ask = fixture.new_ask(ENGINES, Some("a"));
    assert!(fixture.ask(1, ask).is_empty());
    let homes = fixture.homes("a");
    assert_eq!(homes.len(), 1);
    assert_ne!(homes, ["engines-1"]);
}

#[test]
fn a_wish_at_an_engine_that_leaves_is_dropped() {
    let mut fixture = fixture_with_views();
    let ask = fixture.new_ask(ENGINES, Some("a"));
    fixture.ask(1, ask);
    let homes = fixture.homes("a");
    say(&mut fixture, &homes[0], LEAVES);
    fixture.pass(ms(25));
    let after = fixture.homes("a");
    assert_eq!(after.len(), 1);
    assert_ne!(after, homes);
}

/// back ends to which these decisions send, and causes of refusal with the time to come back
fn refusals(decisions: &[(Ticket, Decision)]) -> Vec<(RefusalCause, Duration)> {
    let refused = decisions.iter().filter_map(|(_, d)| match d {
        Decision::Refuse {
            cause, retry_after, ..
        } => Some((*cause, *retry_after)),
        Decision::Send(_) => None,
    });
    refused.collect()
}

#[test]
fn a_back_end_that_asks_for_rest_gets_nothing_until_its_end() {
    let mut fixture = Fixture::new(two_plain());
    say(&mut fixture, "plain-1", RESTS);
    never_goes_to(&mut fixture, "plain-1");
    fixture.pass(ms(REST_S * 1_000 - 1));
    never_goes_to(&mut fixture, "plain-1");
    fixture.pass(ms(1));
    assert_eq!(goes_to(&mut fixture, 1).as_deref(), Some("plain-1"));
}

/// a shorter rest that is asked for later does not end a longer one
#[test]
fn the_longest_rest_holds() {
    let mut fixture = Fixture::new(two_plain());
    say(&mut fixture, "plain-1", RESTS);
    let shorter = OwnWord {
        rest: Some(ms(10)),
        ..OwnWord::default()
    };
    say(&mut fixture, "plain-1", shorter);
    fixture.pass(ms(100));
    never_goes_to(&mut fixture, "plain-1");
}

#[test]
fn a_rest_outlives_the_record_of_its_back_end() {
    let mut fixture = Fixture::new(two_plain());
    say(&mut fixture, "plain-1", RESTS);
    fixture.list(vec![backend(PLAIN, 2)]);
    fixture.pass(ms(500));
    fixture.list(two_plain());
    never_goes_to(&mut fixture, "plain-1");
}

#[test]
fn what_only_resting_ones_could_serve_is_refused_at_once_until_the_first_is_back() {
    let mut fixture = Fixture::new(two_plain());
    say(&mut fixture, "plain-1", RESTS);
    fixture.pass(ms(1_000));
    say(&mut fixture, "plain-2", RESTS);
    let ask = fixture.new_ask(PLAIN, None);
    let decided = fixture.ask(1, ask);
    let left = ms(REST_S * 1_000 - 1_000);
    assert_eq!(refusals(&decided), [(RefusalCause::Resting, left)]);
}

#[test]
fn a_rest_that_ends_within_the_wait_is_waited_for() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    let short = OwnWord {
        rest: Some(ms(100)),
        ..OwnWord::default()
    };
    say(&mut fixture, "plain-1", short);
    let ask = fixture.new_ask(PLAIN, None);
    assert!(fixture.ask(1, ask).is_empty());
    assert_eq!(sent_to(&fixture.pass(ms(100))), ["plain-1"]);
}

/// the only engines with the base model rest: no other gets one within their rest
#[test]
fn a_base_model_is_not_loaded_elsewhere_for_a_rest() {
    let mut fixture = fixture_with_views();
    for number in [2, 3] {
        let mut bare = view(&format!("engines-{number}"), &[]);
        bare.models.clear();
        fixture.view(number, bare);
    }
    say(&mut fixture, "engines-1", RESTS);
    let ask = fixture.new_ask(ENGINES, Some("a"));
    let decided = fixture.ask(1, ask);
    let left = ms(REST_S * 1_000);
    assert_eq!(refusals(&decided), [(RefusalCause::Resting, left)]);
    assert!(fixture.homes("a").is_empty());
}

/// what waited for the end of a rest does not come at once
#[test]
fn one_request_shows_whether_a_rest_is_over() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    say(&mut fixture, "plain-1", RESTS);
    fixture.pass(ms(REST_S * 1_000));
    let decided: Vec<_> = (1..=3)
        .flat_map(|ticket| {
            let ask = fixture.new_ask(PLAIN, None);
            fixture.ask(ticket, ask)
        })
        .collect();
    assert_eq!(sent_to(&decided).len(), 1);
    // turned away without a time: the next one shows it
    fixture.end(1, SendOutcome::Shed);
    assert_eq!(sent_to(&fixture.pass(ms(100))).len(), 1);
    // it has begun to run: all others follow
    fixture.tell(DispatchEvent::Started(2));
    assert_eq!(sent_to(&fixture.pass(ms(1))).len(), 1);
    let ask = fixture.new_ask(PLAIN, None);
    assert_eq!(sent_to(&fixture.ask(4, ask)).len(), 1);
}

/// a client that leaves does not keep others from it
#[test]
fn a_trial_that_is_abandoned_is_followed_by_another() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1)]);
    say(&mut fixture, "plain-1", RESTS);
    fixture.pass(ms(REST_S * 1_000));
    for ticket in 1..=3 {
        let ask = fixture.new_ask(PLAIN, None);
        assert_eq!(sent_to(&fixture.ask(ticket, ask)).len(), 1);
        fixture.end(ticket, SendOutcome::Abandoned);
    }
}

/// a sidecar whose engine holds its base model and is known by name
fn keeper() -> PlacementFixture {
    let mut keeper = PlacementFixture::new();
    keeper.demand(&["a"], &[]);
    keeper.report(holding(0, &["m"], &[]));
    keeper.identify();
    keeper.report(holding(0, &["m"], &[]));
    keeper
}

/// neither orders nor reports nor questions for its identity
#[test]
fn a_sidecar_whose_order_was_turned_away_asks_nothing_of_its_engine_until_the_end_of_its_rest() {
    let mut keeper = keeper();
    let order = keeper.order().expect("a load");
    keeper
        .control
        .handle(PlacementEvent::Said(RESTS), keeper.now);
    keeper.answer(order, OrderAnswer::Refused);
    for _ in 0..REST_S * 10 {
        let step = keeper.step();
        assert!(matches!(step, PlacementStep::Rest { .. }), "{step:?}");
        keeper.demand(&["a"], &[]);
        keeper.now += ms(100);
    }
    assert!(!matches!(keeper.step(), PlacementStep::Rest { .. }));
}

/// an entry names a later life than the one that asked for rest
#[test]
fn the_rest_of_a_former_life_is_not_kept() {
    let mut keeper = keeper();
    keeper
        .control
        .handle(PlacementEvent::Said(RESTS), keeper.now);
    assert!(matches!(keeper.step(), PlacementStep::Rest { .. }));
    keeper.demand_of(&format!("{ENGINE}-again"), &["a"], &[]);
    assert!(!matches!(keeper.step(), PlacementStep::Rest { .. }));
}

/// other entries have had no answer of it, and the store is silent
#[test]
fn a_sidecar_tells_entries_that_its_engine_leaves() {
    let mut keeper = keeper();
    keeper
        .control
        .handle(PlacementEvent::Said(LEAVES), keeper.now);
    assert!(keeper.order().is_none(), "a load in vain");
    assert!(keeper.view().figures.is_leaving);
    let mut fixture = fixture_with_views();
    let mut told = view("engines-1", &[("a", 1)]);
    told.figures.is_leaving = true;
    fixture.view(1, told);
    let ask = fixture.new_ask(ENGINES, Some("a"));
    assert!(fixture.ask(1, ask).is_empty());
    assert_ne!(fixture.homes("a"), ["engines-1"]);
    // with figures alone
    let mut figures = view("engines-2", &[]).figures;
    figures.is_leaving = true;
    let backend = "engines-2".into();
    fixture.tell(DispatchEvent::Figures { backend, figures });
    fixture.view(2, view("engines-2", &[("b", 1)]));
    let ask = fixture.new_ask(ENGINES, Some("b"));
    assert!(fixture.ask(2, ask).is_empty());
}

/// Guards against: a sidecar that keeps to itself that its engine names a limit or is cold, and
/// one that says it of the next life.
#[test]
fn a_sidecar_passes_on_what_its_engine_takes_and_forgets_it_with_its_life() {
    let mut keeper = PlacementFixture::new();
    keeper.demand(&[], &[]);
    keeper.identify();
    let word = OwnWord::default()
        .with_limit(RequestRate::of_per_s(2.0).map_or(LimitWord::Unsaid, LimitWord::Named))
        .with_cold(Some(Duration::from_secs(2)));
    keeper
        .control
        .handle(PlacementEvent::Said(word), keeper.now);
    let figures = keeper.view().figures;
    assert_eq!(figures.limit_milli_per_s, Some(2_000));
    assert_eq!(figures.cold_left_ms, 2_000);
    keeper.identify_as("engines-2");
    let figures = keeper.view().figures;
    assert_eq!(figures.limit_milli_per_s, None);
    assert_eq!(figures.cold_left_ms, 0);
}
