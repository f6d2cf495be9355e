//! Assembly of one stream from the streams of several engines, and the decisions to resume.
//!
//! Guards against: an event that is lost, repeated or joined from two parts when an engine
//! breaks off at any byte, and a response that ends as complete before its last event.

use {
    chalkcart_coordination::{
        crashes::RequestVerdict,
        response_end::{Framing, ResponseProgress, Verdict},
        stream_recovery::{
            EventAssembler, EventBlock, EventId, NotResumed, PriorRun, RecoveryInputs, StreamEnd,
            MAX_HELD_BYTES, MAX_SENDS_PER_CUT, STOP_TIME,
        },
    },
    quickcheck::{Gen, QuickCheck},
    std::time::{Duration, Instant},
};

const SEED: u64 = 23;
const CASES: u64 = 2_000;
const EVENTS: u64 = 5;
const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

/// Returns the events after `last` as an engine sends them.
fn stream(last: Option<EventId>, step: u64, line_end: &str) -> String {
    let ids = (0..EVENTS).map(|n| n * step);
    let ids = ids.filter(|id| last.is_none_or(|last| *id > last));
    let events = ids.map(|id| {
        let text = "x".repeat(1 + id as usize % 7);
        format!("id: {id}{line_end}data: {text} id: 9{line_end}{line_end}")
    });
    events.collect()
}

/// Pushes bytes in parts of the given sizes and returns the passed bytes; no fault is expected.
fn push_parts(assembler: &mut EventAssembler, mut bytes: &[u8], sizes: &[usize]) -> Vec<u8> {
    let mut passed = Vec::new();
    let mut sizes = sizes.iter().cycle();
    while !bytes.is_empty() {
        let size = sizes.next().map_or(bytes.len(), |size| *size);
        let (part, rest) = bytes.split_at(size.clamp(1, bytes.len()));
        let pushed = assembler.push(part);
        assert_eq!(pushed.fault, None);
        passed.extend(pushed.passed);
        bytes = rest;
    }
    passed
}

fn end(assembler: &mut EventAssembler) -> Vec<u8> {
    match assembler.end(Verdict::Whole) {
        StreamEnd::Complete(rest) => rest,
        StreamEnd::Cut => panic!("a complete stream counts as cut"),
    }
}

#[test]
fn a_stream_cut_at_each_byte_is_continued_without_loss_or_repetition() {
    for line_end in LINE_ENDS {
        let whole = stream(None, 1, line_end);
        for cut in 0..=whole.len() {
            for size in [1, 3, whole.len()] {
                let mut assembler = EventAssembler::new(None);
                let first = &whole.as_bytes()[..cut];
                let mut passed = push_parts(&mut assembler, first, &[size]);
                let last = assembler.cut().expect("resumable");
                assembler.start_continuation();
                let rest = stream(last, 1, line_end);
                passed.extend(push_parts(&mut assembler, rest.as_bytes(), &[size]));
                passed.extend(end(&mut assembler));
                // a CRLF that is cut in half leaves the LF out
                let text = String::from_utf8(passed).expect("text");
                let (text, whole) = (text.replace('\r', ""), whole.replace('\r', ""));
                match line_end {
                    "\r\n" => assert_eq!(text.replace('\n', ""), whole.replace('\n', "")),
                    _ => assert_eq!(text, whole, "cut at {cut}"),
                }
            }
        }
    }
}

#[test]
fn complete_events_are_not_delayed() {
    for line_end in LINE_ENDS {
        let mut assembler = EventAssembler::new(None);
        let event = format!("id: 0{line_end}data: x{line_end}{line_end}");
        let (start, last) = event.split_at(event.len() - 1);
        let mut passed = assembler.push(start.as_bytes()).passed;
        passed.extend(assembler.push(last.as_bytes()).passed);
        assert_eq!(passed, event.as_bytes(), "{line_end:?}");
    }
}

