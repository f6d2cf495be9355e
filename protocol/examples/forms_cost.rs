//! Compares the size and the encoding and decoding time of messages as positional frames, with
//! field names, and in Protocol Buffers; see docs/design/upgrades.md.

#[path = "../tests/samples/mod.rs"]
mod samples;

use {
    chalkcart_protocol::{
        decode, encode_frame,
        peer::{EngineStats, ViewUpdate},
    },
    prost::Message,
    samples::FRAME_HEAD,
    std::{hint::black_box, time::Instant},
};

const ROUNDS: u32 = 200_000;

/// Engine stats as a Protocol Buffers message.
#[derive(Clone, PartialEq, Message)]
struct StatsMessage {
    #[prost(uint64, tag = "1")]
    fence: u64,
    #[prost(uint32, tag = "2")]
    next_load_ms: u32,
    #[prost(uint32, tag = "3")]
    next_return_ms: u32,
    #[prost(uint32, tag = "4")]
    spare_slots: u32,
    #[prost(uint32, tag = "5")]
    running: u32,
    #[prost(uint32, tag = "6")]
    queued: u32,
    #[prost(uint32, tag = "7")]
    reading: u32,
    #[prost(uint64, tag = "8")]
    kv_used: u64,
    #[prost(uint64, tag = "9")]
    kv_total: u64,
    #[prost(uint32, tag = "10")]
    entries: u32,
    #[prost(uint32, tag = "11")]
    readers: u32,
    #[prost(uint32, tag = "12")]
    age_ms: u32,
    #[prost(bool, optional, tag = "13")]
    is_down: Option<bool>,
    #[prost(bool, tag = "14")]
    is_leaving: bool,
}

fn stats_message(stats: &EngineStats) -> StatsMessage {
    StatsMessage {
        fence: stats.fence,
        next_load_ms: stats.next_load_ms,
        next_return_ms: stats.next_return_ms,
        spare_slots: stats.spare_slots,
        running: stats.running,
        queued: stats.queued,
        reading: stats.reading,
        kv_used: stats.kv_used,
        kv_total: stats.kv_total,
        entries: stats.entries,
        readers: stats.readers,
        age_ms: stats.age_ms,
        is_down: stats.is_down,
        is_leaving: stats.is_leaving,
    }
}

/// Returns the mean duration of a call in ns.
fn mean_ns<T>(call: impl Fn() -> T) -> f64 {
    let start = Instant::now();
    for _ in 0..ROUNDS {
        black_box(call());
    }
    start.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
}

fn main() {
    println!("message  form  bytes  write_ns  read_ns");
    let stats = samples::stats(Some(false));
    let updates = [
        ("figures", ViewUpdate::Figures(stats)),
        ("changed", samples::changed(Some(false))),
        ("whole", ViewUpdate::Whole(samples::view(Some(false)))),
    ];
    for (name, update) in &updates {
        for (encoding, encoding_name) in samples::ENCODINGS {
            let frame = encode_frame(update, encoding).expect("encodes");
            let body = frame.slice(FRAME_HEAD..);
            let write = mean_ns(|| encode_frame(update, encoding));
            let read = mean_ns(|| decode::<ViewUpdate>(&body));
            println!(
                "{name}  {encoding_name}  {}  {write:.0}  {read:.0}",
                frame.len()
            );
        }
    }
    let message = stats_message(&stats);
    let bytes = message.encode_to_vec();
    let write = mean_ns(|| stats_message(&stats).encode_to_vec());
    let read = mean_ns(|| StatsMessage::decode(bytes.as_slice()));
    let length = bytes.len() + FRAME_HEAD;
    println!("figures  protocol_buffers  {length}  {write:.0}  {read:.0}");
    let demand = samples::demand();
    let bytes = chalkcart_protocol::encode(&demand).expect("encodes");
    let write = mean_ns(|| chalkcart_protocol::encode(&demand));
    let read = mean_ns(|| decode::<chalkcart_protocol::peer::AdapterDemand>(&bytes));
    println!("demand  named  {}  {write:.0}  {read:.0}", bytes.len());
}
