//! Engines in slow start, and zones that are evacuated.
//!
//! Guards against an engine that gets more requests than it can serve after its start, as all
//! entries send to the few engines that already hold an adapter.

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

/// requests per second of an engine in slow start, by the fixture's configuration
const SLOW_START_PER_S: f64 = 8.0;
/// requests in one second above which an engine is overloaded, by the platform's rules
const MAX_IN_ONE_SECOND: f64 = SLOW_START_PER_S * 1.5 + 5.0;

fn engine_in_slow_start(number: u8, left_ms: u64) -> Backend {
    Backend {
        slow_start_left: ms(left_ms),
        slots: 64,
        ..backend(ENGINES, number)
    }
}

/// Returns a fixture whose services limit requests to engines in slow start.
fn fixture(list: Vec<Backend>) -> Fixture {
    let mut fixture = Fixture::new(Vec::new());
    let mut table = table();
    for service in table.services.values_mut() {
        service.slow_start_duration = ms(3_000);
        service.slow_start_per_s = SLOW_START_PER_S;
    }
    fixture.handle(DispatchEvent::ConfigUpdated(Arc::new(table)));
    fixture.update_list(list);
    fixture
}

/// Counts the requests that one entry sends to its engines, with one request each 10 ms.
fn count_sent(fixture: &mut Fixture, time: Duration, first: u64) -> usize {
    let mut sent = 0;
    for step in 0..time.as_millis() as u64 / 10 {
        let ticket = first + step;
        let request = fixture.new_request(ENGINES, Some("a"));
        let decided = fixture.submit(ticket, request);
        sent += sent_to(&decided).len();
        fixture.handle(DispatchEvent::RequestWithdrawn(ticket));
        fixture.end(ticket, SendOutcome::Answered);
        fixture.advance(ms(10));
    }
    sent
}

#[test]
fn an_engine_gets_a_share_in_slow_start_and_all_requests_after_it() {
    let mut fixture = fixture(vec![engine_in_slow_start(1, 3_000)]);
    fixture.view(1, view("engines-1", &[("a", 1)]));
    // by the view, two entries share the rate
    let share = SLOW_START_PER_S / 2.0;
    let sent = count_sent(&mut fixture, ms(3_000), 0);
    assert!(sent >= 4, "{sent} in slow start");
    assert!(sent as f64 <= share * 3.0 + 1.0, "{sent} in slow start");
    assert_eq!(
        count_sent(&mut fixture, ms(1_000), 1_000),
        100,
        "after the slow start"
    );
}

#[test]
fn a_slow_start_may_begin_again_and_ends_when_the_record_says_so() {
    let mut fixture = fixture(vec![engine_in_slow_start(1, 0)]);
    fixture.view(1, view("engines-1", &[("a", 1)]));
    assert_eq!(count_sent(&mut fixture, ms(500), 0), 50);
    fixture.update_list(vec![engine_in_slow_start(1, 2_000)]);
    assert!(count_sent(&mut fixture, ms(500), 1_000) <= 3);
    // an unchanged record doesn't restart the slow start
    fixture.update_list(vec![engine_in_slow_start(1, 2_000)]);
    fixture.advance(ms(1_500));
    assert_eq!(count_sent(&mut fixture, ms(500), 2_000), 50);
    fixture.update_list(vec![engine_in_slow_start(1, 1_000)]);
    fixture.update_list(vec![engine_in_slow_start(1, 0)]);
    assert_eq!(count_sent(&mut fixture, ms(500), 3_000), 50);
}

/// Its sidecar reports a new incarnation before the list does.
#[test]
fn a_restarted_engine_is_in_slow_start_before_it_is_listed() {
    let mut fixture = fixture(vec![engine_in_slow_start(1, 0)]);
    fixture.view(1, view("engines-1", &[("a", 1)]));
    fixture.view(1, view("engines-1-later", &[("a", 1)]));
    assert!(count_sent(&mut fixture, ms(1_000), 0) <= 5);
}