/// Several cuts in random places, with random sizes of parts, ids with and without gaps, and a
/// client that has the first events from an earlier attempt.
#[test]
fn any_sequence_of_cuts_gives_each_event_once() {
    fn check(cuts: Vec<u16>, sizes: Vec<usize>, step: u8, had: Option<u8>) -> bool {
        let step = 1 + u64::from(step % 3);
        let had = had.map(|n| u64::from(n) % EVENTS * step);
        let sizes: Vec<usize> = sizes.iter().map(|size| size % 40).collect();
        let mut assembler = EventAssembler::new(had);
        let mut passed = Vec::new();
        let mut last = had;
        for cut in cuts {
            let bytes = stream(last, step, "\n").into_bytes();
            let cut = usize::from(cut) % (bytes.len() + 1);
            passed.extend(push_parts(&mut assembler, &bytes[..cut], &sizes));
            let point = assembler.cut().expect("resumable");
            let has_progress = point > last;
            last = point;
            assembler.start_continuation();
            // the ids of a stream are known to have gaps once two of them were seen
            if step > 1 && !(has_progress && last > Some(step)) {
                return true;
            }
        }
        let bytes = stream(last, step, "\n").into_bytes();
        passed.extend(push_parts(&mut assembler, &bytes, &sizes));
        passed.extend(end(&mut assembler));
        passed == stream(had, step, "\n").into_bytes()
    }
    let gen = Gen::from_size_and_seed(30, SEED);
    QuickCheck::new()
        .rng(gen)
        .tests(CASES)
        .quickcheck(check as fn(Vec<u16>, Vec<usize>, u8, Option<u8>) -> bool);
}

/// Returns an assembler whose client has the events 0 and 1.
fn cut_after_two() -> EventAssembler {
    let mut assembler = EventAssembler::new(None);
    let sent = "id: 0\ndata: x\n\nid: 1\ndata: x\n\nid: 2\nda";
    assembler.push(sent.as_bytes());
    assert_eq!(assembler.cut(), Ok(Some(1)));
    assembler.start_continuation();
    assembler
}

#[test]
fn a_continuation_with_wrong_ids_is_not_passed_on() {
    let cases = [
        ("id: 0\ndata: x\n\n", NotResumed::IdNotRising),
        ("id: 1\ndata: x\n\n", NotResumed::IdNotRising),
        ("id: 3\ndata: x\n\n", NotResumed::IdsSkipped),
        ("data: x\n\n", NotResumed::EventWithoutId),
        ("id: b\ndata: x\n\n", NotResumed::EventWithoutId),
        ("id: -2\ndata: x\n\n", NotResumed::EventWithoutId),
        ("id:\ndata: x\n\n", NotResumed::EventWithoutId),
        ("id: 2\nid: 0\ndata: x\n\n", NotResumed::IdNotRising),
    ];
    for (sent, fault) in cases {
        let pushed = cut_after_two().push(sent.as_bytes());
        assert_eq!(
            (pushed.passed.len(), pushed.fault),
            (0, Some(fault)),
            "{sent}"
        );
    }
}

#[test]
fn a_repetition_later_in_a_continuation_is_not_passed_on() {
    let mut assembler = cut_after_two();
    let pushed = assembler.push(b"id: 2\ndata: x\n\nid: 1\ndata: x\n\nid: 3\ndata: x\n\n");
    assert_eq!(pushed.passed, b"id: 2\ndata: x\n\n");
    assert_eq!(pushed.fault, Some(NotResumed::IdNotRising));
    assert_eq!(assembler.cut(), Ok(Some(2)));
}

#[test]
fn comments_are_passed_on_and_are_no_events() {
    let mut assembler = cut_after_two();
    let sent = ": alive\n\nretry: 5\n\nid: 2\ndata: x\n\n";
    let pushed = assembler.push(sent.as_bytes());
    assert_eq!(
        (pushed.passed.as_slice(), pushed.fault),
        (sent.as_bytes(), None)
    );
    assert_eq!(assembler.cut(), Ok(Some(2)));
    assert!(!EventBlock::read(b": id: 4\n\n").is_event);
}

/// Returns what the end of an engine's response after these bytes means.
fn verdict(sent: &str, framing: Framing) -> Verdict {
    let mut progress = ResponseProgress::new(framing, true);
    progress.on_data(sent.as_bytes());
    progress.verdict()
}

