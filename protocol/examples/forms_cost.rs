//! Bytes and processor time of one message of each kind in three ways of writing it:
//! positional frames, names, and Protocol Buffers; see docs/design/upgrades.md.

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

/// the figures of a view as Protocol Buffers would write them
#[derive(Clone, PartialEq, Message)]
struct FiguresMessage {
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

fn figures_message(f: &EngineStats) -> FiguresMessage {
    FiguresMessage {
        fence: f.fence,
        next_load_ms: f.next_load_ms,
        next_return_ms: f.next_return_ms,
        spare_slots: f.spare_slots,
        running: f.running,
        queued: f.queued,
        reading: f.reading,
        kv_used: f.kv_used,
        kv_total: f.kv_total,
        entries: f.entries,
        readers: f.readers,
        age_ms: f.age_ms,
        is_down: f.is_down,
        is_leaving: f.is_leaving,
    }
}

/// ns that a call takes, in the mean
fn time<T>(call: impl Fn() -> T) -> f64 {
    let begun = Instant::now();
    for _ in 0..ROUNDS {
        black_box(call());
    }
    begun.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
}

fn main() {
    println!("message  form  bytes  write_ns  read_ns");
    let figures = samples::figures(Some(false));
    let updates = [
        ("figures", ViewUpdate::Figures(figures)),
        ("changed", samples::changed(Some(false))),
        ("whole", ViewUpdate::Whole(samples::view(Some(false)))),
    ];
    for (name, update) in &updates {
        for (form, word) in samples::FORMS {
            let frame = encode_frame(update, form).expect("encodes");
            let body = frame.slice(FRAME_HEAD..);
            let write = time(|| encode_frame(update, form));
            let read = time(|| decode::<ViewUpdate>(&body));
            println!("{name}  {word}  {}  {write:.0}  {read:.0}", frame.len());
        }
    }
    let message = figures_message(&figures);
    let bytes = message.encode_to_vec();
    let write = time(|| figures_message(&figures).encode_to_vec());
    let read = time(|| FiguresMessage::decode(bytes.as_slice()));
    let length = bytes.len() + FRAME_HEAD;
    println!("figures  protocol_buffers  {length}  {write:.0}  {read:.0}");
    let demand = samples::demand();
    let bytes = chalkcart_protocol::encode(&demand).expect("encodes");
    let write = time(|| chalkcart_protocol::encode(&demand));
    let read = time(|| decode::<chalkcart_protocol::peer::AdapterDemand>(&bytes));
    println!("demand  named  {}  {write:.0}  {read:.0}", bytes.len());
}