#[test]
fn an_evacuated_zone_gets_no_requests() {
    let mut other = backend(ENGINES, 2);
    other.zone = "y".to_string();
    let mut fixture = Fixture::new(vec![backend(ENGINES, 1), other]);
    for number in 1..=2 {
        fixture.view(number, view(&format!("engines-{number}"), &[("a", 1)]));
    }
    let zones = |names: &[&str]| {
        let names = names.iter().map(|name| name.to_string());
        DispatchEvent::ZonesEvacuated(names.collect::<HashSet<String>>())
    };
    let send_request = |fixture: &mut Fixture, ticket: u64| {
        let request = fixture.new_request(ENGINES, Some("a"));
        sent_to(&fixture.submit(ticket, request))
    };
    assert_eq!(send_request(&mut fixture, 1), ["engines-1"]);
    fixture.handle(zones(&["z"]));
    assert_eq!(send_request(&mut fixture, 2), ["engines-2"]);
    fixture.handle(zones(&["z", "y"]));
    assert!(
        send_request(&mut fixture, 3).is_empty(),
        "the request waits"
    );
    let decided = fixture.handle(zones(&["y"]));
    assert_eq!(
        sent_to(&decided),
        ["engines-1"],
        "the waiting request is sent"
    );
}

/// Guards against: entries that together overload an engine, as they don't coordinate their
/// requests.
#[test]
fn all_entries_together_do_not_overload_an_engine_in_slow_start() {
    let start = Instant::now();
    for entries in [1u32, 4, 24, 103] {
        for engine in 0..40 {
            let id = format!("engine-{engine}").into();
            let left = Duration::from_secs(4);
            let slow_starts =
                (0..entries).map(|n| SlowStart::new(&format!("front-{n}"), &id, left, start));
            let mut slow_starts: Vec<SlowStart> = slow_starts.collect();
            let mut sent_at = Vec::new();
            for step in 0..400u64 {
                let now = start + ms(step * 10);
                for slow_start in &mut slow_starts {
                    slow_start.refill(
                        SlowStartSettings {
                            requests_per_s: SLOW_START_PER_S,
                        },
                        entries,
                        now,
                    );
                    if slow_start.admits_request(now) {
                        slow_start.on_request_sent();
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
            let max_sent = sent_at.iter().map(in_a_second).max().unwrap_or(0);
            assert!(
                max_sent as f64 <= MAX_IN_ONE_SECOND,
                "{max_sent} in one second from {entries} entries"
            );
            assert!(
                sent_at.len() >= 8,
                "{} from {entries} entries",
                sent_at.len()
            );
        }
    }
}

/// Guards against: an engine that gets all requests in slow start, as its record doesn't show it
/// yet while the store is down. Its sidecar has it from the engine itself.
#[test]
fn an_engine_is_in_slow_start_by_its_sidecars_report() {
    let mut fixture = fixture(vec![engine_in_slow_start(1, 0)]);
    let mut reported = view("engines-1", &[("a", 1)]);
    reported.figures.cold_left_ms = 3_000;
    fixture.view(1, reported);
    let share = SLOW_START_PER_S / 2.0;
    let sent = count_sent(&mut fixture, ms(3_000), 0);
    assert!(sent as f64 <= share * 3.0 + 1.0, "{sent} in slow start");
    assert_eq!(
        count_sent(&mut fixture, ms(1_000), 1_000),
        100,
        "after the slow start"
    );
}

/// Guards against: the same where a response to an entry reports the slow start.
#[test]
fn an_engine_is_in_slow_start_by_its_response_to_an_entry() {
    let mut fixture = fixture(vec![engine_in_slow_start(1, 0)]);
    fixture.view(1, view("engines-1", &[("a", 1)]));
    let sent = fixture.now;
    fixture.handle(DispatchEvent::SignalReceived {
        backend: "engines-1".into(),
        signal: BackendSignals::default().with_slow_start_left(Some(ms(2_000))),
        sent_at: sent,
    });
    let sent = count_sent(&mut fixture, ms(2_000), 0);
    assert!(
        sent as f64 <= SLOW_START_PER_S / 2.0 * 2.0 + 1.0,
        "{sent} in slow start"
    );
}