/// An end of stream counts as complete only between events, and only as its framing says.
#[test]
fn the_end_of_a_stream_is_complete_as_its_framing_says() {
    let one = "id: 0\ndata: x\n\n";
    // bytes of the first engine, and whether their end is complete if framed and if not
    let cases = [
        ("", true, false),
        (one, true, true),
        ("id: 0\ndata", false, false),
        ("id: 0\ndata: x\n\nid: 1\n", false, false),
        ("data: no id\n\nid: 1\nda", false, false),
        ("data: no id\n\n", true, true),
    ];
    for (sent, if_framed, if_unframed) in cases {
        let framings = [
            (Framing::Length, if_framed),
            (Framing::Chunks, if_framed),
            (Framing::Connection, if_unframed),
        ];
        for (framing, is_complete) in framings {
            let mut assembler = EventAssembler::new(None);
            let mut passed = assembler.push(sent.as_bytes()).passed;
            match assembler.end(verdict(sent, framing)) {
                StreamEnd::Complete(rest) => {
                    assert!(is_complete, "{sent:?} {framing:?}");
                    passed.extend(rest);
                    assert_eq!(passed, sent.as_bytes());
                }
                StreamEnd::Cut => assert!(!is_complete, "{sent:?} {framing:?}"),
            }
        }
    }
}

/// The engine that continues may have nothing left to send, but a connection that closes right
/// after the head looks the same on an unframed response.
#[test]
fn a_continuation_without_events_is_complete_only_if_it_is_framed() {
    let cases = [
        ("", Framing::Chunks, true),
        ("", Framing::Connection, false),
        ("id: 2\nda", Framing::Chunks, false),
        ("id: 2\ndata: x\n\n", Framing::Connection, true),
    ];
    for (sent, framing, is_complete) in cases {
        let mut assembler = cut_after_two();
        assembler.push(sent.as_bytes());
        let expected = match is_complete {
            true => StreamEnd::Complete(Vec::new()),
            false => StreamEnd::Cut,
        };
        let end = assembler.end(verdict(sent, framing));
        assert_eq!(end, expected, "{sent:?} {framing:?}");
    }
}

#[test]
fn irregular_streams_are_passed_on_and_not_resumed() {
    let long = format!("id: 1\ndata: {}\n\n", "x".repeat(2 * MAX_HELD_BYTES));
    let cases = [
        ("data: x\n\n", NotResumed::EventWithoutId),
        ("id: a\ndata: x\n\n", NotResumed::EventWithoutId),
        ("id: 0\ndata: x\n\n", NotResumed::IdNotRising),
        (long.as_str(), NotResumed::EventTooLarge),
    ];
    for (irregular, cause) in cases {
        let sent = format!("id: 0\ndata: x\n\n{irregular}id: 7\ndata: x\n\nid: 8\nda");
        let mut assembler = EventAssembler::new(None);
        let passed = push_parts(&mut assembler, sent.as_bytes(), &[100]);
        assert!(passed == sent.as_bytes(), "{cause:?}");
        assert_eq!(assembler.cut(), Err(cause));
    }
}

#[test]
fn held_bytes_are_bounded() {
    let mut assembler = EventAssembler::new(None);
    let mut passed = 0;
    for pushed in 1..=40 {
        passed += assembler.push(&[b'x'; 1024]).passed.len();
        assert!(pushed * 1024 - passed <= MAX_HELD_BYTES);
    }
    // that the continuation is the right one can't be checked without its first event
    let pushed = cut_after_two().push(&[b'x'; MAX_HELD_BYTES + 1]);
    assert!(pushed.passed.is_empty());
    assert_eq!(pushed.fault, Some(NotResumed::EventTooLarge));
}

/// A client that resumes by itself must not receive events that it has from a continuation.
#[test]
fn the_clients_own_last_event_is_the_start() {
    let mut assembler = EventAssembler::new(Some(4));
    assert_eq!(assembler.cut(), Ok(Some(4)));
    assembler.start_continuation();
    let pushed = assembler.push(b"id: 4\ndata: x\n\n");
    assert_eq!(pushed.fault, Some(NotResumed::IdNotRising));
}

