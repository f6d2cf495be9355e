//! Compatibility with messages recorded from earlier builds.
//!
//! Guards against entries and sidecars of different builds rejecting each other's frames.

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
    samples::{all, engine_samples, from_hex, record, Sample, FRAME_HEAD},
    serde::de::DeserializeOwned,
    std::collections::HashMap,
};

const OLDEST: &str = include_str!("recorded/2205e90.txt");
const SECOND: &str = include_str!("recorded/fc8906b.txt");
const THIRD: &str = include_str!("recorded/f7a7cb2.txt");
const FOURTH: &str = include_str!("recorded/4.txt");
const FIFTH: &str = include_str!("recorded/5.txt");
const SIXTH: &str = include_str!("recorded/6.txt");
const SEVENTH: &str = include_str!("recorded/7.txt");
const EIGHTH: &str = include_str!("recorded/8.txt");
const NINTH: &str = include_str!("recorded/9.txt");
const TENTH: &str = include_str!("recorded/10.txt");
const ELEVENTH: &str = include_str!("recorded/11.txt");

/// Not requested from relays that send no version: entries read the store themselves then.
const NOT_REQUESTED: &str = "published_records";

/// Has a field more since wire version 7; see
/// `crash_reports_for_earlier_builds_decode_with_their_types`.
const CHANGED_IN_7: &str = "crash_ask";

/// Has a field more since wire version 8; see
/// `positions_for_earlier_builds_decode_with_their_types`.
const CHANGED_IN_8: &str = "published_ask";

/// Have fields more since wire version 11; see `stream_origins_for_earlier_builds_decode_with_their_types`.
const CHANGED_IN_11: [&str; 2] = ["origins_ask", "origins_answer"];

/// Messages added in wire version 11.
const SINCE_11: [&str; 2] = ["origins_ask_versions", "origins_answer_versions"];

/// Messages added in wire version 10.
const SINCE_10: [&str; 2] = ["demand_entries", "view_figures_entries"];

/// Messages added in wire version 9.
const SINCE_9: [&str; 3] = ["published_software", "origins_ask", "origins_answer"];

/// Messages added in wire version 8.
const SINCE_8: [&str; 3] = ["published_ask_era", "published_records_era", "demand_era"];

/// Messages added in wire version 5.
const SINCE_5: [&str; 4] = [
    "published_regions",
    "view_figures_bound",
    "intake_report",
    "intake_answer",
];

/// Messages added in wire version 7.
const SINCE_7: [&str; 4] = [
    "crash_ask_run_id",
    "view_figures_measured",
    "usage_report_share",
    "usage_answer_share",
];

/// Messages added in wire version 6.
const SINCE_6: [&str; 3] = [
    "relay_ask_of_relay",
    "relay_demands_of_relay",
    "published_starting",
];

/// Parses a record into bytes by message name.
fn parse_record(recorded: &str) -> HashMap<&str, Vec<u8>> {
    let rows = recorded.lines().map(|line| {
        let columns: Vec<&str> = line.split(' ').collect();
        (
            columns[columns.len() - 2],
            from_hex(columns[columns.len() - 1]),
        )
    });
    rows.collect()
}

fn assert_decodes_all(recorded: &str, is_down: Option<bool>) {
    let bytes = parse_record(recorded);
    let samples = all(is_down);
    for sample in samples.iter().filter(|s| s.name != NOT_REQUESTED) {
        let Some(bytes) = bytes.get(sample.name) else {
            let is_newer = sample.name.starts_with("crash_")
                || SINCE_5.contains(&sample.name)
                || SINCE_6.contains(&sample.name)
                || SINCE_7.contains(&sample.name)
                || SINCE_8.contains(&sample.name)
                || SINCE_9.contains(&sample.name)
                || SINCE_10.contains(&sample.name)
                || SINCE_11.contains(&sample.name);
            assert!(is_newer, "{}", sample.name);
            continue;
        };
        let read = (sample.read)(bytes).map_err(|e| e.to_string());
        assert_eq!(read.as_ref(), Ok(&sample.text), "{}", sample.name);
    }
}

#[test]
fn messages_of_earlier_builds_decode() {
    assert_decodes_all(OLDEST, None);
    assert_decodes_all(SECOND, None);
    assert_decodes_all(THIRD, Some(true));
    assert_decodes_all(FOURTH, Some(true));
    assert_decodes_all(FIFTH, Some(true));
    assert_decodes_all(SIXTH, Some(true));
    assert_decodes_all(SEVENTH, Some(true));
    assert_decodes_all(EIGHTH, Some(true));
    assert_decodes_all(NINTH, Some(true));
    assert_decodes_all(TENTH, Some(true));
}

