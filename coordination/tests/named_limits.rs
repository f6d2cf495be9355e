//! Rate limits that back ends advertise, for all entries together.
//!
//! Guards against entries that don't read the limit, or that each use the full rate.

mod dispatch_fixture;

use {
    chalkcart_coordination::{
        backend_admission::{AdvertisedLimit, LimitSharing},
        backend_signals::{BackendSignals, LimitSignal, RequestRate},
        dispatch::{Decision, DispatchEvent, RejectionCause, SendOutcome, Ticket},
    },
    chalkcart_state::backends::{Backend, BackendId},
    dispatch_fixture::*,
    quickcheck::{quickcheck, TestResult},
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::time::{Duration, Instant},
};

/// interval over which requests are counted against a limit
const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(10);

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).expect("a rate")
}
fn advertised(per_s: f64) -> LimitSignal {
    LimitSignal::Advertised(rate(per_s))
}
fn limited(per_s: f64) -> BackendSignals {
    BackendSignals::default().with_limit(advertised(per_s))
}
fn max_in_window(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Delivers the signals of a response that arrives now, to a request sent at `sent`.
fn receive_signals(fixture: &mut Fixture, backend: &str, signals: BackendSignals, sent: Instant) {
    let backend = BackendId::from(backend);
    fixture.handle(DispatchEvent::SignalReceived {
        backend,
        signal: signals,
        sent_at: sent,
    });
}
fn receive_signals_now(fixture: &mut Fixture, backend: &str, signals: BackendSignals) {
    let sent = fixture.now;
    receive_signals(fixture, backend, signals, sent);
}

fn two_plain() -> Vec<Backend> {
    vec![backend(PLAIN, 1), backend(PLAIN, 2)]
}

/// Returns a fixture in which a sidecar counts one entry, so that its share is the full limit.
fn single_entry_fixture(list: Vec<Backend>) -> Fixture {
    let mut list = list;
    list.push(backend(ENGINES, 9));
    let mut fixture = Fixture::new(list);
    let mut counted = view("engines-9", &[]);
    counted.figures.entries = 1;
    fixture.view(9, counted);
    fixture
}

/// Counts the requests that go to a back end, with one request for the plain service each 10 ms.
fn count_sent(fixture: &mut Fixture, time: Duration, backend: &str, first: Ticket) -> usize {
    let mut sent = 0;
    for step in 0..(time.as_millis() / STEP.as_millis()) as u64 {
        let ticket = first + step;
        let request = fixture.new_request(PLAIN, None);
        let decided = fixture.submit(ticket, request);
        sent += sent_to(&decided).iter().filter(|b| *b == backend).count();
        fixture.handle(DispatchEvent::RequestWithdrawn(ticket));
        fixture.end(ticket, SendOutcome::Answered);
        fixture.advance(STEP);
    }
    sent
}

fn refusals(decisions: &[(Ticket, Decision)]) -> Vec<(RejectionCause, Duration)> {
    let refused = decisions.iter().filter_map(|(_, d)| match d {
        Decision::Reject {
            cause, retry_after, ..
        } => Some((*cause, *retry_after)),
        Decision::Send(_) => None,
    });
    refused.collect()
}

/// Guards against: a known limit that is not enforced.
#[test]
fn a_back_end_gets_no_more_than_its_limit_and_another_gets_the_remainder() {
    let mut fixture = single_entry_fixture(two_plain());
    receive_signals_now(&mut fixture, "plain-1", limited(2.0));
    let sent = count_sent(&mut fixture, WINDOW, "plain-1", 0);
    assert!(sent <= max_in_window(2.0), "{sent}");
    assert_eq!(count_sent(&mut fixture, WINDOW, "plain-2", 1_000), 400);
}

/// Guards against: a limit that is enforced after the back end has lifted it, and one that is
/// lifted by a response older than the limit.
#[test]
fn a_limit_is_lifted_by_a_response_that_is_certainly_newer() {
    let mut fixture = single_entry_fixture(vec![backend(PLAIN, 1)]);
    let before = fixture.now;
    fixture.advance(ms(10));
    receive_signals_now(&mut fixture, "plain-1", limited(2.0));
    receive_signals(&mut fixture, "plain-1", BackendSignals::default(), before);
    let sent = count_sent(&mut fixture, WINDOW, "plain-1", 0);
    assert!(sent <= max_in_window(2.0), "{sent}");
    receive_signals_now(&mut fixture, "plain-1", BackendSignals::default());
    let sent = count_sent(&mut fixture, ms(1_000), "plain-1", 1_000);
    assert_eq!(sent, 100);
}

/// Guards against: a limit that is lost while its back end is missing from the list.
#[test]
fn a_limit_is_kept_while_its_back_end_is_not_listed() {
    let mut fixture = single_entry_fixture(two_plain());
    receive_signals_now(&mut fixture, "plain-1", limited(1.0));
    fixture.update_list(vec![backend(PLAIN, 2), backend(ENGINES, 9)]);
    fixture.advance(ms(500));
    let mut relisted = two_plain();
    relisted.push(backend(ENGINES, 9));
    fixture.update_list(relisted);
    let sent = count_sent(&mut fixture, WINDOW, "plain-1", 0);
    assert!(sent <= max_in_window(1.0), "{sent}");
}

/// Guards against: a share that isn't updated to the number of entries, as frequent events leave
/// no time for a tick.
#[test]
fn a_share_follows_the_number_of_entries_without_a_tick() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1), backend(ENGINES, 9)]);
    receive_signals_now(&mut fixture, "plain-1", limited(2.0));
    let mut counted = view("engines-9", &[]);
    counted.figures.entries = 1;
    fixture.view(9, counted);
    let mut sent = 0;
    for ticket in 0..800 {
        fixture.now += STEP;
        let request = fixture.new_request(PLAIN, None);
        sent += sent_to(&fixture.submit(ticket, request)).len();
        fixture.handle(DispatchEvent::RequestWithdrawn(ticket));
        fixture.end(ticket, SendOutcome::Answered);
    }
    assert!(sent >= 12, "{sent} of 16 in 8 s");
}

