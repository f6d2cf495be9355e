//! Back ends that name how many requests a second they take, from all entries together.
//!
//! Seen: engines that had named 2.2 and 1 a second got 22 and 12 requests within 4 s.
//! Cause: of the head of an answer the limit was not read, and no entry counted for all.

mod dispatch_fixture;

use {
    chalkcart_coordination::{
        backend_admission::{AdvertisedLimit, LimitSharing},
        backend_signals::{BackendSignals, LimitSignal, RequestRate},
        dispatch::{Decision, DispatchEvent, RefusalCause, SendOutcome, Ticket},
    },
    chalkcart_state::backends::{Backend, BackendId},
    dispatch_fixture::*,
    quickcheck::{quickcheck, TestResult},
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::time::{Duration, Instant},
};

/// time over which requests are counted against a limit
const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(10);

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).expect("a rate")
}
fn named(per_s: f64) -> LimitSignal {
    LimitSignal::Advertised(rate(per_s))
}
fn limited(per_s: f64) -> BackendSignals {
    BackendSignals::default().with_limit(named(per_s))
}
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// an answer to a request that was sent at this moment, and came now
fn say(fixture: &mut Fixture, backend: &str, word: BackendSignals, sent: Instant) {
    let backend = BackendId::from(backend);
    fixture.tell(DispatchEvent::Said {
        backend,
        word,
        sent,
    });
}
fn say_now(fixture: &mut Fixture, backend: &str, word: BackendSignals) {
    let sent = fixture.now;
    say(fixture, backend, word, sent);
}

fn two_plain() -> Vec<Backend> {
    vec![backend(PLAIN, 1), backend(PLAIN, 2)]
}

/// an engine's sidecar counts one entry, so that its share is the whole limit
fn alone(list: Vec<Backend>) -> Fixture {
    let mut list = list;
    list.push(backend(ENGINES, 9));
    let mut fixture = Fixture::new(list);
    let mut counted = view("engines-9", &[]);
    counted.figures.entries = 1;
    fixture.view(9, counted);
    fixture
}

/// requests of the plain service that go to a back end within some time, one asked each 10 ms
fn sent_within(fixture: &mut Fixture, time: Duration, backend: &str, first: Ticket) -> usize {
    let mut sent = 0;
    for step in 0..(time.as_millis() / STEP.as_millis()) as u64 {
        let ticket = first + step;
        let ask = fixture.new_ask(PLAIN, None);
        let decided = fixture.ask(ticket, ask);
        sent += sent_to(&decided).iter().filter(|b| *b == backend).count();
        fixture.tell(DispatchEvent::Withdrawn(ticket));
        fixture.end(ticket, SendOutcome::Answered);
        fixture.pass(STEP);
    }
    sent
}

fn refusals(decisions: &[(Ticket, Decision)]) -> Vec<(RefusalCause, Duration)> {
    let refused = decisions.iter().filter_map(|(_, d)| match d {
        Decision::Refuse {
            cause, retry_after, ..
        } => Some((*cause, *retry_after)),
        Decision::Send(_) => None,
    });
    refused.collect()
}

/// Guards against: a limit that is known and not kept.
#[test]
fn a_copy_gets_no_more_than_it_names_and_another_takes_the_rest() {
    let mut fixture = alone(two_plain());
    say_now(&mut fixture, "plain-1", limited(2.0));
    let sent = sent_within(&mut fixture, WINDOW, "plain-1", 0);
    assert!(sent <= allowed(2.0), "{sent}");
    assert_eq!(sent_within(&mut fixture, WINDOW, "plain-2", 1_000), 400);
}

/// Guards against: a limit that is kept when the back end no longer names it, and one that is
/// taken for over by an answer that was written before it was named.
#[test]
fn it_ends_with_an_answer_that_was_surely_written_later() {
    let mut fixture = alone(vec![backend(PLAIN, 1)]);
    let before = fixture.now;
    fixture.pass(ms(10));
    say_now(&mut fixture, "plain-1", limited(2.0));
    say(&mut fixture, "plain-1", BackendSignals::default(), before);
    let sent = sent_within(&mut fixture, WINDOW, "plain-1", 0);
    assert!(sent <= allowed(2.0), "{sent}");
    say_now(&mut fixture, "plain-1", BackendSignals::default());
    let sent = sent_within(&mut fixture, ms(1_000), "plain-1", 1_000);
    assert_eq!(sent, 100);
}

