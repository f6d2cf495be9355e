//! A dispatcher with its own clock, and helpers for its input.

// each test file uses a part of it
#![allow(dead_code)]

use {
    chalkcart_coordination::{
        dispatch::{
            Decision, DispatchEvent, DispatchRequest, DispatchSettings, Dispatcher, DueDemands,
            SendOutcome, Ticket,
        },
        placement::{adapter_hash, AdapterHash},
    },
    chalkcart_protocol::peer::{EngineStats, EngineView},
    chalkcart_state::{
        backends::{AdapterRef, Backend, HeldAdapter},
        ingress::{
            BaseModel, EngineSpec, IngressLimits, RequestDigest, RouteTable, Service, SharedParts,
        },
        published::StorePosition,
        regions::AllowedRegions,
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

pub const ENGINES: &str = "engines";
pub const PLAIN: &str = "plain";

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn addr(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

/// Returns the digest of a request with this body.
pub fn digest(body: &str) -> RequestDigest {
    RequestDigest::of("POST", "/", "", body.as_bytes())
}

pub fn adapter(name: &str) -> AdapterRef {
    AdapterRef {
        model: "m".to_string(),
        adapter: name.to_string(),
    }
}

pub fn backend(service: &str, number: u8) -> Backend {
    Backend {
        id: format!("{service}-{number}").into(),
        service: service.to_string(),
        addr: addr(number),
        zone: "z".to_string(),
        slots: 4,
        leaving: false,
        slow_start_left: Duration::ZERO,
        models: Vec::new(),
        held: Vec::new(),
        software_version: None,
    }
}

pub fn table() -> RouteTable {
    let spec = EngineSpec {
        slots: 4,
        adapter_slots: 2,
        weights_mb: 1_000.0,
        kv_capacity: 1_000,
        models: vec![BaseModel {
            name: "m".to_string(),
            weights_mb: 500.0,
            adapter_mb: 10.0,
            load_time: ms(500),
            reload_time: ms(500),
        }],
    };
    let service = |name: &str, engine| Service {
        name: name.to_string(),
        health_path: "/health".to_string(),
        engine,
        slow_start_duration: Duration::ZERO,
        slow_start_per_s: 0.0,
    };
    let services = vec![service(ENGINES, Some(spec)), service(PLAIN, None)];
    RouteTable::new(1, IngressLimits::default(), services)
}

pub fn view(backend: &str, held: &[(&str, u64)]) -> EngineView {
    let held = held.iter().map(|(name, version)| HeldAdapter {
        adapter: adapter(name),
        version: *version,
    });
    EngineView {
        backend: backend.into(),
        held: held.collect(),
        models: vec!["m".to_string()],
        figures: EngineStats {
            spare_slots: 2,
            entries: 2,
            is_down: Some(false),
            ..EngineStats::default()
        },
        ..EngineView::default()
    }
}

fn settings() -> DispatchSettings {
    DispatchSettings {
        entry: "e".to_string(),
        zone: "z".to_string(),
        ..DispatchSettings::default()
    }
}

/// A dispatcher with its own clock.
pub struct Fixture {
    pub dispatcher: Dispatcher,
    pub now: Instant,
    pub list_version: u64,
}

impl Fixture {
    pub fn new(list: Vec<Backend>) -> Self {
        let settings = settings();
        let mut fixture = Self {
            dispatcher: Dispatcher::new(settings),
            now: Instant::now(),
            list_version: 0,
        };
        fixture.handle(DispatchEvent::ConfigUpdated(Arc::new(table())));
        fixture.update_list(list);
        fixture
    }
    /// A dispatcher of a process that started while the fleet was serving.
    pub fn restarted(list: Vec<Backend>, now: Instant) -> Self {
        let settings = DispatchSettings {
            restarted_at: Some(now),
            ..settings()
        };
        let mut fixture = Self {
            dispatcher: Dispatcher::new(settings),
            now,
            list_version: 0,
        };
        fixture.handle(DispatchEvent::ConfigUpdated(Arc::new(table())));
        fixture.update_list(list);
        fixture
    }
    pub fn handle(&mut self, event: DispatchEvent) -> Vec<(Ticket, Decision)> {
        self.dispatcher.handle(event, self.now)
    }
    pub fn update_list(&mut self, list: Vec<Backend>) {
        self.list_version += 1;
        let at = StorePosition::new(1, self.list_version);
        self.handle(DispatchEvent::ListUpdated { at, list });
    }
    /// Changes the settings at run time.
    pub fn update_settings(&mut self, change: impl FnOnce(&mut DispatchSettings)) {
        let mut settings = settings();
        change(&mut settings);
        self.handle(DispatchEvent::SettingsUpdated(settings));
    }
    pub fn view(&mut self, number: u8, view: EngineView) -> Vec<(Ticket, Decision)> {
        let addr = addr(number);
        self.handle(DispatchEvent::ViewReceived { addr, view })
    }
    pub fn advance(&mut self, time: Duration) -> Vec<(Ticket, Decision)> {
        self.now += time;
        self.handle(DispatchEvent::Tick)
    }
    pub fn submit(&mut self, ticket: Ticket, request: DispatchRequest) -> Vec<(Ticket, Decision)> {
        self.handle(DispatchEvent::RequestArrived { ticket, request })
    }
    pub fn end(&mut self, ticket: Ticket, outcome: SendOutcome) {
        self.handle(DispatchEvent::SendEnded { ticket, outcome });
    }
    pub fn new_request(&self, service: &str, wanted: Option<&str>) -> DispatchRequest {
        DispatchRequest {
            digest: digest("any"),
            shared_parts: SharedParts::default(),
            is_crash_suspect: false,
            has_progress: false,
            service: service.to_string(),
            model: wanted.map(|_| "m".to_string()),
            adapter: wanted.map(adapter),
            prompt_tokens: 100,
            expected_output_tokens: 0,
            account: None,
            allowed_regions: AllowedRegions::default(),
            software_version: None,
            account_priority: 0,
            is_beyond_share: false,
            priority: 1,
            target_latency: ms(400),
            target_gap: None,
            arrived_at: self.now,
            deadline: self.now + ms(10_000),
            tried_backends: Vec::new(),
            was_rejected_before: false,
            is_load_time_checked: false,
            send_count: 0,
            is_repeat: false,
            earlier_unread_until: None,
            start_tag: 0,
        }
    }
    /// Returns the engines that are requested to load an adapter.
    pub fn homes(&mut self, wanted: &str) -> Vec<String> {
        let demands = self.dispatcher.demands(DueDemands::All, self.now);
        let asked = demands.into_iter().filter(|(_, d)| {
            let mut adapters = d.wanted.iter();
            adapters.any(|w| w.adapter == adapter(wanted))
        });
        asked.map(|(_, d)| d.backend.to_string()).collect()
    }
}

pub fn sent_to(decisions: &[(Ticket, Decision)]) -> Vec<String> {
    let sent = decisions.iter().filter_map(|(_, d)| match d {
        Decision::Send(assignment) => Some(assignment.backend.to_string()),
        Decision::Reject { .. } => None,
    });
    sent.collect()
}

pub fn engines() -> Vec<Backend> {
    (1..=3).map(|n| backend(ENGINES, n)).collect()
}

pub fn fixture_with_views() -> Fixture {
    let mut fixture = Fixture::new(engines());
    for number in 1..=3 {
        fixture.view(number, view(&format!("{ENGINES}-{number}"), &[]));
    }
    fixture
}

/// Returns the hash of an adapter in the views of sidecars.
pub fn hash(name: &str) -> AdapterHash {
    adapter_hash(&adapter(name))
}
