//! One message of each kind with fixed content, as it is recorded for each build.

// each user takes a part of it
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
        published::{Record, RecordSubject, Snapshot, Topic, UnreadableCause},
        regions::AllowedRegions,
    },
    serde::{de::DeserializeOwned, Serialize},
    std::{fmt::Debug, net::SocketAddr, time::Duration},
};

/// bytes of the length before a frame
pub const FRAME_HEAD: usize = 4;

/// how a message goes over the wire
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// alone, in a call
    Message,
    /// one of a stream, behind its length
    Frame,
}

impl Kind {
    pub fn word(self) -> &'static str {
        match self {
            Self::Message => "message",
            Self::Frame => "frame",
        }
    }
}

type Write = Box<dyn Fn(WireEncoding) -> Vec<u8>>;
type Read = Box<dyn Fn(&[u8]) -> Result<String, CodecError>>;

/// a message that can be written in each form, and read from bytes
pub struct Sample {
    pub kind: Kind,
    pub name: &'static str,
    /// the message as text
    pub text: String,
    pub write: Write,
    /// gives the message as text
    pub read: Read,
}

fn sample<T>(kind: Kind, name: &'static str, message: T) -> Sample
where
    T: Serialize + DeserializeOwned + Debug + 'static,
{
    let text = format!("{message:?}");
    let write = move |form| match kind {
        Kind::Message => encode_as(&message, form).expect("encodes").to_vec(),
        Kind::Frame => encode_frame(&message, form).expect("encodes").to_vec(),
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

/// `is_down` is what the builds that are compared say of it
pub fn figures(is_down: Option<bool>) -> EngineStats {
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
    }
}

/// of an engine that names a limit and is cold
fn figures_bound() -> EngineStats {
    EngineStats {
        limit_milli_per_s: Some(2_100),
        cold_left_ms: 900,
        ..figures(Some(false))
    }
}

pub fn view(is_down: Option<bool>) -> EngineView {
    EngineView {
        backend: "e-1".into(),
        models: vec!["m".to_string()],
        held: vec![held("a", 2)],
        loading: vec![adapter("b")],
        lately: vec![7, u64::MAX],
        figures: figures(is_down),
    }
}

pub fn changed(is_down: Option<bool>) -> ViewUpdate {
    ViewUpdate::Changed(ViewChange {
        came: vec![held("b", 1)],
        left: vec![adapter("a")],
        loading: vec![adapter("c")],
        figures: figures(is_down),
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
    }
}

fn engine() -> SocketAddr {
    SocketAddr::from(([10, 3, 0, 13], 8482))
}

pub fn relay_demands() -> RelayDemands {
    let told = |demand| EngineDemand {
        engine: engine(),
        demand,
    };
    RelayDemands {
        entry: "entry-1".to_string(),
        is_whole: true,
        engines: vec![told(Some(demand())), told(None)],
    }
}

pub fn relay_update(is_down: Option<bool>) -> RelayUpdate {
    let words = [
        EngineViewState::View(ViewUpdate::Whole(view(is_down))),
        EngineViewState::View(changed(is_down)),
        EngineViewState::View(ViewUpdate::Figures(figures(is_down))),
        EngineViewState::Silent,
    ];
    let news = words.into_iter().map(|word| EngineUpdate {
        engine: engine(),
        age_ms: 12,
        word,
    });
    RelayUpdate {
        news: news.collect(),
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
        cold_left: Duration::from_millis(2_500),
        models: vec!["m".to_string()],
        held: vec![held("a", 2)],
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
        snapshot: Snapshot { at: 46, records },
        current_ms: -5,
    }
}

/// a configuration with a route and an account that are bound to regions
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
        snapshot: Snapshot { at: 47, records },
        current_ms: 0,
    }
}

/// of streams of views, and of demands
pub fn of_engines(is_down: Option<bool>) -> Vec<Sample> {
    use Kind::{Frame, Message};
    let ask = RelayRequest {
        entry: "entry-1".to_string(),
    };
    let figures = ViewUpdate::Figures(figures(is_down));
    vec![
        sample(Frame, "view_whole", ViewUpdate::Whole(view(is_down))),
        sample(Frame, "view_changed", changed(is_down)),
        sample(Frame, "view_figures", figures),
        sample(
            Frame,
            "view_figures_bound",
            ViewUpdate::Figures(figures_bound()),
        ),
        sample(Message, "demand", demand()),
        sample(Message, "relay_ask", ask),
        sample(Message, "relay_demands", relay_demands()),
        sample(Frame, "relay_update", relay_update(is_down)),
    ]
}

/// of what the platform's store publishes
pub fn of_the_store() -> Vec<Sample> {
    use Kind::Message;
    let ask = PublishedRequest {
        topic: Topic::Backends,
        after: Some(45),
        wait_ms: 1000,
    };
    let lost = PublishedResponse::HistoryLost;
    vec![
        sample(Message, "published_ask", ask),
        sample(Message, "published_records", published()),
        sample(Message, "published_regions", published_regions()),
        sample(Message, "published_history_lost", lost),
        sample(Message, "published_stale", PublishedResponse::Stale),
    ]
}

/// of keepers
pub fn of_keepers() -> Vec<Sample> {
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
    };
    let answer = UsageResponse {
        incarnation: 78,
        entries: 3,
        accounts: vec![level],
    };
    vec![
        sample(Message, "usage_report", report),
        sample(Message, "usage_answer", answer),
    ]
}

