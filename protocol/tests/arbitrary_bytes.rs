//! Bytes that no build writes, as a peer that is not one of ours or a broken box may send them:
//! they are an error of their message, and end nothing else.

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
/// bytes of a generated message at most
const SIZE: usize = 400;
const CASES: u64 = 500;
/// the stack of a thread of the runtime
const STACK: usize = 2 * 1024 * 1024;
const FORMS: [WireEncoding; 3] = [
    WireEncoding::Positional,
    WireEncoding::Named,
    WireEncoding::NamedTextIds,
];

/// one change of a message that was written properly
#[derive(Debug, Clone)]
enum Damage {
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
    /// a part stands twice
    Repeat {
        from: usize,
        to: usize,
    },
}

impl Arbitrary for Damage {
    fn arbitrary(g: &mut Gen) -> Self {
        // lengths and markers of MessagePack with the most to announce
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

impl Damage {
    fn strike(&self, buf: &mut Vec<u8>) {
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

/// the message with these bytes behind what its kind puts before them
fn of_kind(sample: &Sample, body: &[u8]) -> Vec<u8> {
    match sample.kind {
        Kind::Message => body.to_vec(),
        Kind::Frame => [&[0; FRAME_HEAD], body].concat(),
    }
}

fn body_of(sample: &Sample, form: WireEncoding) -> Vec<u8> {
    let bytes = (sample.write)(form);
    match sample.kind {
        Kind::Message => bytes,
        Kind::Frame => bytes[FRAME_HEAD..].to_vec(),
    }
}

/// reading ends, with a message or an error
fn is_taken(body: &[u8]) -> bool {
    all(None).iter().all(|sample| {
        let bytes = of_kind(sample, body);
        panic::catch_unwind(panic::AssertUnwindSafe(|| (sample.read)(&bytes))).is_ok()
    })
}

#[test]
fn any_bytes_are_a_message_or_an_error() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(CASES)
        .quickcheck((|body| is_taken(&body)) as fn(Vec<u8>) -> bool);
}

#[test]
fn damaged_messages_are_messages_or_errors() {
    fn holds(which: usize, form: u8, damages: Vec<Damage>) -> bool {
        let samples = all(Some(true));
        let sample = &samples[which % samples.len()];
        let form = FORMS[usize::from(form) % FORMS.len()];
        let mut body = body_of(sample, form);
        damages.iter().take(8).for_each(|d| d.strike(&mut body));
        // by its own reader and by those of all others
        is_taken(&body)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(CASES)
        .quickcheck(holds as fn(usize, u8, Vec<Damage>) -> bool);
}

/// a message that announces more than it has takes no place for it; one that is as deep as it
/// is long does not use up the stack
#[test]
fn lengths_and_depths_that_are_only_announced_cost_nothing() {
    let announced = [
        vec![0xdd, 0xff, 0xff, 0xff, 0xff],
        vec![0xdf, 0xff, 0xff, 0xff, 0xff],
        vec![0xc6, 0xff, 0xff, 0xff, 0xff],
        vec![0xdb, 0xff, 0xff, 0xff, 0xff],
        vec![0x91; MAX_MESSAGE_BYTES],
        [0x81, 0xa1, b'x'].repeat(MAX_MESSAGE_BYTES / 3),
    ];
    let read = move || announced.iter().all(|body| is_taken(body));
    let thread = thread::Builder::new().stack_size(STACK).spawn(read);
    assert!(thread.expect("starts").join().expect("ends"));
}

/// a field that a later build adds, however deep, is passed over or an error
#[test]
fn unknown_fields_of_any_depth_are_passed_over_or_an_error() {
    for sample in all(None) {
        let named = body_of(&sample, WireEncoding::Named);
        // a map of up to 15 fields gets one more; with one alone it is a variant by its name
        let Some(first @ 0x82..=0x8e) = named.first().copied() else {
            continue;
        };
        for depth in [1, 40, 2_000, 100_000] {
            let unknown = [&[0xa1, b'?'][..], &vec![0x91; depth], &[0xc0]].concat();
            let body = [&[first + 1], &unknown[..], &named[1..]].concat();
            let read = (sample.read)(&of_kind(&sample, &body));
            let is_shallow = depth <= 40;
            assert!(read.is_ok() || !is_shallow, "{}: {read:?}", sample.name);
        }
    }
}

/// frames come out as they went in, however the bytes are parted; one that announces too much
/// ends its stream
#[test]
fn streams_are_split_at_any_byte() {
    fn holds(chunks: Vec<Vec<u8>>) -> bool {
        let (mut codec, mut buf) = (frame_codec(), BytesMut::new());
        for chunk in chunks {
            buf.extend_from_slice(&chunk);
            loop {
                match codec.decode(&mut buf) {
                    Ok(Some(frame)) if frame.len() > MAX_MESSAGE_BYTES => return false,
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    // the link ends here
                    Err(_) => return buf.capacity() <= MAX_MESSAGE_BYTES,
                }
            }
        }
        buf.capacity() <= 2 * MAX_MESSAGE_BYTES
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(CASES)
        .quickcheck(holds as fn(Vec<Vec<u8>>) -> bool);
}
