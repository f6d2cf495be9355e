//! Malformed messages from broken or foreign peers must fail to decode without a panic, a stack
//! overflow or a large allocation.

mod samples;

use {
    bytes::BytesMut,
    chalkcart_protocol::{
        frame_codec,
        wire::{WireEncoding, MAX_MESSAGE_BYTES},
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    samples::{all, Kind, Sample, FRAME_HEAD},
    std::{panic, thread},
    tokio_util::codec::Decoder,
};

const SEED: u64 = 45;
/// Maximum size of generated messages, in bytes.
const MAX_SIZE: usize = 400;
const CASES: u64 = 500;
/// Stack size of a runtime thread.
const STACK_BYTES: usize = 2 * 1024 * 1024;
const ENCODINGS: [WireEncoding; 3] = [
    WireEncoding::Positional,
    WireEncoding::Named,
    WireEncoding::NamedTextIds,
];

/// A corruption of a valid message.
#[derive(Debug, Clone)]
enum Corruption {
    Set {
        at: usize,
        to: u8,
    },
    Insert {
        at: usize,
        byte: u8,
    },
    Cut {
        at: usize,
    },
    /// Appends a copy of a part.
    Repeat {
        from: usize,
        to: usize,
    },
}

impl Arbitrary for Corruption {
    fn arbitrary(g: &mut Gen) -> Self {
        // MessagePack markers with the largest announced lengths
        let bytes = [0x00, 0x91, 0xc1, 0xc6, 0xdb, 0xdc, 0xdd, 0xdf, 0xff];
        let byte = match bool::arbitrary(g) {
            true => *g.choose(&bytes).expect("some"),
            false => u8::arbitrary(g),
        };
        let (at, to) = (usize::arbitrary(g), usize::arbitrary(g));
        match u8::arbitrary(g) % 4 {
            0 => Self::Set { at, to: byte },
            1 => Self::Insert { at, byte },
            2 => Self::Cut { at },
            _ => Self::Repeat { from: at, to },
        }
    }
}

impl Corruption {
    fn apply(&self, buf: &mut Vec<u8>) {
        let len = buf.len().max(1);
        match *self {
            Self::Set { at, to } => {
                if let Some(byte) = buf.get_mut(at % len) {
                    *byte = to;
                }
            }
            Self::Insert { at, byte } => buf.insert((at % len).min(buf.len()), byte),
            Self::Cut { at } => buf.truncate(at % len),
            Self::Repeat { from, to } => {
                let (from, to) = ((from % len).min(to % len), (from % len).max(to % len));
                let part = buf[from.min(buf.len())..to.min(buf.len())].to_vec();
                buf.extend(part);
            }
        }
    }
}

/// Adds the length prefix that a sample's kind has.
fn with_prefix(sample: &Sample, body: &[u8]) -> Vec<u8> {
    match sample.kind {
        Kind::Message => body.to_vec(),
        Kind::Frame => [&[0; FRAME_HEAD], body].concat(),
    }
}

fn body_of(sample: &Sample, encoding: WireEncoding) -> Vec<u8> {
    let bytes = (sample.write)(encoding);
    match sample.kind {
        Kind::Message => bytes,
        Kind::Frame => bytes[FRAME_HEAD..].to_vec(),
    }
}

/// Whether all decoders return a message or an error without a panic.
fn decodes_without_panic(body: &[u8]) -> bool {
    all(None).iter().all(|sample| {
        let bytes = with_prefix(sample, body);
        panic::catch_unwind(panic::AssertUnwindSafe(|| (sample.read)(&bytes))).is_ok()
    })
}

#[test]
fn arbitrary_bytes_decode_or_fail() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_SIZE, SEED))
        .tests(CASES)
        .quickcheck((|body| decodes_without_panic(&body)) as fn(Vec<u8>) -> bool);
}

