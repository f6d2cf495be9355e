//! Sample messages with fixed content, recorded for each wire version.

// each test uses a part of it
#![allow(dead_code)]

use {
    chalkcart_protocol::{
        decode,
        peer::*,
        wire::{encode_as, encode_frame, CodecError, WireEncoding},
    },
    chalkcart_state::{
        accounts::{AccountTable, ClientAccount},
        backends::{AdapterRef, Backend, HeldAdapter},
        ingress::{IngressLimits, RequestDigest, Route, RouteKind, RouteTable, WeightedService},
        published::{Record, RecordSubject, Snapshot, StorePosition, Topic, UnreadableCause},
        regions::AllowedRegions,
    },
    serde::{de::DeserializeOwned, Serialize},
    std::{fmt::Debug, net::SocketAddr, time::Duration},
};

/// Size of a frame's length prefix, in bytes.
pub const FRAME_HEAD: usize = 4;

/// How a message is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// As the body of a call.
    Message,
    /// In a stream, with a length prefix.
    Frame,
}

impl Kind {
    pub fn name(self) -> &'static str {
        match self {
            Self::Message => "message",
            Self::Frame => "frame",
        }
    }
}

type Write = Box<dyn Fn(WireEncoding) -> Vec<u8>>;
type Read = Box<dyn Fn(&[u8]) -> Result<String, CodecError>>;

/// A message with its encoder and decoder.
pub struct Sample {
    pub kind: Kind,
    pub name: &'static str,
    /// Debug form of the message.
    pub text: String,
    pub write: Write,
    /// Returns the debug form of the decoded message.
    pub read: Read,
}