/// Guards against: event ids that go back for a client that has earlier events from another entry.
#[test]
fn a_stream_that_starts_before_the_clients_last_event_is_not_passed_on() {
    for first in 0..=4 {
        let mut assembler = EventAssembler::new(Some(4));
        let rest: String = (first..8).map(|id| format!("id: {id}\n\n")).collect();
        let pushed = assembler.push(format!(": ping\n\n{rest}").as_bytes());
        assert_eq!(pushed.fault, Some(NotResumed::IdNotRising), "from {first}");
        assert_eq!(pushed.passed, b": ping\n\n", "from {first}");
        assert_eq!(assembler.cut(), Ok(Some(4)), "from {first}");
        assembler.start_continuation();
        assert_eq!(assembler.push(b"id: 5\n\n").passed, b"id: 5\n\n");
    }
}

/// Guards against: a stream whose ids have gaps, refused to a client that takes it up.
#[test]
fn a_client_may_take_up_a_stream_whose_ids_have_gaps() {
    let mut assembler = EventAssembler::new(Some(4));
    let rest = b"id: 8\n\nid: 12\n\n";
    let pushed = assembler.push(rest);
    assert_eq!((pushed.passed.as_slice(), pushed.fault), (&rest[..], None));
}

fn inputs(now: Instant) -> RecoveryInputs {
    RecoveryInputs {
        runs: 1,
        max_attempts: 3,
        sends: 0,
        has_progress: true,
        verdict: RequestVerdict::Clear,
        deadline: now + Duration::from_secs(1),
    }
}

/// Guards against repeats beyond what the route and the crash registry allow.
#[test]
fn a_cut_stream_is_resumed_within_its_limits() {
    let now = Instant::now();
    let suspected = RequestVerdict::Suspected { crashes: 1 };
    let blocked = RequestVerdict::Blocked {
        crashes: 3,
        age: Duration::ZERO,
        retry_in: Duration::from_secs(60),
        has_done_well: false,
    };
    type Change = fn(&mut RecoveryInputs);
    let cases: [(Change, Result<(), NotResumed>); 6] = [
        (|_| {}, Ok(())),
        (|i| i.runs = 2, Ok(())),
        (|i| i.runs = 3, Err(NotResumed::Attempts)),
        (|i| i.max_attempts = 1, Err(NotResumed::Attempts)),
        (|i| i.sends = MAX_SENDS_PER_CUT - 1, Ok(())),
        (|i| i.sends = MAX_SENDS_PER_CUT, Err(NotResumed::Sends)),
    ];
    for (number, (change, expected)) in cases.into_iter().enumerate() {
        let mut inputs = inputs(now);
        change(&mut inputs);
        assert_eq!(inputs.check(now), expected, "case {number}");
    }
    let verdicts = [
        (RequestVerdict::Clear, true, Ok(())),
        (RequestVerdict::Clear, false, Ok(())),
        (suspected, true, Ok(())),
        (suspected, false, Err(NotResumed::Suspected)),
        (blocked, true, Err(NotResumed::Blocked)),
        (blocked, false, Err(NotResumed::Blocked)),
    ];
    for (verdict, has_progress, expected) in verdicts {
        let inputs = RecoveryInputs {
            verdict,
            has_progress,
            ..inputs(now)
        };
        assert_eq!(inputs.check(now), expected, "{verdict:?} {has_progress}");
    }
    let inputs = inputs(now);
    assert_eq!(inputs.check(inputs.deadline), Err(NotResumed::Deadline));
}

/// Guards against two engines that work on one request.
#[test]
fn the_next_run_starts_after_the_previous_one_has_stopped() {
    let closed_at = Instant::now();
    let tick = Duration::from_millis(1);
    let unknown = PriorRun {
        closed_at,
        has_engine_ended: false,
    };
    assert!(!unknown.has_stopped(closed_at));
    assert!(!unknown.has_stopped(closed_at + STOP_TIME - tick));
    assert!(unknown.has_stopped(closed_at + STOP_TIME));
    let ended = PriorRun {
        has_engine_ended: true,
        ..unknown
    };
    assert!(ended.has_stopped(closed_at));
}
