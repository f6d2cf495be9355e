//! requests under which engines end: what proves it, and what a book of it believes

mod dispatch_fixture;

use {
    chalkcart_coordination::{
        crashes::{Crash, CrashBook, Standing, CONDEMNED_AFTER, MOST_DIGESTS},
        dispatch::{Ask, DispatchEvent, SendOutcome},
    },
    chalkcart_protocol::peer::{CrashEvent, CrashReport, EngineView},
    chalkcart_state::{backends::Backend, ingress::RequestDigest},
    dispatch_fixture::*,
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

const ENGINE: &str = "engines-1";

fn ask_of(fixture: &Fixture, body: &str) -> Ask {
    Ask {
        digest: digest(body),
        ..fixture.new_ask(ENGINES, Some("a"))
    }
}

/// one engine that runs these requests
fn with_runs(bodies: &[&str]) -> Fixture {
    let mut fixture = Fixture::new(vec![backend(ENGINES, 1)]);
    fixture.view(1, view(ENGINE, &[("a", 1)]));
    for (ticket, body) in bodies.iter().enumerate() {
        let ask = ask_of(&fixture, body);
        assert_eq!(sent_to(&fixture.ask(ticket as u64, ask)), [ENGINE]);
    }
    fixture
}

fn down(mut view: EngineView) -> EngineView {
    view.figures.is_down = Some(true);
    view
}

fn leaving() -> Backend {
    Backend {
        leaving: true,
        ..backend(ENGINES, 1)
    }
}

/// the runs that the fixture's engine is said to have ended under
fn suspected(fixture: &mut Fixture) -> Vec<RequestDigest> {
    let crashes: Vec<Crash> = fixture.dispatcher.take_crashes();
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
fn the_end_of_an_engine_s_life_is_proved_by_those_who_see_it() {
    type Proof = (&'static str, fn(&mut Fixture));
    let proofs: [Proof; 5] = [
        ("its sidecar is refused on its machine", |f| {
            f.view(1, down(view(ENGINE, &[("a", 1)])));
        }),
        ("its sidecar reads another life", |f| {
            f.view(1, view("engines-1-later", &[]));
        }),
        ("the list lacks it, and no sidecar speaks", |f| {
            f.tell(DispatchEvent::ViewLost(ENGINE.into()));
            f.list(Vec::new());
        }),
        ("another incarnation answers there", |f| {
            let ask = ask_of(f, "third");
            f.ask(9, ask);
            f.end(9, SendOutcome::Superseded);
        }),
        ("it was refused before the connections broke", |f| {
            f.view(1, down(view(ENGINE, &[("a", 1)])));
            let ask = ask_of(f, "one");
            f.ask(9, ask);
        }),
    ];
    for (name, prove) in proofs {
        let mut fixture = with_runs(&["one", "other"]);
        fixture.end(0, SendOutcome::Broken);
        fixture.end(1, SendOutcome::Broken);
        assert!(suspected(&mut fixture).is_empty(), "{name}: no proof yet");
        prove(&mut fixture);
        assert_eq!(suspected(&mut fixture), sorted(&["one", "other"]), "{name}");
    }
}

#[test]
fn what_is_no_end_of_a_life_suspects_nobody() {
    type NoProof = (&'static str, fn(&mut Fixture));
    let steps: [NoProof; 5] = [
        ("a reset while the sidecar reads on", |f| {
            f.end(0, SendOutcome::Broken);
            f.pass(ms(1_100));
            f.view(1, view(ENGINE, &[("a", 1)]));
            f.pass(ms(100));
            f.view(1, down(view(ENGINE, &[("a", 1)])));
        }),
        ("a failure that was answered", |f| {
            f.end(0, SendOutcome::Failed);
            f.view(1, down(view(ENGINE, &[("a", 1)])));
        }),
        ("the client left", |f| {
            f.end(0, SendOutcome::Abandoned);
            f.view(1, down(view(ENGINE, &[("a", 1)])));
        }),
        ("a planned stop", |f| {
            f.list(vec![leaving()]);
            f.end(0, SendOutcome::Broken);
            f.view(1, down(view(ENGINE, &[("a", 1)])));
        }),
        ("an end long after", |f| {
            f.end(0, SendOutcome::Broken);
            f.pass(ms(6_000));
            f.view(1, down(view(ENGINE, &[("a", 1)])));
        }),
    ];
    for (name, step) in steps {
        let mut fixture = with_runs(&["one"]);
        step(&mut fixture);
        assert_eq!(suspected(&mut fixture), [], "{name}");
    }
}

/// The sidecar of a build that does not say whether its engine is down may repeat what it
/// read before the end: its words clear nobody.
#[test]
fn a_sidecar_that_does_not_say_whether_its_engine_lives_proves_nothing() {
    let unsaid = || {
        let mut unsaid = view(ENGINE, &[("a", 1)]);
        unsaid.figures.is_down = None;
        unsaid
    };
    let mut fixture = with_runs(&["one"]);
    fixture.end(0, SendOutcome::Broken);
    fixture.pass(ms(1_100));
    fixture.view(1, unsaid());
    assert_eq!(suspected(&mut fixture), []);
    // its list says so later
    fixture.view(1, down(unsaid()));
    assert_eq!(suspected(&mut fixture), [digest("one")]);
}

/// An innocent request that ran beside the cause each time was condemned with it: both came
/// together, and the engine that held their adapter took both.
#[test]
fn two_that_are_suspected_do_not_run_beside_each_other() {
    let suspected = |fixture: &Fixture, body: &str| Ask {
        is_suspected: true,
        ..ask_of(fixture, body)
    };
    let mut fixture = with_runs(&["clear"]);
    let cause = suspected(&fixture, "cause");
    assert_eq!(sent_to(&fixture.ask(11, cause)), [ENGINE], "beside others");
    let innocent = suspected(&fixture, "innocent");
    assert!(fixture.ask(12, innocent).is_empty(), "it waits");
    let other = ask_of(&fixture, "other");
    assert_eq!(sent_to(&fixture.ask(13, other)), [ENGINE], "others do not");
    let decided = fixture.tell(DispatchEvent::Ended {
        ticket: 11,
        outcome: SendOutcome::Answered,
    });
    assert_eq!(sent_to(&decided), [ENGINE], "once it has ended");
}

fn ended(book: &mut CrashBook, body: &str, life: u64, at: Instant) {
    book.on_ended(digest(body), life, at, at);
}

#[test]
fn the_third_engine_condemns_and_a_run_to_its_end_excuses() {
    let start = Instant::now();
    let mut book = CrashBook::default();
    let judge = |book: &mut CrashBook, body: &str| book.judge(&digest(body), start);
    for life in 0..CONDEMNED_AFTER as u64 {
        assert!(!matches!(
            judge(&mut book, "cause"),
            Standing::Condemned { .. }
        ));
        // it stood beside the cause each time, and was served in between
        for body in ["cause", "beside"] {
            ended(&mut book, body, life, start);
            ended(&mut book, body, life, start);
        }
        book.on_served(digest("beside"), start);
    }
    assert!(matches!(
        judge(&mut book, "cause"),
        Standing::Condemned { ended: 3, .. }
    ));
    assert_eq!(judge(&mut book, "beside"), Standing::Clear);
    assert_eq!(judge(&mut book, "never seen"), Standing::Clear);
}

#[test]
fn what_nobody_tries_is_forgotten() {
    let start = Instant::now();
    let mut book = CrashBook::default();
    (0..3).for_each(|life| ended(&mut book, "cause", life, start));
    let later = |s: u64| start + Duration::from_secs(s);
    let judge = |book: &mut CrashBook, s: u64| book.judge(&digest("cause"), later(s));
    assert!(matches!(judge(&mut book, 590), Standing::Condemned { .. }));
    // each try puts it off
    assert!(matches!(
        judge(&mut book, 1_180),
        Standing::Condemned { .. }
    ));
    assert_eq!(judge(&mut book, 1_780), Standing::Clear);
}

/// a caller that sends nothing else can't push out what is known
#[test]
fn a_flood_of_crashing_requests_has_bounds() {
    let start = Instant::now();
    let mut book = CrashBook::default();
    (0..3).for_each(|life| ended(&mut book, "cause", life, start));
    for number in 0..100_000u64 {
        let at = start + Duration::from_millis(number / 100);
        ended(&mut book, &number.to_string(), number, at);
        assert!(book.len() <= MOST_DIGESTS);
    }
    let now = start + Duration::from_secs(1);
    let standing = book.judge(&digest("cause"), now);
    assert!(matches!(standing, Standing::Condemned { .. }));
}

/// something that happens to one of a few requests, in steps of a ms
#[derive(Debug, Clone, Copy)]
struct Happening {
    body: u8,
    /// none if it was served
    life: Option<u8>,
    at_ms: u8,
}

impl Arbitrary for Happening {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            body: u8::arbitrary(g) % 3,
            life: bool::arbitrary(g).then(|| u8::arbitrary(g) % 5),
            at_ms: u8::arbitrary(g) % 50,
        }
    }
}

const STEPS_MS: u64 = 50;

fn word(happening: &Happening) -> CrashReport {
    CrashReport {
        digest: digest(&happening.body.to_string()),
        event: match happening.life {
            Some(life) => CrashEvent::Ended { life: life.into() },
            None => CrashEvent::Served,
        },
        age_ms: STEPS_MS - u64::from(happening.at_ms),
    }
}

/// ends of each request since it was served last, by the plain rule; of a life that was
/// told of twice the two words may differ in time, so each is kept
fn plain_rule(happenings: &[Happening]) -> BTreeMap<u8, BTreeSet<u8>> {
    let of = |body: u8| happenings.iter().filter(move |h| h.body == body);
    let open = |body: u8| {
        let served = of(body).filter(|h| h.life.is_none()).map(|h| h.at_ms).max();
        let ends = of(body).filter(move |h| served.is_none_or(|served| h.at_ms > served));
        ends.filter_map(|h| h.life).collect()
    };
    (0..3).map(|body| (body, open(body))).collect()
}

/// one life has one end
fn with_one_end_a_life(happenings: Vec<Happening>) -> Vec<Happening> {
    let mut seen = BTreeMap::new();
    let once = happenings.into_iter().map(|mut h| {
        if let Some(life) = h.life {
            h.at_ms = *seen.entry((h.body, life)).or_insert(h.at_ms);
        }
        h
    });
    once.collect()
}

fn agrees(book: &mut CrashBook, now: Instant, rule: &BTreeMap<u8, BTreeSet<u8>>) -> bool {
    rule.iter().all(|(body, lives)| {
        let standing = book.judge(&digest(&body.to_string()), now);
        match lives.len() {
            0 => standing == Standing::Clear,
            n if n < CONDEMNED_AFTER => standing == Standing::Suspected { ended: n },
            _ => matches!(standing, Standing::Condemned { .. }),
        }
    })
}

/// messages may be lost and sent again, come late, twice and in any order
#[test]
fn books_that_heard_the_same_believe_the_same() {
    fn property(happenings: Vec<Happening>, cut: usize) -> bool {
        let happenings = with_one_end_a_life(happenings);
        let rule = plain_rule(&happenings);
        let now = Instant::now();
        let words: Vec<CrashReport> = happenings.iter().map(word).collect();
        let reversed: Vec<CrashReport> = words.iter().rev().copied().collect();
        let cut = if words.is_empty() {
            0
        } else {
            cut % words.len()
        };
        let mut one = CrashBook::default();
        one.merge(&words[..cut], now);
        let mut other = CrashBook::default();
        other.merge(&reversed, now);
        other.merge(&words, now);
        // one hears the rest by way of a third, which has heard all of the other
        let mut third = CrashBook::default();
        third.merge(&other.words_after(0, now).0, now);
        let (told, up_to) = third.words_after(0, now);
        one.merge(&told, now);
        let has_more = !third.words_after(up_to, now).0.is_empty();
        !has_more && agrees(&mut one, now, &rule) && agrees(&mut other, now, &rule)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(4_000)
        .quickcheck(property as fn(Vec<Happening>, usize) -> bool);
}

/// messages are of a bounded size
#[test]
fn a_large_book_is_told_in_parts() {
    let now = Instant::now();
    let mut book = CrashBook::default();
    let bodies: Vec<String> = (0..2_500).map(|n| n.to_string()).collect();
    for (life, body) in bodies.iter().enumerate() {
        ended(&mut book, body, life as u64, now);
    }
    let (mut other, mut told, mut parts) = (CrashBook::default(), 0, 0);
    while told < book.revision() {
        let (words, up_to) = book.words_after(told, now);
        assert!(words.len() <= 1_000);
        other.merge(&words, now);
        (told, parts) = (up_to, parts + 1);
    }
    assert_eq!(parts, 3);
    for body in &bodies {
        let standing = other.judge(&digest(body), now);
        assert_eq!(standing, Standing::Suspected { ended: 1 });
    }
}