/// Guards against: a limit that an entry forgets while the record of its back end is away.
#[test]
fn it_outlives_the_record_of_its_back_end() {
    let mut fixture = alone(two_plain());
    say_now(&mut fixture, "plain-1", limited(1.0));
    fixture.list(vec![backend(PLAIN, 2), backend(ENGINES, 9)]);
    fixture.pass(ms(500));
    let mut again = two_plain();
    again.push(backend(ENGINES, 9));
    fixture.list(again);
    let sent = sent_within(&mut fixture, WINDOW, "plain-1", 0);
    assert!(sent <= allowed(1.0), "{sent}");
}

/// Guards against: a part of a limit that stays that of more entries than there are, since other
/// events come so often that no tick does.
#[test]
fn a_part_is_that_of_the_entries_that_are_counted_also_without_a_tick() {
    let mut fixture = Fixture::new(vec![backend(PLAIN, 1), backend(ENGINES, 9)]);
    say_now(&mut fixture, "plain-1", limited(2.0));
    let mut counted = view("engines-9", &[]);
    counted.figures.entries = 1;
    fixture.view(9, counted);
    let mut sent = 0;
    for ticket in 0..800 {
        fixture.now += STEP;
        let ask = fixture.new_ask(PLAIN, None);
        sent += sent_to(&fixture.ask(ticket, ask)).len();
        fixture.tell(DispatchEvent::Withdrawn(ticket));
        fixture.end(ticket, SendOutcome::Answered);
    }
    assert!(sent >= 12, "{sent} of 16 in 8 s");
}

/// Guards against: a limit of one life that binds the next, or of one back end another.
#[test]
fn it_binds_one_life_of_one_back_end() {
    let mut fixture = alone(two_plain());
    say_now(&mut fixture, "plain-1", limited(0.0));
    let reborn = Backend {
        id: "plain-3".into(),
        ..backend(PLAIN, 1)
    };
    fixture.list(vec![reborn, backend(ENGINES, 9)]);
    assert_eq!(sent_within(&mut fixture, ms(500), "plain-3", 0), 50);
}

/// Guards against: what only limited ones could serve is held for nothing, and all that are
/// refused come back together.
#[test]
fn what_comes_too_late_is_refused_at_once_and_told_one_turn_each() {
    let mut fixture = alone(vec![backend(PLAIN, 1)]);
    say_now(&mut fixture, "plain-1", limited(1.0));
    let mut told = Vec::new();
    for ticket in 0..4 {
        let ask = fixture.new_ask(PLAIN, None);
        told.extend(refusals(&fixture.ask(ticket, ask)));
    }
    assert!(told
        .iter()
        .all(|(cause, _)| *cause == RefusalCause::Limited));
    let after: Vec<Duration> = told.iter().map(|(_, after)| *after).collect();
    assert_eq!(after.len(), 4);
    let apart = after.windows(2).all(|w| w[1] >= w[0] + ms(900));
    assert!(apart, "{after:?}");
}

/// Guards against: a request that is refused though its turn comes within its wait.
#[test]
fn a_turn_that_comes_in_time_is_waited_for() {
    let mut fixture = alone(vec![backend(PLAIN, 1)]);
    say_now(&mut fixture, "plain-1", limited(4.0));
    fixture.pass(ms(2_000));
    for ticket in 0..2 {
        let ask = fixture.new_ask(PLAIN, None);
        let decided = fixture.ask(ticket, ask);
        assert!(refusals(&decided).is_empty(), "{decided:?}");
    }
    // one at once, the other a quarter of a second later
    let later = (0..12).flat_map(|_| sent_to(&fixture.pass(ms(25)))).count();
    assert_eq!(later, 1);
}

/// Guards against: the more urgent wait behind those that came before them.
#[test]
fn the_more_urgent_have_the_earlier_turns() {
    let mut fixture = alone(vec![backend(PLAIN, 1)]);
    say_now(&mut fixture, "plain-1", limited(4.0));
    for (ticket, priority) in [(1, 2), (2, 2), (3, 2), (4, 0)] {
        let mut ask = fixture.new_ask(PLAIN, None);
        ask.priority = priority;
        ask.target_latency = ms(1_000);
        fixture.ask(ticket, ask);
    }
    let sent = (0..80).flat_map(|_| fixture.pass(ms(25)));
    let sent: Vec<Ticket> = sent.map(|(ticket, _)| ticket).collect();
    assert_eq!(sent.first(), Some(&4));
}

/// Guards against: prompts that wait for an engine which takes next to nothing, while others
/// could load their adapter.
#[test]
fn an_adapter_of_limited_engines_is_loaded_elsewhere() {
    let mut fixture = fixture_with_views();
    fixture.view(1, view("engines-1", &[("a", 1)]));
    say_now(&mut fixture, "engines-1", limited(0.2));
    let ask = fixture.new_ask(ENGINES, Some("a"));
    assert!(fixture.ask(1, ask).is_empty());
    let homes = fixture.homes("a");
    assert_eq!(homes.len(), 1);
    assert_ne!(homes, ["engines-1"]);
    let number = homes[0].trim_start_matches("engines-").parse().expect("3");
    let sent = sent_to(&fixture.view(number, view(&homes[0], &[("a", 1)])));
    assert_eq!(sent, homes);
}