#[test]
fn corrupted_messages_decode_or_fail() {
    fn holds(index: usize, encoding: u8, corruptions: Vec<Corruption>) -> bool {
        let samples = all(Some(true));
        let sample = &samples[index % samples.len()];
        let encoding = ENCODINGS[usize::from(encoding) % ENCODINGS.len()];
        let mut body = body_of(sample, encoding);
        corruptions.iter().take(8).for_each(|c| c.apply(&mut body));
        // by its own decoder and those of all other messages
        decodes_without_panic(&body)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_SIZE, SEED))
        .tests(CASES)
        .quickcheck(holds as fn(usize, u8, Vec<Corruption>) -> bool);
}

/// Guards against allocating announced lengths up front, and against a stack overflow by deeply
/// nested messages.
#[test]
fn announced_lengths_and_deep_nesting_do_not_exhaust_memory() {
    let announced = [
        vec![0xdd, 0xff, 0xff, 0xff, 0xff],
        vec![0xdf, 0xff, 0xff, 0xff, 0xff],
        vec![0xc6, 0xff, 0xff, 0xff, 0xff],
        vec![0xdb, 0xff, 0xff, 0xff, 0xff],
        vec![0x91; MAX_MESSAGE_BYTES],
        [0x81, 0xa1, b'x'].repeat(MAX_MESSAGE_BYTES / 3),
    ];
    let read = move || announced.iter().all(|body| decodes_without_panic(body));
    let thread = thread::Builder::new().stack_size(STACK_BYTES).spawn(read);
    assert!(thread.expect("starts").join().expect("ends"));
}

/// Unknown fields of later builds are ignored, or rejected if nested too deeply.
#[test]
fn unknown_fields_are_ignored_or_rejected_at_any_depth() {
    for sample in all(None) {
        let named = body_of(&sample, WireEncoding::Named);
        // adds a field to a map of 2 to 14; a map with a single key is an enum variant
        let Some(first @ 0x82..=0x8e) = named.first().copied() else {
            continue;
        };
        for depth in [1, 40, 2_000, 100_000] {
            let unknown = [&[0xa1, b'?'][..], &vec![0x91; depth], &[0xc0]].concat();
            let body = [&[first + 1], &unknown[..], &named[1..]].concat();
            let read = (sample.read)(&with_prefix(&sample, &body));
            let is_shallow = depth <= 40;
            assert!(read.is_ok() || !is_shallow, "{}: {read:?}", sample.name);
        }
    }
}

/// The frame codec accepts any chunking, and rejects frames that announce too large a length.
#[test]
fn frame_codec_bounds_its_buffer_for_any_chunks() {
    fn holds(chunks: Vec<Vec<u8>>) -> bool {
        let (mut codec, mut buf) = (frame_codec(), BytesMut::new());
        for chunk in chunks {
            buf.extend_from_slice(&chunk);
            loop {
                match codec.decode(&mut buf) {
                    Ok(Some(frame)) if frame.len() > MAX_MESSAGE_BYTES => return false,
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    // the connection would be closed here
                    Err(_) => return buf.capacity() <= MAX_MESSAGE_BYTES,
                }
            }
        }
        buf.capacity() <= 2 * MAX_MESSAGE_BYTES
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_SIZE, SEED))
        .tests(CASES)
        .quickcheck(holds as fn(Vec<Vec<u8>>) -> bool);
}

/// Guards against: a message whose connection closed in the middle of it and that decodes all the
/// same, with defaults in the place of the fields that did not arrive.
#[test]
fn a_message_cut_at_any_byte_does_not_decode() {
    let mut count = 0;
    for sample in all(None).iter().chain(&all(Some(true))) {
        for encoding in ENCODINGS {
            let whole = body_of(sample, encoding);
            for bytes in 0..whole.len() {
                let read = (sample.read)(&with_prefix(sample, &whole[..bytes]));
                assert!(read.is_err(), "{} {encoding:?}, {bytes}", sample.name);
                count += 1;
            }
        }
    }
    assert!(count > 10_000, "{count}");
}