/// Messages whose format has not changed are encoded to the same bytes.
#[test]
fn unchanged_messages_encode_as_in_earlier_builds() {
    for recorded in [OLDEST, SECOND, THIRD] {
        let bytes = parse_record(recorded);
        let engine_names: Vec<&str> = engine_samples(None).iter().map(|s| s.name).collect();
        let same = |s: &&Sample| {
            ![NOT_REQUESTED, CHANGED_IN_7, CHANGED_IN_8].contains(&s.name)
                && !engine_names.contains(&s.name)
        };
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

fn encoded(name: &str, encoding: WireEncoding) -> Vec<u8> {
    let samples = engine_samples(Some(true));
    let sample = samples.iter().find(|s| s.name == name).expect("a sample");
    let bytes = (sample.write)(encoding);
    match sample.kind {
        samples::Kind::Message => bytes,
        samples::Kind::Frame => bytes[FRAME_HEAD..].to_vec(),
    }
}

/// Decodes the current and the recorded bytes of a message with the types of the earlier build.
fn decode_both<T: DeserializeOwned>(name: &str, encoding: WireEncoding, recorded: &str) -> (T, T) {
    let then = &parse_record(recorded)[name];
    let frame = !matches!(name, "demand" | "relay_demands");
    let then = if frame { &then[FRAME_HEAD..] } else { then };
    let today = decode(&encoded(name, encoding));
    let today = today.unwrap_or_else(|e| panic!("{name}: {e}"));
    (today, decode(then).expect("decodes its own messages"))
}

fn assert_same_as_recorded<L, F>(encoding: WireEncoding, recorded: &str)
where
    L: DeserializeOwned + PartialEq + std::fmt::Debug,
    F: DeserializeOwned + PartialEq + std::fmt::Debug,
{
    for name in ["view_whole", "view_changed", "view_figures"] {
        let (today, then) = decode_both::<Update<L, F>>(name, encoding, recorded);
        assert_eq!(today, then);
    }
    let (today, then) = decode_both::<RelayUpdate<L, F>>("relay_update", encoding, recorded);
    assert_eq!(today, then);
    let (today, then) = decode_both::<Demand<L>>("demand", encoding, recorded);
    assert_eq!(today, then);
    let (today, then) = decode_both::<RelayDemands<L>>("relay_demands", encoding, recorded);
    assert_eq!(today, then);
}

#[test]
fn messages_for_earlier_builds_decode_with_their_types() {
    assert_same_as_recorded::<String, Figures12>(WireEncoding::NamedTextIds, OLDEST);
    assert_same_as_recorded::<Life, Figures12>(WireEncoding::Named, SECOND);
    assert_same_as_recorded::<Life, Figures13>(WireEncoding::Named, THIRD);
}

/// An earlier build must read a report with the id of a completed run.
#[test]
fn crash_reports_for_earlier_builds_decode_with_their_types() {
    let samples = samples::crash_samples();
    let ask = samples.iter().find(|s| s.name == CHANGED_IN_7);
    let ask = (ask.expect("a sample").write)(WireEncoding::Named);
    let today: landed::CrashRequest = decode(&ask).expect("decodes");
    for recorded in [THIRD, FOURTH, FIFTH, SIXTH] {
        let then = &parse_record(recorded)[CHANGED_IN_7];
        let then: landed::CrashRequest = decode(then).expect("decodes its own messages");
        assert_eq!(today, then);
    }
}

/// An earlier build must read a request and records whose positions have an era.
#[test]
fn positions_for_earlier_builds_decode_with_their_types() {
    let samples = samples::store_samples();
    let named = |name: &str| {
        let sample = samples.iter().find(|s| s.name == name);
        (sample.expect("a sample").write)(WireEncoding::Named)
    };
    for recorded in [THIRD, FOURTH, FIFTH, SIXTH, SEVENTH] {
        let then = parse_record(recorded);
        for name in [CHANGED_IN_8, "published_ask_era"] {
            let today: landed::PublishedRequest = decode(&named(name)).expect("decodes");
            let then: landed::PublishedRequest =
                decode(&then[CHANGED_IN_8]).expect("decodes its own messages");
            assert_eq!(today, then);
        }
    }
    for recorded in [FOURTH, FIFTH, SIXTH, SEVENTH] {
        let then = &parse_record(recorded)[NOT_REQUESTED];
        for name in [NOT_REQUESTED, "published_records_era"] {
            let today: landed::PublishedResponse = decode(&named(name)).expect("decodes");
            let then: landed::PublishedResponse = decode(then).expect("decodes its own messages");
            assert_eq!(today, then);
        }
    }
}

/// An earlier build must read origins with what is known of versions.
#[test]
fn stream_origins_for_earlier_builds_decode_with_their_types() {
    let samples = samples::origin_samples();
    let named = |name: &str| {
        let sample = samples.iter().find(|s| s.name == name);
        (sample.expect("a sample").write)(WireEncoding::Named)
    };
    for recorded in [NINTH, TENTH] {
        let then = parse_record(recorded);
        let [ask, answer] = CHANGED_IN_11;
        for name in [ask, SINCE_11[0]] {
            let today: landed::StreamOriginsRequest = decode(&named(name)).expect("decodes");
            let then: landed::StreamOriginsRequest = decode(&then[ask]).expect("decodes its own");
            assert_eq!(today, then);
        }
        for name in [answer, SINCE_11[1]] {
            let today: landed::StreamOriginsResponse = decode(&named(name)).expect("decodes");
            let then: landed::StreamOriginsResponse =
                decode(&then[answer]).expect("decodes its own");
            assert_eq!(today, then);
        }
    }
}

/// A relay must not turn an unknown `is_down` into a value when it forwards stats.
#[test]
fn unknown_liveness_stays_unknown_when_forwarded() {
    let unknown = ViewUpdate::Figures(samples::stats(None));
    for encoding in [WireEncoding::Positional, WireEncoding::Named] {
        let frame = chalkcart_protocol::encode_frame(&unknown, encoding).expect("encodes");
        let read: ViewUpdate = decode(&frame[FRAME_HEAD..]).expect("reads");
        assert_eq!(read, unknown);
    }
    // the third build requires a boolean
    let bytes = encode(&EngineStats::default()).expect("encodes");
    let then: Figures13 = decode(&bytes).expect("reads");
    assert!(!then.is_down);
}

/// Unknown fields and variants of later builds are ignored.
#[test]
fn additions_of_later_builds_are_ignored() {
    #[derive(serde::Serialize)]
    struct LaterDemand {
        #[serde(flatten)]
        demand: AdapterDemand,
        later: Vec<u32>,
    }
    #[derive(serde::Serialize)]
    enum LaterState {
        Later(u32, String),
    }
    #[derive(serde::Serialize)]
    struct LaterEngineUpdate {
        engine: std::net::SocketAddr,
        age_ms: u32,
        word: LaterState,
        later: Option<u8>,
    }
    #[derive(serde::Serialize)]
    struct LaterUpdate {
        news: Vec<LaterEngineUpdate>,
        later: u8,
    }
    let later = LaterDemand {
        demand: samples::demand(),
        later: vec![1],
    };
    let read: AdapterDemand = decode(&encode(&later).expect("encodes")).expect("reads");
    assert_eq!(read, samples::demand());
    let state = || LaterState::Later(1, "x".to_string());
    let read: ViewUpdate = decode(&encode(&state()).expect("encodes")).expect("reads");
    assert_eq!(read, ViewUpdate::Unknown);
    let news = LaterEngineUpdate {
        engine: ([127, 0, 0, 1], 80).into(),
        age_ms: 1,
        word: state(),
        later: None,
    };
    let update = LaterUpdate {
        news: vec![news],
        later: 3,
    };
    let read: PeerRelayUpdate = decode(&encode(&update).expect("encodes")).expect("reads");
    assert_eq!(read.news[0].word, EngineViewState::Unknown);
}

/// A change of a message's format needs a new wire version: raise `WireVersion::CURRENT`, record
/// the new bytes with `cargo run -p chalkcart-protocol --example record_messages` in a new file,
/// and keep the previous record as one that must decode.
#[test]
fn message_formats_match_the_recorded_wire_version() {
    let (now, then) = (record(), ELEVENTH);
    for (now, then) in now.lines().zip(then.lines()) {
        assert_eq!(now, then);
    }
    assert_eq!(now.lines().count(), then.lines().count());
}
