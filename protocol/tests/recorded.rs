//! Bytes of messages as builds that have landed write them, recorded by running those builds.
//!
//! Seen: with sidecars of one build and entries of the next, 70 in 100 requests failed, as
//! each took the other's frames for unreadable and ended the link, again and again. Cause:
//! frames are written without the names of their fields, so that no field can be added, and
//! nobody says which shapes he knows. Proof: the bytes recorded here, read by the other build.

mod landed;
mod samples;

use {
    chalkcart_protocol::{
        decode, encode,
        peer::{
            AdapterDemand, EngineStats, EngineViewState, RelayUpdate as PeerRelayUpdate, ViewUpdate,
        },
        wire::WireEncoding,
    },
    landed::{Demand, Figures12, Figures13, Life, RelayDemands, RelayUpdate, Update},
    samples::{all, from_hex, of_engines, record, Sample, FRAME_HEAD},
    serde::de::DeserializeOwned,
    std::collections::HashMap,
};

const OLDEST: &str = include_str!("recorded/2205e90.txt");
const SECOND: &str = include_str!("recorded/fc8906b.txt");
const THIRD: &str = include_str!("recorded/f7a7cb2.txt");
const FOURTH: &str = include_str!("recorded/4.txt");
const FIFTH: &str = include_str!("recorded/5.txt");

/// what entries do not ask of relays that say no version: they read the store themselves
const NOT_ASKED: &str = "published_records";

/// messages that builds before 5 do not write
const SINCE_5: [&str; 4] = [
    "published_regions",
    "view_figures_bound",
    "intake_report",
    "intake_answer",
];

/// bytes by the name of the message, of a record with a line for each
fn bytes_of(recorded: &str) -> HashMap<&str, Vec<u8>> {
    let rows = recorded.lines().map(|line| {
        let words: Vec<&str> = line.split(' ').collect();
        (words[words.len() - 2], from_hex(words[words.len() - 1]))
    });
    rows.collect()
}

fn reads_all(recorded: &str, is_down: Option<bool>) {
    let bytes = bytes_of(recorded);
    let samples = all(is_down);
    for sample in samples.iter().filter(|s| s.name != NOT_ASKED) {
        let Some(bytes) = bytes.get(sample.name) else {
            let is_newer = sample.name.starts_with("crash_") || SINCE_5.contains(&sample.name);
            assert!(is_newer, "{}", sample.name);
            continue;
        };
        let read = (sample.read)(bytes).map_err(|e| e.to_string());
        assert_eq!(read.as_ref(), Ok(&sample.text), "{}", sample.name);
    }
}

#[test]
fn what_landed_builds_write_is_read() {
    reads_all(OLDEST, None);
    reads_all(SECOND, None);
    reads_all(THIRD, Some(true));
    reads_all(FOURTH, Some(true));
}

/// what has the same shape as then has the same bytes
#[test]
fn other_messages_are_written_as_landed_builds_write_them() {
    for recorded in [OLDEST, SECOND, THIRD] {
        let bytes = bytes_of(recorded);
        let of_engines: Vec<&str> = of_engines(None).iter().map(|s| s.name).collect();
        let same = |s: &&Sample| s.name != NOT_ASKED && !of_engines.contains(&s.name);
        for sample in all(None).iter().filter(same) {
            if let Some(bytes) = bytes.get(sample.name) {
                assert_eq!(
                    &(sample.write)(WireEncoding::Positional),
                    bytes,
                    "{}",
                    sample.name
                );
            }
        }
    }
}

fn written(name: &str, form: WireEncoding) -> Vec<u8> {
    let samples = of_engines(Some(true));
    let sample = samples.iter().find(|s| s.name == name).expect("a sample");
    let bytes = (sample.write)(form);
    match sample.kind {
        samples::Kind::Message => bytes,
        samples::Kind::Frame => bytes[FRAME_HEAD..].to_vec(),
    }
}

/// read what today's code writes, and what the build of then wrote, by the forms of then
fn both<T: DeserializeOwned>(name: &str, form: WireEncoding, recorded: &str) -> (T, T) {
    let then = &bytes_of(recorded)[name];
    let frame = !matches!(name, "demand" | "relay_demands");
    let then = if frame { &then[FRAME_HEAD..] } else { then };
    let today = decode(&written(name, form));
    let today = today.unwrap_or_else(|e| panic!("{name}: {e}"));
    (today, decode(then).expect("reads its own"))
}

