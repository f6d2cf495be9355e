//! An entry: its dispatcher, the views on their way to it, and its clients.

use {
    super::{engine::adapter, ms, workload::Stream, SimTime, MODEL, SERVICE},
    chalkcart_coordination::dispatch::{
        DispatchEvent, DispatchRequest, DispatchSettings, Dispatcher, DueDemands, Ticket,
    },
    chalkcart_protocol::peer::{AdapterDemand, EngineView},
    chalkcart_state::{
        backends::Backend,
        ingress::{
            BaseModel, EngineSpec, IngressLimits, RequestDigest, RouteTable, Service, SharedParts,
        },
        published::StorePosition,
        regions::AllowedRegions,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Intervals of the entry's control loop, in ms.
const TICK_MS: SimTime = 25;
const URGENT_DEMANDS_MS: SimTime = 10;
const CHANGED_DEMANDS_MS: SimTime = 250;
const ALL_DEMANDS_MS: SimTime = 900;

/// A view on its way.
pub struct DelayedView {
    pub at: SimTime,
    pub addr: SocketAddr,
    pub view: EngineView,
}

pub struct Entry {
    pub dispatcher: Dispatcher,
    pub views: VecDeque<DelayedView>,
    /// Clients' next attempts after a rejection, with the stream and its record.
    pub retries: BTreeMap<(SimTime, usize), Stream>,
    /// Streams at this entry by ticket, with their record.
    pub streams: BTreeMap<Ticket, (Stream, usize, DispatchRequest)>,
    last_changed: SimTime,
    last_all: SimTime,
    last_urgent: SimTime,
}

impl Entry {
    pub fn new(
        number: usize,
        settings: DispatchSettings,
        list: Vec<Backend>,
        now: Instant,
    ) -> Self {
        let settings = DispatchSettings {
            entry: format!("entry-{number}"),
            zone: "z".to_string(),
            ..settings
        };
        let mut dispatcher = Dispatcher::new(settings);
        dispatcher.handle(
            DispatchEvent::ListUpdated {
                at: StorePosition::new(1, 1),
                list,
            },
            now,
        );
        Self {
            dispatcher,
            views: VecDeque::new(),
            retries: BTreeMap::new(),
            streams: BTreeMap::new(),
            last_changed: 0,
            last_all: 0,
            last_urgent: 0,
        }
    }

    pub fn configure(&mut self, adapter_slots: u32, now: Instant) {
        let table = Arc::new(table(adapter_slots));
        self.dispatcher
            .handle(DispatchEvent::ConfigUpdated(table), now);
    }

    pub fn is_tick_due(&self, number: usize, now: SimTime) -> bool {
        (now + number as SimTime * 5).is_multiple_of(TICK_MS)
    }

    /// Returns the demands that are due, as the control loop of an entry does.
    pub fn demands(&mut self, now: SimTime, at: Instant) -> Vec<(SocketAddr, AdapterDemand)> {
        let due = if now >= self.last_all + ALL_DEMANDS_MS {
            self.last_all = now;
            self.last_changed = now;
            DueDemands::All
        } else if now >= self.last_changed + CHANGED_DEMANDS_MS {
            self.last_changed = now;
            DueDemands::Changed
        } else if self.dispatcher.has_urgent_demands()
            && now >= self.last_urgent + URGENT_DEMANDS_MS
        {
            DueDemands::Urgent
        } else {
            return Vec::new();
        };
        self.last_urgent = now;
        self.dispatcher.demands(due, at)
    }
}

pub fn request(
    stream: &Stream,
    was_rejected_before: bool,
    now: Instant,
    deadline: Duration,
) -> DispatchRequest {
    DispatchRequest {
        digest: RequestDigest::of("POST", "/", "", b"any"),
        shared_parts: SharedParts::default(),
        is_crash_suspect: false,
        service: SERVICE.to_string(),
        model: Some(MODEL.to_string()),
        adapter: Some(adapter(&format!("a{}", stream.adapter))),
        prompt_tokens: stream.own_tokens + stream.kind.shared_tokens,
        expected_output_tokens: stream.kind.events * 3,
        account: None,
        allowed_regions: AllowedRegions::default(),
        software_version: None,
        account_priority: 0,
        priority: stream.kind.priority,
        target_latency: ms(stream.kind.objective_ms),
        target_gap: Some(ms(400)),
        arrived_at: now,
        deadline: now + deadline,
        tried_backends: Vec::new(),
        was_rejected_before,
        is_load_time_checked: false,
        has_progress: false,
        is_beyond_share: false,
        send_count: 0,
        is_repeat: false,
        earlier_unread_until: None,
        start_tag: 0,
    }
}

fn table(adapter_slots: u32) -> RouteTable {
    let spec = EngineSpec {
        slots: 64,
        adapter_slots,
        weights_mb: 100_000.0,
        kv_capacity: 127_774,
        models: vec![BaseModel {
            name: MODEL.to_string(),
            weights_mb: 500.0,
            adapter_mb: 10.0,
            load_time: ms(500),
            reload_time: ms(500),
        }],
    };
    let service = Service {
        name: SERVICE.to_string(),
        health_path: "/health".to_string(),
        engine: Some(spec),
        slow_start_duration: Duration::ZERO,
        slow_start_per_s: 0.0,
    };
    RouteTable::new(1, IngressLimits::default(), vec![service])
}
