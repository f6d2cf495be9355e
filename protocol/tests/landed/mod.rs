//! Message types of earlier builds, where they differ from today's. They must not change, since
//! the decoders of those builds are fixed.

// each version uses a part of it
#![allow(dead_code)]

use {
    chalkcart_protocol::peer::{CrashCursor, CrashEvent, StreamOrigin},
    chalkcart_state::{
        backends::{AdapterRef, HeldAdapter},
        ingress::RequestDigest,
        published::{Record, Topic},
    },
    serde::Deserialize,
    std::net::SocketAddr,
};

/// Back end id since fc8906b.
#[derive(Debug, PartialEq, Deserialize)]
pub struct Life {
    pub name: String,
    pub born: u64,
}

/// Of 2205e90 and fc8906b.
#[derive(Debug, PartialEq, Deserialize)]
pub struct Figures12 {
    pub fence: u64,
    pub next_load_ms: u32,
    pub next_return_ms: u32,
    pub spare_slots: u32,
    pub running: u32,
    pub queued: u32,
    pub reading: u32,
    pub kv_used: u64,
    pub kv_total: u64,
    pub entries: u32,
    pub readers: u32,
    pub age_ms: u32,
}

/// Of f7a7cb2.
#[derive(Debug, PartialEq, Deserialize)]
pub struct Figures13 {
    pub fence: u64,
    pub next_load_ms: u32,
    pub next_return_ms: u32,
    pub spare_slots: u32,
    pub running: u32,
    pub queued: u32,
    pub reading: u32,
    pub kv_used: u64,
    pub kv_total: u64,
    pub entries: u32,
    pub readers: u32,
    pub age_ms: u32,
    pub is_down: bool,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct View<L, F> {
    pub backend: L,
    pub models: Vec<String>,
    pub held: Vec<HeldAdapter>,
    pub loading: Vec<AdapterRef>,
    pub lately: Vec<u64>,
    pub figures: F,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct Change<F> {
    pub came: Vec<HeldAdapter>,
    pub left: Vec<AdapterRef>,
    pub loading: Vec<AdapterRef>,
    pub figures: F,
}

#[derive(Debug, PartialEq, Deserialize)]
pub enum Update<L, F> {
    Whole(View<L, F>),
    Changed(Change<F>),
    Figures(F),
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct RelayUpdate<L, F> {
    pub news: Vec<News<L, F>>,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct News<L, F> {
    pub engine: SocketAddr,
    pub age_ms: u32,
    pub word: Word<L, F>,
}

#[derive(Debug, PartialEq, Deserialize)]
pub enum Word<L, F> {
    View(Update<L, F>),
    Silent,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct Wanted {
    pub adapter: AdapterRef,
    pub waiting: u32,
    pub priority: u8,
    pub waited_ms: u32,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct Use {
    pub adapter: AdapterRef,
    pub in_flight: u32,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct Room {
    pub adapter_slots: u32,
    pub weights_mb: f64,
    pub models: Vec<ModelSize>,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct ModelSize {
    pub model: String,
    pub weights_mb: f64,
    pub adapter_mb: f64,
    pub reload_ms: u32,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct Demand<L> {
    pub entry: String,
    pub entries: u32,
    pub backend: L,
    pub list_version: u64,
    pub fence_seen: u64,
    pub health_path: String,
    pub room: Room,
    pub wanted: Vec<Wanted>,
    pub used: Vec<Use>,
    pub outdated: Vec<HeldAdapter>,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct RelayDemands<L> {
    pub entry: String,
    pub is_whole: bool,
    pub engines: Vec<EngineDemand<L>>,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct EngineDemand<L> {
    pub engine: SocketAddr,
    pub demand: Option<Demand<L>>,
}

/// Before wire version 7.
#[derive(Debug, PartialEq, Deserialize)]
pub struct CrashReport {
    pub digest: RequestDigest,
    pub event: CrashEvent,
    pub age_ms: u64,
}

/// Before wire version 7.
#[derive(Debug, PartialEq, Deserialize)]
pub struct CrashRequest {
    pub entry: String,
    pub heard: Option<CrashCursor>,
    pub words: Vec<CrashReport>,
    pub wait_ms: u64,
}

/// Before wire version 8.
#[derive(Debug, PartialEq, Deserialize)]
pub struct PublishedRequest {
    pub topic: Topic,
    pub after: Option<u64>,
    pub wait_ms: u64,
}

/// Before wire version 8.
#[derive(Debug, PartialEq, Deserialize)]
pub enum PublishedResponse {
    Records { snapshot: Snapshot, current_ms: i64 },
}

/// Before wire version 8.
#[derive(Debug, PartialEq, Deserialize)]
pub struct Snapshot {
    pub records: Vec<Record>,
    pub at: u64,
}

/// Before wire version 11.
#[derive(Debug, PartialEq, Deserialize)]
pub struct StreamOriginsRequest {
    pub kept: Vec<StreamOrigin>,
    pub keep_ms: u64,
    pub asked: Vec<String>,
}

/// Before wire version 11.
#[derive(Debug, PartialEq, Deserialize)]
pub struct StreamOriginsResponse {
    pub known: Vec<StreamOrigin>,
}