/// Guards against: a limit that is applied to another incarnation, or to another back end.
#[test]
fn a_limit_applies_to_one_incarnation_of_one_back_end() {
    let mut fixture = single_entry_fixture(two_plain());
    receive_signals_now(&mut fixture, "plain-1", limited(0.0));
    let restarted = Backend {
        id: "plain-3".into(),
        ..backend(PLAIN, 1)
    };
    fixture.update_list(vec![restarted, backend(ENGINES, 9)]);
    assert_eq!(count_sent(&mut fixture, ms(500), "plain-3", 0), 50);
}

/// Guards against: requests that are queued although they can't be served in time, and rejected
/// requests that all return at once.
#[test]
fn requests_that_cannot_be_sent_in_time_are_rejected_with_separate_retry_times() {
    let mut fixture = single_entry_fixture(vec![backend(PLAIN, 1)]);
    receive_signals_now(&mut fixture, "plain-1", limited(1.0));
    let mut rejected = Vec::new();
    for ticket in 0..4 {
        let request = fixture.new_request(PLAIN, None);
        rejected.extend(refusals(&fixture.submit(ticket, request)));
    }
    assert!(rejected
        .iter()
        .all(|(cause, _)| *cause == RejectionCause::RateLimited));
    let after: Vec<Duration> = rejected.iter().map(|(_, after)| *after).collect();
    assert_eq!(after.len(), 4);
    let is_spread = after.windows(2).all(|w| w[1] >= w[0] + ms(900));
    assert!(is_spread, "{after:?}");
}

/// Guards against: a request that is rejected although it could be sent within its maximum wait.
#[test]
fn a_request_that_can_be_sent_in_time_waits() {
    let mut fixture = single_entry_fixture(vec![backend(PLAIN, 1)]);
    receive_signals_now(&mut fixture, "plain-1", limited(4.0));
    fixture.advance(ms(2_000));
    for ticket in 0..2 {
        let request = fixture.new_request(PLAIN, None);
        let decided = fixture.submit(ticket, request);
        assert!(refusals(&decided).is_empty(), "{decided:?}");
    }
    // one is sent at once, the other after a quarter of a second
    let sent_later = (0..12)
        .flat_map(|_| sent_to(&fixture.advance(ms(25))))
        .count();
    assert_eq!(sent_later, 1);
}

/// Guards against: urgent requests that wait behind less urgent ones that arrived earlier.
#[test]
fn urgent_requests_are_sent_first() {
    let mut fixture = single_entry_fixture(vec![backend(PLAIN, 1)]);
    receive_signals_now(&mut fixture, "plain-1", limited(4.0));
    for (ticket, priority) in [(1, 2), (2, 2), (3, 2), (4, 0)] {
        let mut request = fixture.new_request(PLAIN, None);
        request.priority = priority;
        request.target_latency = ms(1_000);
        fixture.submit(ticket, request);
    }
    let sent = (0..80).flat_map(|_| fixture.advance(ms(25)));
    let sent: Vec<Ticket> = sent.map(|(ticket, _)| ticket).collect();
    assert_eq!(sent.first(), Some(&4));
}

/// Guards against: prompts that wait for an engine with a very low limit, while others could
/// load their adapter.
#[test]
fn an_adapter_of_a_limited_engine_is_loaded_on_another_engine() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", 1)]));
    receive_signals_now(&mut fixture, "engines-1", limited(0.2));
    let request = fixture.new_request(ENGINES, Some("a"));
    assert!(fixture.submit(1, request).is_empty());
    let homes = fixture.homes("a");
    assert_eq!(homes.len(), 1);
    assert_ne!(homes, ["engines-1"]);
    let number = homes[0].trim_start_matches("engines-").parse().expect("3");
    let sent = sent_to(&fixture.view(number, view(&homes[0], &[("a", 1)])));
    assert_eq!(sent, homes);
}

