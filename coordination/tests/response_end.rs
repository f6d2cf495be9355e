//! Where in its events a response ended, and whether it is whole.
//!
//! Guards against: a position that depends on how the bytes were split on their way.

use {
    chalkcart_coordination::response_end::{
        EndCause, EventScanner, Framing, ResponseProgress, StreamPosition, Verdict,
    },
    quickcheck::{Gen, QuickCheck},
    StreamPosition::{BetweenEvents, InsideEvent, Start},
};

const SEED: u64 = 65;
const CASES: u64 = 5_000;

/// Returns the position after bytes that arrive in parts of a size.
fn position(bytes: &[u8], size: usize) -> StreamPosition {
    let mut scanner = EventScanner::default();
    bytes.chunks(size).for_each(|part| scanner.take_all(part));
    scanner.position()
}

#[test]
fn the_position_is_known_after_each_line_end() {
    let cases = [
        ("", Start),
        ("|", Start),
        (": alive|", Start),
        (": alive||", Start),
        (": al", InsideEvent),
        ("data", InsideEvent),
        ("data: x|", InsideEvent),
        ("data: x|: alive|", InsideEvent),
        ("data: x||", BetweenEvents),
        ("data: x|||", BetweenEvents),
        ("data: x||: alive|", BetweenEvents),
        ("data: x||: al", InsideEvent),
        ("data: x||d", InsideEvent),
        ("data: x||data: y|", InsideEvent),
        ("data: x||data: y||", BetweenEvents),
    ];
    for line_end in ["\n", "\r", "\r\n"] {
        for (bytes, expected) in cases {
            let bytes = bytes.replace('|', line_end).into_bytes();
            for size in 1..=bytes.len().max(1) {
                assert_eq!(position(&bytes, size), expected, "{bytes:?} by {size}");
            }
        }
    }
}

/// Line ends of all kinds in any order, and parts of any size.
#[test]
fn the_position_does_not_depend_on_the_parts() {
    fn check(symbols: Vec<u8>, size: usize) -> bool {
        let symbols = symbols.iter().map(|n| b"x:\r\n\n\r"[usize::from(n % 6)]);
        let bytes: Vec<u8> = symbols.collect();
        let whole = position(&bytes, bytes.len().max(1));
        position(&bytes, 1 + size % 5) == whole
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, SEED))
        .tests(CASES)
        .quickcheck(check as fn(Vec<u8>, usize) -> bool);
}

/// Guards against: a connection that closes right after an unframed head and that counts as the
/// end of a whole, empty response, of any format.
#[test]
fn a_response_is_whole_as_its_framing_and_bytes_show() {
    use Verdict::{BrokenOff, Whole};
    // bytes, verdicts on a body of another format and on one of events: framed, and unframed
    let cases = [
        ("", (Whole, BrokenOff), (Whole, BrokenOff)),
        ("x", (Whole, Whole), (BrokenOff, BrokenOff)),
        ("\n", (Whole, Whole), (Whole, BrokenOff)),
        (": alive\n\n", (Whole, Whole), (Whole, BrokenOff)),
        ("data: x\n\n", (Whole, Whole), (Whole, Whole)),
        ("data: x\n", (Whole, Whole), (BrokenOff, BrokenOff)),
    ];
    for (sent, other, events) in cases {
        for (is_event_stream, (framed, unframed)) in [(false, other), (true, events)] {
            let framings = [
                (Framing::Length, framed),
                (Framing::Chunks, framed),
                (Framing::Connection, unframed),
            ];
            for (framing, expected) in framings {
                let mut progress = ResponseProgress::new(framing, is_event_stream);
                // an empty part is no byte
                progress.on_data(b"");
                progress.on_data(sent.as_bytes());
                let case = format!("{sent:?} {framing:?}, events: {is_event_stream}");
                assert_eq!(progress.verdict(), expected, "{case}");
                let ended = progress.ended(EndCause::of_complete(framing));
                assert_eq!(ended.body_bytes, sent.len() as u64, "{case}");
            }
        }
    }
}
