//! Requests that crash engines: detection of crashes, and verdicts of the registry.

mod dispatch_fixture;

use {
    chalkcart_coordination::{
        crashes::{
            CrashRegistry, EngineCrash, RequestVerdict, BLOCKED_AFTER_CRASHES, MAX_TRACKED_REQUESTS,
        },
        dispatch::{DispatchEvent, DispatchRequest, SendOutcome},
        membership::stable_hash,
    },
    chalkcart_protocol::peer::{CrashEvent, CrashReport, EngineView},
    chalkcart_state::{backends::Backend, ingress::RequestDigest, published::StorePosition},
    dispatch_fixture::*,
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

const ENGINE: &str = "engines-1";

fn request_of(fixture: &Fixture, body: &str) -> DispatchRequest {
    DispatchRequest {
        digest: digest(body),
        ..fixture.new_request(ENGINES, Some("a"))
    }
}

/// Creates a fixture with one engine that runs these requests.
fn with_runs(bodies: &[&str]) -> Fixture {
    let mut fixture = Fixture::new(vec![backend(ENGINES, 1)]);
    fixture.view(1, view(ENGINE, &[("a", 1)]));
    for (ticket, body) in bodies.iter().enumerate() {
        let request = request_of(&fixture, body);
        assert_eq!(sent_to(&fixture.submit(ticket as u64, request)), [ENGINE]);
    }
    fixture
}

fn with_engine_down(mut view: EngineView) -> EngineView {
    view.figures.is_down = Some(true);
    view
}

fn leaving() -> Backend {
    Backend {
        leaving: true,
        ..backend(ENGINES, 1)
    }
}

/// Returns the requests to which crashes have been attributed since the last call.
fn suspected(fixture: &mut Fixture) -> Vec<RequestDigest> {
    let crashes: Vec<EngineCrash> = fixture.dispatcher.take_crashes();
    let runs = crashes.iter().flat_map(|crash| &crash.runs);
    let mut digests: Vec<RequestDigest> = runs.map(|run| run.digest).collect();
    digests.sort_unstable();
    digests
}

fn sorted(bodies: &[&str]) -> Vec<RequestDigest> {
    let mut digests: Vec<RequestDigest> = bodies.iter().map(|b| digest(b)).collect();
    digests.sort_unstable();
    digests
}

#[test]
fn a_crash_is_confirmed_by_the_sidecar_the_list_or_the_engine() {
    type Confirmation = (&'static str, fn(&mut Fixture));
    let confirmations: [Confirmation; 5] = [
        ("its sidecar can't connect to it", |f| {
            f.view(1, with_engine_down(view(ENGINE, &[("a", 1)])));
        }),
        ("its sidecar reads another incarnation", |f| {
            f.view(1, view("engines-1-later", &[]));
        }),
        ("it is not listed and its sidecar is unresponsive", |f| {
            f.handle(DispatchEvent::ViewLost(ENGINE.into()));
            f.update_list(Vec::new());
        }),
        ("another incarnation responds at its address", |f| {
            let request = request_of(f, "third");
            f.submit(9, request);
            f.end(9, SendOutcome::Superseded);
        }),
        (
            "its end was reported before the runs were interrupted",
            |f| {
                f.view(1, with_engine_down(view(ENGINE, &[("a", 1)])));
                let request = request_of(f, "one");
                f.submit(9, request);
            },
        ),
    ];
    for (name, confirm) in confirmations {
        let mut fixture = with_runs(&["one", "other"]);
        fixture.end(0, SendOutcome::Broken);
        fixture.end(1, SendOutcome::Broken);
        assert!(
            suspected(&mut fixture).is_empty(),
            "{name}: not confirmed yet"
        );
        confirm(&mut fixture);
        assert_eq!(suspected(&mut fixture), sorted(&["one", "other"]), "{name}");
    }
}

/// Guards against requests that are blocked as crashing engines which a restored store lacks.
#[test]
fn an_engine_that_a_restored_store_lacks_has_not_crashed() {
    let mut fixture = with_runs(&["one"]);
    fixture.end(0, SendOutcome::Broken);
    fixture.handle(DispatchEvent::ViewLost(ENGINE.into()));
    fixture.handle(DispatchEvent::ListUpdated {
        at: StorePosition::new(2, 1),
        list: Vec::new(),
    });
    assert!(suspected(&mut fixture).is_empty());
}

/// Guards against a crash that looks like the end of a response and clears the request.
#[test]
fn a_response_that_its_connection_ended_counts_once_its_engine_survived() {
    let mut crashed = with_runs(&["one"]);
    crashed.end(0, SendOutcome::Closed);
    assert_eq!(crashed.dispatcher.take_completed(), []);
    crashed.view(1, with_engine_down(view(ENGINE, &[("a", 1)])));
    assert_eq!(suspected(&mut crashed), sorted(&["one"]));
    assert!(crashed.dispatcher.take_survived_runs().is_empty());
    let mut survived = with_runs(&["one"]);
    survived.end(0, SendOutcome::Closed);
    survived.advance(ms(1_100));
    survived.view(1, view(ENGINE, &[("a", 1)]));
    let runs = survived.dispatcher.take_survived_runs();
    let completed: Vec<RequestDigest> = runs.iter().map(|run| run.digest).collect();
    assert_eq!(completed, sorted(&["one"]));
    survived.view(1, with_engine_down(view(ENGINE, &[("a", 1)])));
    assert_eq!(suspected(&mut survived), []);
}

#[test]
fn other_failures_suspect_no_request() {
    type OtherFailure = (&'static str, fn(&mut Fixture));
    let steps: [OtherFailure; 5] = [
        ("a connection reset that the engine survives", |f| {
            f.end(0, SendOutcome::Broken);
            f.advance(ms(1_100));
            f.view(1, view(ENGINE, &[("a", 1)]));
            f.advance(ms(100));
            f.view(1, with_engine_down(view(ENGINE, &[("a", 1)])));
        }),
        ("a failure with a complete response", |f| {
            f.end(0, SendOutcome::Failed);
            f.view(1, with_engine_down(view(ENGINE, &[("a", 1)])));
        }),
        ("a client that disconnected", |f| {
            f.end(0, SendOutcome::Abandoned);
            f.view(1, with_engine_down(view(ENGINE, &[("a", 1)])));
        }),
        ("a planned shutdown", |f| {
            f.update_list(vec![leaving()]);
            f.end(0, SendOutcome::Broken);
            f.view(1, with_engine_down(view(ENGINE, &[("a", 1)])));
        }),
        ("an end long after the interruption", |f| {
            f.end(0, SendOutcome::Broken);
            f.advance(ms(6_000));
            f.view(1, with_engine_down(view(ENGINE, &[("a", 1)])));
        }),
    ];
    for (name, step) in steps {
        let mut fixture = with_runs(&["one"]);
        step(&mut fixture);
        assert_eq!(suspected(&mut fixture), [], "{name}");
    }
}

/// Stats without `is_down` may date from before a crash and must not clear a request.
#[test]
fn stats_without_the_engine_state_are_no_evidence() {
    let without_state = || {
        let mut without_state = view(ENGINE, &[("a", 1)]);
        without_state.figures.is_down = None;
        without_state
    };
    let mut fixture = with_runs(&["one"]);
    fixture.end(0, SendOutcome::Broken);
    fixture.advance(ms(1_100));
    fixture.view(1, without_state());
    assert_eq!(suspected(&mut fixture), []);
    // a later report shows it
    fixture.view(1, with_engine_down(without_state()));
    assert_eq!(suspected(&mut fixture), [digest("one")]);
}

/// Guards against blocking an innocent request that repeatedly runs beside a crashing one.
#[test]
fn two_suspected_requests_do_not_run_concurrently() {
    let suspected = |fixture: &Fixture, body: &str| DispatchRequest {
        is_crash_suspect: true,
        ..request_of(fixture, body)
    };
    let mut fixture = with_runs(&["clear"]);
    let cause = suspected(&fixture, "cause");
    assert_eq!(
        sent_to(&fixture.submit(11, cause)),
        [ENGINE],
        "runs beside requests that are not suspected"
    );
    let innocent = suspected(&fixture, "innocent");
    assert!(
        fixture.submit(12, innocent).is_empty(),
        "waits for the other suspected request"
    );
    let other = request_of(&fixture, "other");
    assert_eq!(
        sent_to(&fixture.submit(13, other)),
        [ENGINE],
        "requests that are not suspected don't wait"
    );
    let decided = fixture.handle(DispatchEvent::SendEnded {
        ticket: 11,
        outcome: SendOutcome::Answered,
    });
    assert_eq!(
        sent_to(&decided),
        [ENGINE],
        "sent once the other has completed"
    );
}

/// Guards against streams of one engine that, once it has crashed under all of them, wait for each
/// other at the engines that continue them.
#[test]
fn suspected_requests_with_progress_run_concurrently() {
    let suspected = |fixture: &Fixture, body: &str, has_progress: bool| DispatchRequest {
        is_crash_suspect: true,
        has_progress,
        ..request_of(fixture, body)
    };
    let mut fixture = with_runs(&["clear"]);
    for (ticket, body) in [(11, "one"), (12, "two")] {
        let resumed = suspected(&fixture, body, true);
        assert_eq!(sent_to(&fixture.submit(ticket, resumed)), [ENGINE]);
    }
    let cause = suspected(&fixture, "cause", false);
    assert!(
        fixture.submit(13, cause).is_empty(),
        "a suspect without progress waits for those with progress"
    );
    let mut end = |ticket| {
        let outcome = SendOutcome::Answered;
        fixture.handle(DispatchEvent::SendEnded { ticket, outcome })
    };
    assert!(end(11).is_empty());
    assert_eq!(sent_to(&end(12)), [ENGINE]);
    let resumed = suspected(&fixture, "three", true);
    assert!(
        fixture.submit(14, resumed).is_empty(),
        "and those with progress wait for it"
    );
}

fn record_crash(registry: &mut CrashRegistry, body: &str, incarnation: u64, at: Instant) {
    registry.on_engine_ended(digest(body), incarnation, at, at);
}

#[test]
fn the_third_crash_blocks_and_a_completed_run_clears() {
    let start = Instant::now();
    let mut registry = CrashRegistry::default();
    let verdict = |registry: &mut CrashRegistry, body: &str| registry.verdict(&digest(body), start);
    for incarnation in 0..BLOCKED_AFTER_CRASHES as u64 {
        assert!(!matches!(
            verdict(&mut registry, "cause"),
            RequestVerdict::Blocked { .. }
        ));
        // the request beside the cause completes in between
        for body in ["cause", "beside"] {
            record_crash(&mut registry, body, incarnation, start);
            record_crash(&mut registry, body, incarnation, start);
        }
        registry.on_completed(digest("beside"), start);
    }
    assert!(matches!(
        verdict(&mut registry, "cause"),
        RequestVerdict::Blocked { crashes: 3, .. }
    ));
    assert_eq!(verdict(&mut registry, "beside"), RequestVerdict::Clear);
    assert_eq!(verdict(&mut registry, "never seen"), RequestVerdict::Clear);
}

#[test]
fn unused_records_expire() {
    let start = Instant::now();
    let mut registry = CrashRegistry::default();
    (0..3).for_each(|n| record_crash(&mut registry, "cause", n, start));
    let later = |s: u64| start + Duration::from_secs(s);
    let verdict =
        |registry: &mut CrashRegistry, s: u64| registry.verdict(&digest("cause"), later(s));
    assert!(matches!(
        verdict(&mut registry, 590),
        RequestVerdict::Blocked { .. }
    ));
    // each request extends the retention
    assert!(matches!(
        verdict(&mut registry, 1_180),
        RequestVerdict::Blocked { .. }
    ));
    assert_eq!(verdict(&mut registry, 1_780), RequestVerdict::Clear);
}

/// Guards against evicting blocked requests by a flood of new ones.
#[test]
fn a_flood_of_crashing_requests_evicts_no_blocked_request() {
    let start = Instant::now();
    let mut registry = CrashRegistry::default();
    (0..3).for_each(|n| record_crash(&mut registry, "cause", n, start));
    for number in 0..100_000u64 {
        let at = start + Duration::from_millis(number / 100);
        record_crash(&mut registry, &number.to_string(), number, at);
        assert!(registry.len() <= MAX_TRACKED_REQUESTS);
    }
    let now = start + Duration::from_secs(1);
    let verdict = registry.verdict(&digest("cause"), now);
    assert!(matches!(verdict, RequestVerdict::Blocked { .. }));
}

/// An event of one of a few requests, at one of a few moments.
#[derive(Debug, Clone, Copy)]
struct Event {
    body: u8,
    /// The crashed engine's incarnation; `None` for a completed run.
    incarnation: Option<u8>,
    step: u8,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            body: u8::arbitrary(g) % 3,
            incarnation: bool::arbitrary(g).then(|| u8::arbitrary(g) % 5),
            step: u8::arbitrary(g) % STEPS,
        }
    }
}

const STEPS: u8 = 50;
/// Time between two moments: crashes at different ones count separately.
const STEP_MS: u64 = 150;

fn report_of(event: &Event) -> CrashReport {
    CrashReport {
        digest: digest(&event.body.to_string()),
        event: match event.incarnation {
            Some(incarnation) => CrashEvent::Ended {
                life: incarnation.into(),
            },
            None => CrashEvent::Served,
        },
        age_ms: u64::from(STEPS - event.step) * STEP_MS,
        run_id: 0,
    }
}

/// The same with ids for completed runs: the same id for the same request and time.
fn identified(report: CrashReport) -> CrashReport {
    let run_id = match report.event {
        CrashEvent::Ended { .. } => 0,
        CrashEvent::Served => stable_hash(&format!("{} {}", report.digest, report.age_ms)),
    };
    CrashReport { run_id, ..report }
}

/// Reference model: the crashes of each request since its last completed run. They are those of
/// different incarnations; of a request with a completed run, those at different moments.
fn expected_crashes(events: &[Event]) -> BTreeMap<u8, usize> {
    let of = |body: u8| events.iter().filter(move |e| e.body == body);
    let crashed = |body: u8| {
        let completed = of(body).filter(|e| e.incarnation.is_none());
        let completed = completed.map(|e| e.step).max();
        let later = of(body).filter(move |e| completed.is_none_or(|at| e.step > at));
        let crashes = later.filter_map(|e| Some((e.incarnation?, e.step)));
        let (incarnations, moments): (BTreeSet<u8>, BTreeSet<u8>) = crashes.unzip();
        match completed {
            Some(_) => moments.len(),
            None => incarnations.len(),
        }
    };
    (0..3).map(|body| (body, crashed(body))).collect()
}

/// Gives all crashes of one incarnation the same time.
fn with_one_crash_per_incarnation(events: Vec<Event>) -> Vec<Event> {
    let mut seen = BTreeMap::new();
    let consistent = events.into_iter().map(|mut e| {
        if let Some(incarnation) = e.incarnation {
            e.step = *seen.entry((e.body, incarnation)).or_insert(e.step);
        }
        e
    });
    consistent.collect()
}

fn matches_reference(
    registry: &mut CrashRegistry,
    now: Instant,
    expected: &BTreeMap<u8, usize>,
) -> bool {
    expected.iter().all(|(body, crashes)| {
        let verdict = registry.verdict(&digest(&body.to_string()), now);
        match *crashes {
            0 => verdict == RequestVerdict::Clear,
            n if n < BLOCKED_AFTER_CRASHES => verdict == RequestVerdict::Suspected { crashes: n },
            _ => matches!(verdict, RequestVerdict::Blocked { .. }),
        }
    })
}

/// Messages may be lost, repeated, delayed and reordered.
#[test]
fn registries_with_the_same_reports_reach_the_same_verdicts() {
    fn property(events: Vec<Event>, cut: usize, has_ids: bool) -> bool {
        let events = with_one_crash_per_incarnation(events);
        let expected = expected_crashes(&events);
        let now = Instant::now();
        let reports: Vec<CrashReport> = events
            .iter()
            .map(report_of)
            .map(|report| if has_ids { identified(report) } else { report })
            .collect();
        let reversed: Vec<CrashReport> = reports.iter().rev().copied().collect();
        let cut = if reports.is_empty() {
            0
        } else {
            cut % reports.len()
        };
        let mut one = CrashRegistry::default();
        one.merge(&reports[..cut], now);
        let mut other = CrashRegistry::default();
        other.merge(&reversed, now);
        other.merge(&reports, now);
        // the rest reaches the first registry through a third one
        let mut third = CrashRegistry::default();
        third.merge(&other.reports_since(0, now).0, now);
        let (forwarded, up_to) = third.reports_since(0, now);
        one.merge(&forwarded, now);
        let has_more = !third.reports_since(up_to, now).0.is_empty();
        !has_more
            && matches_reference(&mut one, now, &expected)
            && matches_reference(&mut other, now, &expected)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(4_000)
        .quickcheck(property as fn(Vec<Event>, usize, bool) -> bool);
}

/// Messages have a bounded size.
#[test]
fn a_large_registry_is_sent_in_several_messages() {
    let now = Instant::now();
    let mut registry = CrashRegistry::default();
    let bodies: Vec<String> = (0..2_500).map(|n| n.to_string()).collect();
    for (incarnation, body) in bodies.iter().enumerate() {
        record_crash(&mut registry, body, incarnation as u64, now);
    }
    let (mut other, mut sent, mut messages) = (CrashRegistry::default(), 0, 0);
    while sent < registry.revision() {
        let (reports, up_to) = registry.reports_since(sent, now);
        assert!(reports.len() <= 1_000);
        other.merge(&reports, now);
        (sent, messages) = (up_to, messages + 1);
    }
    assert_eq!(messages, 3);
    for body in &bodies {
        let verdict = other.verdict(&digest(body), now);
        assert_eq!(verdict, RequestVerdict::Suspected { crashes: 1 });
    }
}