fn sample<T>(kind: Kind, name: &'static str, message: T) -> Sample
where
    T: Serialize + DeserializeOwned + Debug + 'static,
{
    let text = format!("{message:?}");
    let write = move |encoding| match kind {
        Kind::Message => encode_as(&message, encoding).expect("encodes").to_vec(),
        Kind::Frame => encode_frame(&message, encoding).expect("encodes").to_vec(),
    };
    let read = move |buf: &[u8]| {
        let body = match kind {
            Kind::Message => buf,
            Kind::Frame => &buf[FRAME_HEAD..],
        };
        decode::<T>(body).map(|message| format!("{message:?}"))
    };
    Sample {
        kind,
        name,
        text,
        write: Box::new(write),
        read: Box::new(read),
    }
}

fn adapter(name: &str) -> AdapterRef {
    AdapterRef {
        model: "m".to_string(),
        adapter: name.to_string(),
    }
}

fn held(name: &str, version: u64) -> HeldAdapter {
    HeldAdapter {
        adapter: adapter(name),
        version,
    }
}

/// Sample stats, with `is_down` as the compared builds report it.
pub fn stats(is_down: Option<bool>) -> EngineStats {
    EngineStats {
        fence: 1_700_000_000_123,
        next_load_ms: 250,
        next_return_ms: 25,
        spare_slots: 3,
        running: 5,
        queued: 2,
        reading: 1,
        kv_used: 41_000,
        kv_total: 90_000,
        entries: 4,
        readers: 5,
        age_ms: 70,
        is_down,
        is_leaving: false,
        limit_milli_per_s: None,
        cold_left_ms: 0,
        prefill_tokens_per_s: None,
        event_interval_us: None,
        prefill_tokens: None,
        known_entries: KnownEntries::default(),
    }
}

fn known_entries() -> KnownEntries {
    KnownEntries {
        entries: 350,
        age_s: 75,
    }
}

/// Stats of a sidecar that remembers how many entries there are.
fn counted_stats() -> EngineStats {
    EngineStats {
        known_entries: known_entries(),
        ..stats(Some(false))
    }
}

/// Stats of an engine whose performance is measured.
fn measured_stats() -> EngineStats {
    EngineStats {
        prefill_tokens_per_s: Some(19_200),
        event_interval_us: Some(31_500),
        prefill_tokens: Some(2_370),
        ..stats(Some(false))
    }
}

/// Stats of an engine with a limit, in slow start.
fn limited_stats() -> EngineStats {
    EngineStats {
        limit_milli_per_s: Some(2_100),
        cold_left_ms: 900,
        ..stats(Some(false))
    }
}

pub fn view(is_down: Option<bool>) -> EngineView {
    EngineView {
        backend: "e-1".into(),
        models: vec!["m".to_string()],
        held: vec![held("a", 2)],
        loading: vec![adapter("b")],
        lately: vec![7, u64::MAX],
        figures: stats(is_down),
    }
}

pub fn changed(is_down: Option<bool>) -> ViewUpdate {
    ViewUpdate::Changed(ViewChange {
        came: vec![held("b", 1)],
        left: vec![adapter("a")],
        loading: vec![adapter("c")],
        figures: stats(is_down),
    })
}

pub fn demand() -> AdapterDemand {
    AdapterDemand {
        entry: "entry-1".to_string(),
        entries: 1,
        backend: "e-1".into(),
        list_version: 46,
        fence_seen: 9,
        health_path: "/health".to_string(),
        room: EngineCapacity {
            adapter_slots: 21,
            weights_mb: 1000.5,
            models: vec![ModelSize {
                model: "m".to_string(),
                weights_mb: 500.0,
                adapter_mb: 10.0,
                reload_ms: 500,
            }],
        },
        wanted: vec![WantedAdapter {
            adapter: adapter("b"),
            waiting: 2,
            priority: 1,
            waited_ms: 80,
        }],
        used: vec![AdapterUse {
            adapter: adapter("a"),
            in_flight: 3,
        }],
        outdated: vec![held("a", 3)],
        list_era: 0,
        known_entries: KnownEntries::default(),
    }
}

fn engine() -> SocketAddr {
    SocketAddr::from(([10, 3, 0, 13], 8482))
}

pub fn relay_demands() -> RelayDemands {
    let engine_demand = |demand| EngineDemand {
        engine: engine(),
        demand,
        zone: None,
    };
    RelayDemands {
        entry: "entry-1".to_string(),
        is_whole: true,
        engines: vec![engine_demand(Some(demand())), engine_demand(None)],
        is_relay: false,
    }
}

/// Demands of a relay, with the zones of engines.
fn relay_demands_of_relay() -> RelayDemands {
    let mut demands = relay_demands();
    demands.is_relay = true;
    for engine in &mut demands.engines {
        engine.zone = Some("z".to_string());
    }
    demands
}

pub fn relay_update(is_down: Option<bool>) -> RelayUpdate {
    let states = [
        EngineViewState::View(ViewUpdate::Whole(view(is_down))),
        EngineViewState::View(changed(is_down)),
        EngineViewState::View(ViewUpdate::Figures(stats(is_down))),
        EngineViewState::Silent,
    ];
    let updates = states.into_iter().map(|word| EngineUpdate {
        engine: engine(),
        age_ms: 12,
        word,
    });
    RelayUpdate {
        news: updates.collect(),
    }
}

fn published() -> PublishedResponse {
    let backend = Backend {
        id: "e-1".into(),
        service: "s".to_string(),
        addr: engine(),
        zone: "z".to_string(),
        slots: 8,
        leaving: false,
        slow_start_left: Duration::from_millis(2_500),
        models: vec!["m".to_string()],
        held: vec![held("a", 2)],
        software_version: None,
    };
    let unreadable = Record::Unreadable {
        subject: RecordSubject::Backend("e-2".to_string()),
        key: "servers/e-2".to_string(),
        cause: UnreadableCause::Fields,
        problem: "p".to_string(),
    };
    let table = RouteTable::new(6, IngressLimits::default(), Vec::new());
    let records = vec![
        Record::Table(Box::new(table)),
        Record::AdapterVersion {
            adapter: adapter("a"),
            version: 3,
        },
        Record::Backend(backend),
        Record::BackendGone("e-0".to_string()),
        Record::Zone {
            zone: "z".to_string(),
            is_evacuated: true,
        },
        unreadable,
    ];
    PublishedResponse::Records {
        snapshot: Snapshot {
            at: StorePosition::new(0, 46),
            records,
        },
        current_ms: -5,
    }
}

/// The same in the third era of the store.
fn published_in_era() -> PublishedResponse {
    match published() {
        PublishedResponse::Records {
            snapshot,
            current_ms,
        } => PublishedResponse::Records {
            snapshot: Snapshot {
                at: StorePosition::new(3, snapshot.at.revision),
                ..snapshot
            },
            current_ms,
        },
        other => other,
    }
}

/// A back end with the version of its software.
fn published_software() -> PublishedResponse {
    let mut response = published();
    if let PublishedResponse::Records { snapshot, .. } = &mut response {
        snapshot.records.retain(|r| matches!(r, Record::Backend(_)));
        for record in &mut snapshot.records {
            if let Record::Backend(backend) = record {
                backend.software_version = Some("v1.2".to_string());
            }
        }
    }
    response
}

/// A configuration with a route and an account that are restricted to regions.
fn published_regions() -> PublishedResponse {
    let regions = |name: &str| AllowedRegions::restricted_to([name.to_string()]);
    let route = Route {
        name: "r".to_string(),
        path_prefix: "/r/".to_string(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(8),
        target_latency: Duration::from_millis(300),
        priority: 1,
        max_attempts: 2,
        is_public: false,
        services: vec![WeightedService {
            service: "s".to_string(),
            weight: 1.0,
        }],
        allowed_regions: regions("north"),
        target_gap: None,
    };
    let account = ClientAccount::new("acme", 1, None).with_allowed_regions(regions("south"));
    let key = chalkcart_state::accounts::ApiKeyDigest::of(b"key").expect("a key");
    let mut accounts = AccountTable::default();
    accounts.add(account, [key]);
    let mut table = RouteTable::new(7, IngressLimits::default(), Vec::new());
    table.accounts = Some(accounts);
    table.add_route("host", route);
    let records = vec![Record::Table(Box::new(table))];
    PublishedResponse::Records {
        snapshot: Snapshot {
            at: StorePosition::new(0, 47),
            records,
        },
        current_ms: 0,
    }
}

/// Messages of view streams and demands.
pub fn engine_samples(is_down: Option<bool>) -> Vec<Sample> {
    use Kind::{Frame, Message};
    let request = RelayRequest {
        entry: "entry-1".to_string(),
        is_relay: false,
    };
    let request_of_relay = RelayRequest {
        entry: "side-1".to_string(),
        is_relay: true,
    };
    let stats = ViewUpdate::Figures(stats(is_down));
    vec![
        sample(Frame, "view_whole", ViewUpdate::Whole(view(is_down))),
        sample(Frame, "view_changed", changed(is_down)),
        sample(Frame, "view_figures", stats),
        sample(
            Frame,
            "view_figures_bound",
            ViewUpdate::Figures(limited_stats()),
        ),
        sample(
            Frame,
            "view_figures_measured",
            ViewUpdate::Figures(measured_stats()),
        ),
        sample(Message, "demand", demand()),
        sample(
            Message,
            "demand_era",
            AdapterDemand {
                list_era: 3,
                ..demand()
            },
        ),
        sample(
            Message,
            "demand_entries",
            AdapterDemand {
                known_entries: known_entries(),
                ..demand()
            },
        ),
        sample(
            Frame,
            "view_figures_entries",
            ViewUpdate::Figures(counted_stats()),
        ),
        sample(Message, "relay_ask", request),
        sample(Message, "relay_ask_of_relay", request_of_relay),
        sample(Message, "relay_demands", relay_demands()),
        sample(Message, "relay_demands_of_relay", relay_demands_of_relay()),
        sample(Frame, "relay_update", relay_update(is_down)),
    ]
}

/// Messages with records of the platform's store.
pub fn store_samples() -> Vec<Sample> {
    use Kind::Message;
    let request = PublishedRequest {
        topic: Topic::Backends,
        after: Some(StorePosition::new(0, 45)),
        wait_ms: 1000,
    };
    let request_in_era = PublishedRequest {
        after: Some(StorePosition::new(3, 45)),
        ..request
    };
    let history_lost = PublishedResponse::HistoryLost;
    vec![
        sample(Message, "published_ask", request),
        sample(Message, "published_records", published()),
        sample(Message, "published_regions", published_regions()),
        sample(Message, "published_ask_era", request_in_era),
        sample(Message, "published_records_era", published_in_era()),
        sample(Message, "published_software", published_software()),
        sample(Message, "published_history_lost", history_lost),
        sample(Message, "published_stale", PublishedResponse::Stale),
        sample(
            Message,
            "published_starting",
            PublishedResponse::Starting { since_ms: 120 },
        ),
    ]
}

/// Messages of usage aggregation.
pub fn usage_samples() -> Vec<Sample> {
    use Kind::Message;
    let usage = AccountUsage {
        account: 5,
        taken: 10,
        asked: 12,
        told_taken: 8,
        told_asked: 9,
        level: -1.5,
        per_s: 100.0,
        most: 50.0,
        in_window: 110.0,
        share: 0.0,
        share_level: 0.0,
        taken_in_window: 0.0,
        unacked_ms: 0,
    };
    let report = UsageReport {
        entry: "entry-1".to_string(),
        incarnation: 77,
        entries: 4,
        window_ms: 1000,
        accounts: vec![usage],
    };
    let level = AccountLevel {
        account: 5,
        level: 2.5,
        asked_per_s: 30.0,
        share: 0.0,
        granted: 0.0,
    };
    let response = UsageResponse {
        incarnation: 78,
        entries: 3,
        accounts: vec![level],
    };
    let usage_with_share = AccountUsage {
        share: 0.25,
        share_level: 3.5,
        taken_in_window: 6.5,
        unacked_ms: 250,
        ..report.accounts[0].clone()
    };
    let report_with_share = UsageReport {
        accounts: vec![usage_with_share],
        ..report.clone()
    };
    let level_with_share = AccountLevel {
        share: 0.25,
        granted: 0.75,
        ..response.accounts[0].clone()
    };
    let response_with_share = UsageResponse {
        accounts: vec![level_with_share],
        ..response.clone()
    };
    vec![
        sample(Message, "usage_report_share", report_with_share),
        sample(Message, "usage_answer_share", response_with_share),
        sample(Message, "usage_report", report),
        sample(Message, "usage_answer", response),
    ]
}

/// Messages of crash aggregation.
pub fn crash_samples() -> Vec<Sample> {
    use Kind::Message;
    let digest = RequestDigest::of("POST", "/", "", b"body");
    let report = |event, age_ms, run_id| CrashReport {
        digest,
        event,
        age_ms,
        run_id,
    };
    let cursor = |revision| CrashCursor {
        keeper: 5,
        revision,
    };
    let request = CrashRequest {
        entry: "entry-1".to_string(),
        heard: Some(cursor(6)),
        wait_ms: 1500,
        words: vec![
            report(CrashEvent::Ended { life: 11 }, 20, 0),
            report(CrashEvent::Served, 30, 0),
        ],
    };
    let with_run_id = CrashRequest {
        words: vec![report(CrashEvent::Served, 30, 12)],
        ..request.clone()
    };
    let response = CrashResponse {
        mark: cursor(7),
        words: Vec::new(),
    };
    vec![
        sample(Message, "crash_ask", request),
        sample(Message, "crash_ask_run_id", with_run_id),
        sample(Message, "crash_answer", response),
    ]
}

/// Messages about the software versions that began streams.
pub fn origin_samples() -> Vec<Sample> {
    use Kind::Message;
    let origin = || StreamOrigin {
        request: "r-1".to_string(),
        service: "s".to_string(),
        backend: "e-1".into(),
        version: Some("v1.2".to_string()),
    };
    let request = StreamOriginsRequest {
        kept: vec![origin()],
        keep_ms: 30_000,
        asked: vec!["r-0".to_string()],
        versions: Vec::new(),
    };
    let response = StreamOriginsResponse {
        known: vec![origin()],
        ..StreamOriginsResponse::default()
    };
    let versions = || {
        vec![VersionReport {
            service: "s".to_string(),
            versions: vec![ListedVersion {
                version: "v1.2".to_string(),
                listed_ago_ms: 300,
            }],
            since_ms: Some(60_000),
            until_ms: 250,
        }]
    };
    let request_with_versions = StreamOriginsRequest {
        versions: versions(),
        ..request.clone()
    };
    let response_with_versions = StreamOriginsResponse {
        kept_for_ms: Some(1_500),
        versions: versions(),
        ..response.clone()
    };
    vec![
        sample(Message, "origins_ask", request),
        sample(Message, "origins_answer", response),
        sample(Message, "origins_ask_versions", request_with_versions),
        sample(Message, "origins_answer_versions", response_with_versions),
    ]
}

/// Messages of admission permits.
pub fn admission_samples() -> Vec<Sample> {
    use Kind::Message;
    let report = AdmissionReport {
        entry: "entry-1".to_string(),
        backend: "e-1".into(),
        named: Some(ObservedLimit {
            milli_per_s: 2_100,
            ago_ms: 40,
        }),
        freed_ago_ms: Some(70_000),
        wanted: 3,
        priority: 1,
        unused: 1,
    };
    let response = AdmissionResponse {
        backend: "e-1".into(),
        limit_milli_per_s: Some(2_100),
        freed_ago_ms: None,
        granted: 1,
        next_ms: 480,
    };
    vec![
        sample(Message, "intake_report", report),
        sample(Message, "intake_answer", response),
    ]
}

/// Messages of requests that sidecars run.
pub fn work_samples() -> Vec<Sample> {
    use Kind::{Frame as InStream, Message};
    let permit = PermitRequest {
        purpose: PermitPurpose::Ask,
        target: "box".to_string(),
        adapter: "a".to_string(),
        priority: 1,
        waited: Duration::from_millis(1500),
    };
    let granted = PermitResponse::Granted {
        lease: Duration::from_secs(2),
    };
    let cancel = CancelOrder {
        request: "r".to_string(),
    };
    let cancelled = CancelAnswer {
        outcome: Outcome::MayHaveRun,
    };
    let reserved = ReserveAnswer::Reserved {
        ids: vec!["r".to_string()],
        valid_for: Duration::from_secs(3),
    };
    let resume = ResumeOrder {
        request: "r".to_string(),
        from: 4,
    };
    let call = CallWork {
        service: "s".to_string(),
        body: vec![1, 2, 3],
    };
    let work = WorkOrder {
        request: "r".to_string(),
        reserved: true,
        group: "g".to_string(),
        class: "c".to_string(),
        remaining: Duration::from_millis(900),
        permit_giver: Some(engine()),
        work: Work::Call(call),
    };
    let sync = SyncRequest {
        from: "box".to_string(),
        generation: 3,
        list_version: 4,
        from_sidecar: true,
    };
    let synced = SyncResponse {
        generation: 3,
        root: None,
        list: None,
    };
    let shard = ShardRequest {
        index: 1,
        digest: "d".to_string(),
    };
    let report = TargetReport {
        name: "box".to_string(),
        incarnation: 1,
        generation: 3,
        leaving: false,
        queued_tokens: 10,
        running: 1,
        max_running: 8,
        wished: 1,
        token_micros: 900,
        load_millis: 250,
        loaded: vec![LoadedAdapter {
            adapter: "a".to_string(),
            version: 2,
        }],
    };
    let refusal = Refusal::not_run(Step::Queue, "box", Reason::Overloaded)
        .with_retry_after(Duration::from_millis(100));
    let finished = FrameBody::Finished {
        adapter: "a".to_string(),
        version: 2,
    };
    let numbered = |sequence, body| Frame::Numbered { sequence, body };
    let token = numbered(7, FrameBody::Token("t".to_string()));
    vec![
        sample(Message, "permit_ask", permit),
        sample(Message, "permit_answer", granted),
        sample(Message, "cancel_order", cancel),
        sample(Message, "cancel_answer", cancelled),
        sample(Message, "reserve_order", ReserveOrder { count: 2 }),
        sample(Message, "reserve_answer", reserved),
        sample(Message, "resume_order", resume),
        sample(Message, "work_order", work),
        sample(Message, "sync_ask", sync),
        sample(Message, "sync_answer", synced),
        sample(Message, "shard_ask", shard),
        sample(Message, "shard_answer", ShardResponse { shard: None }),
        sample(InStream, "frame_report", Frame::Report(report)),
        sample(InStream, "frame_token", token),
        sample(InStream, "frame_finished", numbered(8, finished)),
        sample(
            InStream,
            "frame_refused",
            numbered(9, FrameBody::Refused(refusal)),
        ),
    ]
}

/// Returns the samples of all kinds.
pub fn all(is_down: Option<bool>) -> Vec<Sample> {
    let mut all = engine_samples(is_down);
    all.extend(store_samples());
    all.extend(usage_samples());
    all.extend(crash_samples());
    all.extend(origin_samples());
    all.extend(admission_samples());
    all.extend(work_samples());
    all
}

/// Encodings with their names in records.
pub const ENCODINGS: [(WireEncoding, &str); 3] = [
    (WireEncoding::Positional, "positional"),
    (WireEncoding::Named, "named"),
    (WireEncoding::NamedTextIds, "named_by_text"),
];

/// Returns the bytes of all samples in all encodings, one line each: kind, encoding, name, hex.
/// Encodings with the same bytes as an earlier one are left out.
pub fn record() -> String {
    let mut text = String::new();
    for sample in all(Some(true)) {
        let mut written: Vec<Vec<u8>> = Vec::new();
        for (encoding, encoding_name) in ENCODINGS {
            let bytes = (sample.write)(encoding);
            if written.contains(&bytes) {
                continue;
            }
            let (kind, name) = (sample.kind.name(), sample.name);
            text.push_str(&format!("{kind} {encoding_name} {name} {}\n", hex(&bytes)));
            written.push(bytes);
        }
    }
    text
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

pub fn from_hex(text: &str) -> Vec<u8> {
    let pairs = (0..text.len()).step_by(2);
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16);
    pairs.map(|at| byte(at).expect("hex")).collect()
}
