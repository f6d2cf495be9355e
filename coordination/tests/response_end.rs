//! Where in its events a response ended.
//!
//! Guards against: a position that depends on how the bytes were split on their way.

use {
    chalkcart_coordination::response_end::{EventScanner, StreamPosition},
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
