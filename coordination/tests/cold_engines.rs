//! Engines that are cold, and zones that are to be emptied.
//!
//! Seen: once in many days a cold engine got 18 requests in a second, 17.3 were allowed,
//! 2.5 s after a loss of power; it did not come again. How it came about is only suspected: all
//! entries found the same few engines to hold what was asked for, as the others had not loaded
//! it yet. Cause: nothing read that an engine was cold. Proof: without the bound the first three
//! tests fail, as all that comes is sent.

mod dispatch_fixture;

use {
    chalkcart_coordination::{
        backend_admission::{SlowStart, SlowStartSettings},
        backend_signals::BackendSignals,
        dispatch::{DispatchEvent, SendOutcome},
    },
    chalkcart_state::backends::Backend,
    dispatch_fixture::*,
    std::{
        collections::HashSet,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// requests a second of a cold engine, as the fixture's configuration says
const CARRIED: f64 = 8.0;
/// beyond so many in one second an engine collapses, by the platform's pages
const MOST_IN_A_SECOND: f64 = CARRIED * 1.5 + 5.0;

fn cold(number: u8, left_ms: u64) -> Backend {
    Backend {
        cold_left: ms(left_ms),
        slots: 64,
        ..backend(ENGINES, number)
    }
}

/// engines of a service whose cold ones carry few requests
fn fixture(list: Vec<Backend>) -> Fixture {
    let mut fixture = Fixture::new(Vec::new());
    let mut table = table();
    for service in table.services.values_mut() {
        service.cold_start = ms(3_000);
        service.cold_per_s = CARRIED;
    }
    fixture.tell(DispatchEvent::Configured(Arc::new(table)));
    fixture.list(list);
    fixture
}

/// requests that one entry sends to its engines, of one each 10 ms
fn sent_in(fixture: &mut Fixture, time: Duration, first: u64) -> usize {
    let mut sent = 0;
    for step in 0..time.as_millis() as u64 / 10 {
        let ticket = first + step;
        let ask = fixture.new_ask(ENGINES, Some("a"));
        let decided = fixture.ask(ticket, ask);
        sent += sent_to(&decided).len();
        fixture.tell(DispatchEvent::Withdrawn(ticket));
        fixture.end(ticket, SendOutcome::Answered);
        fixture.pass(ms(10));
    }
    sent
}

#[test]
fn a_cold_engine_gets_its_share_and_a_warm_one_all() {
    let mut fixture = fixture(vec![cold(1, 3_000)]);
    fixture.view(1, view("engines-1", &[("a", 1)]));
    // two entries share it, as the view says
    let share = CARRIED / 2.0;
    let sent = sent_in(&mut fixture, ms(3_000), 0);
    assert!(sent >= 4, "{sent} while it was cold");
    assert!(sent as f64 <= share * 3.0 + 1.0, "{sent} while it was cold");
    assert_eq!(sent_in(&mut fixture, ms(1_000), 1_000), 100, "warm");
}

#[test]
fn an_engine_may_become_cold_again_and_is_warm_when_it_says_so() {
    let mut fixture = fixture(vec![cold(1, 0)]);
    fixture.view(1, view("engines-1", &[("a", 1)]));
    assert_eq!(sent_in(&mut fixture, ms(500), 0), 50);
    fixture.list(vec![cold(1, 2_000)]);
    assert!(sent_in(&mut fixture, ms(500), 1_000) <= 3);
    // the same record told again says nothing new
    fixture.list(vec![cold(1, 2_000)]);
    fixture.pass(ms(1_500));
    assert_eq!(sent_in(&mut fixture, ms(500), 2_000), 50);
    fixture.list(vec![cold(1, 1_000)]);
    fixture.list(vec![cold(1, 0)]);
    assert_eq!(sent_in(&mut fixture, ms(500), 3_000), 50);
}

/// its sidecar knows a new life before the list does
#[test]
fn an_engine_that_comes_back_ahead_of_the_list_is_taken_for_cold() {
    let mut fixture = fixture(vec![cold(1, 0)]);
    fixture.view(1, view("engines-1", &[("a", 1)]));
    fixture.view(1, view("engines-1-later", &[("a", 1)]));
    assert!(sent_in(&mut fixture, ms(1_000), 0) <= 5);
}

#[test]
fn a_zone_that_is_to_be_emptied_gets_nothing() {
    let mut other = backend(ENGINES, 2);
    other.zone = "y".to_string();
    let mut fixture = Fixture::new(vec![backend(ENGINES, 1), other]);
    for number in 1..=2 {
        fixture.view(number, view(&format!("engines-{number}"), &[("a", 1)]));
    }
    let zones = |names: &[&str]| {
        let names = names.iter().map(|name| name.to_string());
        DispatchEvent::Evacuated(names.collect::<HashSet<String>>())
    };
    let ask = |fixture: &mut Fixture, ticket: u64| {
        let ask = fixture.new_ask(ENGINES, Some("a"));
        sent_to(&fixture.ask(ticket, ask))
    };
    assert_eq!(ask(&mut fixture, 1), ["engines-1"]);
    fixture.tell(zones(&["z"]));
    assert_eq!(ask(&mut fixture, 2), ["engines-2"]);
    fixture.tell(zones(&["z", "y"]));
    assert!(ask(&mut fixture, 3).is_empty(), "it waits");
    let decided = fixture.tell(zones(&["y"]));
    assert_eq!(sent_to(&decided), ["engines-1"], "what waited is sent");
}

/// entries do not agree on who sends when: their sum has to stay below the collapse
#[test]
fn all_entries_together_stay_below_what_makes_an_engine_collapse() {
    let start = Instant::now();
    for entries in [1u32, 4, 24, 103] {
        for engine in 0..40 {
            let id = format!("engine-{engine}").into();
            let left = Duration::from_secs(4);
            let bounds =
                (0..entries).map(|n| SlowStart::new(&format!("front-{n}"), &id, left, start));
            let mut bounds: Vec<SlowStart> = bounds.collect();
            let mut sent_at = Vec::new();
            for step in 0..400u64 {
                let now = start + ms(step * 10);
                for bound in &mut bounds {
                    bound.refill(
                        SlowStartSettings {
                            requests_per_s: CARRIED,
                        },
                        entries,
                        now,
                    );
                    if bound.admits_request(now) {
                        bound.on_request_sent();
                        sent_at.push(step * 10);
                    }
                }
            }
            let in_a_second = |from: &u64| {
                sent_at
                    .iter()
                    .filter(|at| **at >= *from && **at < from + 1_000)
                    .count()
            };
            let most = sent_at.iter().map(in_a_second).max().unwrap_or(0);
            assert!(
                most as f64 <= MOST_IN_A_SECOND,
                "{most} in a second from {entries} entries"
            );
            assert!(
                sent_at.len() >= 8,
                "{} from {entries} entries",
                sent_at.len()
            );
        }
    }
}

/// Guards against: an engine that is sent all that comes while it is cold, since its record does
/// not say so yet, as while the store is away: its sidecar heard it from the engine itself.
#[test]
fn an_engine_is_cold_by_its_own_word() {
    let mut fixture = fixture(vec![cold(1, 0)]);
    let mut said = view("engines-1", &[("a", 1)]);
    said.figures.cold_left_ms = 3_000;
    fixture.view(1, said);
    let share = CARRIED / 2.0;
    let sent = sent_in(&mut fixture, ms(3_000), 0);
    assert!(sent as f64 <= share * 3.0 + 1.0, "{sent} while it was cold");
    assert_eq!(sent_in(&mut fixture, ms(1_000), 1_000), 100, "warm");
}

/// Guards against: the same where an answer to an entry says so.
#[test]
fn an_engine_is_cold_by_an_answer_to_an_entry() {
    let mut fixture = fixture(vec![cold(1, 0)]);
    fixture.view(1, view("engines-1", &[("a", 1)]));
    let sent = fixture.now;
    fixture.tell(DispatchEvent::Said {
        backend: "engines-1".into(),
        word: BackendSignals::default().with_slow_start_left(Some(ms(2_000))),
        sent,
    });
    let sent = sent_in(&mut fixture, ms(2_000), 0);
    assert!(
        sent as f64 <= CARRIED / 2.0 * 2.0 + 1.0,
        "{sent} while it was cold"
    );
}