/// Guards against: new adapters that are placed on engines with a very low limit.
#[test]
fn a_limited_engine_is_no_home_while_another_is_available() {
    let mut fixture = fixture_with_views();
    receive_signals_now(&mut fixture, "engines-1", limited(1.0));
    for (ticket, name) in (0..).zip(["a", "b", "c", "d", "e"]) {
        let request = fixture.new_request(ENGINES, Some(name));
        fixture.submit(ticket, request);
        assert!(!fixture.homes(name).contains(&"engines-1".to_string()));
    }
}

/// Returns the maximum number of requests that the entries send within a window, and their total.
fn simulate(per_s: f64, entries: u32, seconds: u64, seed: u64) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let begun = Instant::now();
    let mut limits: Vec<AdvertisedLimit> = Vec::new();
    for _ in 0..entries {
        let sharing = LimitSharing {
            entries,
            phase: rng.random(),
            has_issuer: false,
            is_engine: false,
        };
        let mut limit = AdvertisedLimit::default();
        // each entry receives the limit in a response of its own
        let received = begun + Duration::from_millis(rng.random_range(0..500));
        limit.on_signal(advertised(per_s), received, sharing, received);
        limits.push(limit);
    }
    let mut sent = Vec::new();
    for step in 0..seconds * 100 {
        let now = begun + Duration::from_millis(500 + step * 10);
        // quiet seconds in which all entries accumulate, then high demand at all of them
        let has_demand = step / 700 % 2 == 1 || rng.random_range(0..4) == 0;
        for limit in limits.iter_mut().filter(|_| has_demand) {
            if limit.admits_request(now) {
                limit.on_request_sent(now);
                sent.push(now);
            }
        }
    }
    (max_within_window(&sent), sent.len())
}

fn max_within_window(sent: &[Instant]) -> usize {
    let mut first = 0;
    let within = sent.iter().enumerate().map(|(last, at)| {
        while *at - sent[first] >= WINDOW {
            first += 1;
        }
        last - first + 1
    });
    within.max().unwrap_or(0)
}

/// Guards against: shares of many entries that add up to more than the limit.
#[test]
fn all_entries_together_stay_within_the_limit() {
    for entries in [1, 2, 4, 5, 9, 25, 46, 103, 350] {
        for per_s in [0.0, 0.1, 1.0, 2.1, 5.0, 30.0] {
            for seed in 0..4 {
                let (max_sent, _) = simulate(per_s, entries, 60, seed);
                assert!(
                    max_sent <= max_in_window(per_s),
                    "{max_sent} of {entries} entries at {per_s} per second, seed {seed}"
                );
            }
        }
    }
}

/// Guards against: a limit that is enforced and mostly unused.
#[test]
fn a_few_entries_under_high_demand_use_the_limit() {
    for entries in [1, 2, 4] {
        let (_, sent) = simulate(5.0, entries, 60, 7);
        assert!(sent >= 240, "{sent} of 300 by {entries} entries");
    }
}

quickcheck! {
    /// Guards against: signals in any order that leave a limit above the newest one.
    fn signals_in_any_order(signals: Vec<(u8, u16)>) -> TestResult {
        let begun = Instant::now();
        let sharing = LimitSharing {
            entries: 3,
            phase: 0.5,
            has_issuer: false,
            is_engine: false,
        };
        let mut limit = AdvertisedLimit::default();
        let mut now = begun;
        for (kind, delay_ms) in signals {
            now += ms(50);
            let sent = now.checked_sub(ms(u64::from(delay_ms % 200))).unwrap_or(now);
            let signal = match kind % 3 {
                0 => LimitSignal::Absent,
                1 => LimitSignal::Unreadable,
                _ => advertised(f64::from(kind)),
            };
            let before = limit.effective_rate();
            limit.on_signal(signal, sent, sharing, now);
            let is_sound = match signal {
                LimitSignal::Unreadable => limit.effective_rate() == before,
                LimitSignal::Absent => {
                    limit.effective_rate().is_none() || limit.effective_rate() == before
                }
                LimitSignal::Advertised(rate) => {
                    limit.effective_rate().is_some_and(|known| known <= rate)
                }
            };
            if !is_sound {
                return TestResult::failed();
            }
        }
        // a response that is certainly newer lifts it
        now += ms(1);
        limit.on_signal(LimitSignal::Absent, now, sharing, now);
        TestResult::from_bool(limit.effective_rate().is_none() && limit.admits_request(now))
    }
}