/// of keepers of crashing requests
pub fn of_crashes() -> Vec<Sample> {
    use Kind::Message;
    let digest = RequestDigest::of("POST", "/", "", b"body");
    let word = |event, age_ms| CrashReport {
        digest,
        event,
        age_ms,
    };
    let mark = |revision| CrashCursor {
        keeper: 5,
        revision,
    };
    let ask = CrashRequest {
        entry: "entry-1".to_string(),
        heard: Some(mark(6)),
        wait_ms: 1500,
        words: vec![
            word(CrashEvent::Ended { life: 11 }, 20),
            word(CrashEvent::Served, 30),
        ],
    };
    let answer = CrashResponse {
        mark: mark(7),
        words: Vec::new(),
    };
    vec![
        sample(Message, "crash_ask", ask),
        sample(Message, "crash_answer", answer),
    ]
}

/// of dealers of permits
pub fn of_dealers() -> Vec<Sample> {
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
    let answer = AdmissionResponse {
        backend: "e-1".into(),
        limit_milli_per_s: Some(2_100),
        freed_ago_ms: None,
        granted: 1,
        next_ms: 480,
    };
    vec![
        sample(Message, "intake_report", report),
        sample(Message, "intake_answer", answer),
    ]
}

/// of requests that pass through sidecars
pub fn of_work() -> Vec<Sample> {
    use Kind::{Frame as OfStream, Message};
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
        sample(OfStream, "frame_report", Frame::Report(report)),
        sample(OfStream, "frame_token", token),
        sample(OfStream, "frame_finished", numbered(8, finished)),
        sample(
            OfStream,
            "frame_refused",
            numbered(9, FrameBody::Refused(refusal)),
        ),
    ]
}

/// of all kinds
pub fn all(is_down: Option<bool>) -> Vec<Sample> {
    let mut all = of_engines(is_down);
    all.extend(of_the_store());
    all.extend(of_keepers());
    all.extend(of_crashes());
    all.extend(of_dealers());
    all.extend(of_work());
    all
}

/// words of the forms in records
pub const FORMS: [(WireEncoding, &str); 3] = [
    (WireEncoding::Positional, "positional"),
    (WireEncoding::Named, "named"),
    (WireEncoding::NamedTextIds, "named_by_text"),
];

/// The bytes of all messages in all forms, a line each: kind, form, name, hex. Messages are
/// written with names in the positional form too, so that they stand once.
pub fn record() -> String {
    let mut text = String::new();
    for sample in all(Some(true)) {
        let mut written: Vec<Vec<u8>> = Vec::new();
        for (form, word) in FORMS {
            let bytes = (sample.write)(form);
            if written.contains(&bytes) {
                continue;
            }
            let (kind, name) = (sample.kind.word(), sample.name);
            text.push_str(&format!("{kind} {word} {name} {}\n", hex(&bytes)));
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