/// Guards against: new adapters are placed at engines that take next to nothing.
#[test]
fn a_limited_engine_is_no_home_while_another_is() {
    let mut fixture = fixture_with_views();
    say_now(&mut fixture, "engines-1", limited(1.0));
    for (ticket, name) in (0..).zip(["a", "b", "c", "d", "e"]) {
        let ask = fixture.new_ask(ENGINES, Some(name));
        fixture.ask(ticket, ask);
        assert!(!fixture.homes(name).contains(&"engines-1".to_string()));
    }
}

/// the most requests that entries send within any window, and how many in all
fn simulate(per_s: f64, entries: u32, seconds: u64, seed: u64) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let begun = Instant::now();
    let mut limits: Vec<AdvertisedLimit> = Vec::new();
    for _ in 0..entries {
        let sharers = LimitSharing {
            entries,
            phase: rng.random(),
            has_issuer: false,
            is_engine: false,
        };
        let mut limit = AdvertisedLimit::default();
        // each hears of it with an answer of its own
        let told = begun + Duration::from_millis(rng.random_range(0..500));
        limit.on_signal(named(per_s), told, sharers, told);
        limits.push(limit);
    }
    let mut sent = Vec::new();
    for step in 0..seconds * 100 {
        let now = begun + Duration::from_millis(500 + step * 10);
        // calm seconds in which all save up, then all are pressed at once
        let is_pressed = step / 700 % 2 == 1 || rng.random_range(0..4) == 0;
        for limit in limits.iter_mut().filter(|_| is_pressed) {
            if limit.admits_request(now) {
                limit.on_request_sent(now);
                sent.push(now);
            }
        }
    }
    (most_within_window(&sent), sent.len())
}

fn most_within_window(sent: &[Instant]) -> usize {
    let mut first = 0;
    let within = sent.iter().enumerate().map(|(last, at)| {
        while *at - sent[first] >= WINDOW {
            first += 1;
        }
        last - first + 1
    });
    within.max().unwrap_or(0)
}

/// Guards against: the parts of many entries add up to more than the back end takes.
#[test]
fn all_entries_together_stay_within_what_is_allowed() {
    for entries in [1, 2, 4, 5, 9, 25, 46, 103, 350] {
        for per_s in [0.0, 0.1, 1.0, 2.1, 5.0, 30.0] {
            for seed in 0..4 {
                let (most, _) = simulate(per_s, entries, 60, seed);
                assert!(
                    most <= allowed(per_s),
                    "{most} of {entries} entries at {per_s} a second, seed {seed}"
                );
            }
        }
    }
}

/// Guards against: a limit that is kept and hardly used.
#[test]
fn a_few_entries_that_are_all_pressed_use_it() {
    for entries in [1, 2, 4] {
        let (_, sent) = simulate(5.0, entries, 60, 7);
        assert!(sent >= 240, "{sent} of 300 by {entries} entries");
    }
}

quickcheck! {
    /// whatever an engine says, in whatever order, a limit is as it said last or lower
    fn words_in_any_order(words: Vec<(u8, u16)>) -> TestResult {
        let begun = Instant::now();
        let sharers = LimitSharing {
            entries: 3,
            phase: 0.5,
            has_issuer: false,
            is_engine: false,
        };
        let mut limit = AdvertisedLimit::default();
        let mut now = begun;
        for (kind, back_ms) in words {
            now += ms(50);
            let sent = now.checked_sub(ms(u64::from(back_ms % 200))).unwrap_or(now);
            let word = match kind % 3 {
                0 => LimitSignal::Absent,
                1 => LimitSignal::Unreadable,
                _ => named(f64::from(kind)),
            };
            let before = limit.effective_rate();
            limit.on_signal(word, sent, sharers, now);
            let is_sound = match word {
                LimitSignal::Unreadable => limit.effective_rate() == before,
                LimitSignal::Absent => limit.effective_rate().is_none() || limit.effective_rate() == before,
                LimitSignal::Advertised(rate) => limit.effective_rate().is_some_and(|known| known <= rate),
            };
            if !is_sound {
                return TestResult::failed();
            }
        }
        // a later answer settles it
        now += ms(1);
        limit.on_signal(LimitSignal::Absent, now, sharers, now);
        TestResult::from_bool(limit.effective_rate().is_none() && limit.admits_request(now))
    }
}