fn same_as_then<L, F>(form: WireEncoding, recorded: &str)
where
    L: DeserializeOwned + PartialEq + std::fmt::Debug,
    F: DeserializeOwned + PartialEq + std::fmt::Debug,
{
    for name in ["view_whole", "view_changed", "view_figures"] {
        let (today, then) = both::<Update<L, F>>(name, form, recorded);
        assert_eq!(today, then);
    }
    let (today, then) = both::<RelayUpdate<L, F>>("relay_update", form, recorded);
    assert_eq!(today, then);
    let (today, then) = both::<Demand<L>>("demand", form, recorded);
    assert_eq!(today, then);
    let (today, then) = both::<RelayDemands<L>>("relay_demands", form, recorded);
    assert_eq!(today, then);
}

#[test]
fn what_is_written_for_landed_builds_is_read_by_their_forms() {
    same_as_then::<String, Figures12>(WireEncoding::NamedTextIds, OLDEST);
    same_as_then::<Life, Figures12>(WireEncoding::Named, SECOND);
    same_as_then::<Life, Figures13>(WireEncoding::Named, THIRD);
}

/// a relay passes on the words of a sidecar that does not say whether its engine is down
#[test]
fn what_a_sidecar_does_not_say_is_not_made_up_on_the_way() {
    let unknown = ViewUpdate::Figures(samples::figures(None));
    for form in [WireEncoding::Positional, WireEncoding::Named] {
        let frame = chalkcart_protocol::encode_frame(&unknown, form).expect("encodes");
        let read: ViewUpdate = decode(&frame[FRAME_HEAD..]).expect("reads");
        assert_eq!(read, unknown);
    }
    // the third build reads a yes or no alone
    let bytes = encode(&EngineStats::default()).expect("encodes");
    let then: Figures13 = decode(&bytes).expect("reads");
    assert!(!then.is_down);
}

/// of a later build: fields behind those that are known here, and kinds that are not
#[test]
fn what_a_later_build_adds_is_passed_over() {
    #[derive(serde::Serialize)]
    struct LaterDemand {
        #[serde(flatten)]
        demand: AdapterDemand,
        later: Vec<u32>,
    }
    #[derive(serde::Serialize)]
    enum LaterWord {
        Later(u32, String),
    }
    #[derive(serde::Serialize)]
    struct LaterNews {
        engine: std::net::SocketAddr,
        age_ms: u32,
        word: LaterWord,
        later: Option<u8>,
    }
    #[derive(serde::Serialize)]
    struct LaterUpdate {
        news: Vec<LaterNews>,
        later: u8,
    }
    let later = LaterDemand {
        demand: samples::demand(),
        later: vec![1],
    };
    let read: AdapterDemand = decode(&encode(&later).expect("encodes")).expect("reads");
    assert_eq!(read, samples::demand());
    let word = || LaterWord::Later(1, "x".to_string());
    let read: ViewUpdate = decode(&encode(&word()).expect("encodes")).expect("reads");
    assert_eq!(read, ViewUpdate::Unknown);
    let news = LaterNews {
        engine: ([127, 0, 0, 1], 80).into(),
        age_ms: 1,
        word: word(),
        later: None,
    };
    let update = LaterUpdate {
        news: vec![news],
        later: 3,
    };
    let read: PeerRelayUpdate = decode(&encode(&update).expect("encodes")).expect("reads");
    assert_eq!(read.news[0].word, EngineViewState::Unknown);
}

/// A message whose shape changes needs a new wire version: raise `WireVersion::CURRENT`,
/// write the new bytes with `cargo run -p chalkcart-protocol --example record_messages`
/// into a file of their own, and keep the former one as a record that is read.
#[test]
fn the_shapes_of_messages_are_those_of_the_wire_version() {
    let (now, then) = (record(), FIFTH);
    for (now, then) in now.lines().zip(then.lines()) {
        assert_eq!(now, then);
    }
    assert_eq!(now.lines().count(), then.lines().count());
}
