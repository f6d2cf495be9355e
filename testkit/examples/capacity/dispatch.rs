//! Processor time of the ingress's dispatch decisions.

use {
    crate::fit::Slope,
    chalkcart_coordination::dispatch::{
        DispatchEvent, DispatchRequest, DispatchSettings, Dispatcher,
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

const ENGINES: [usize; 3] = [12, 58, 400];
const STARTING_ENGINES: [usize; 3] = [150, 600, 2_400];
const ADAPTERS_PER_ENGINE: usize = 19;
const ROUNDS: u32 = 200;
const SERVICE: &str = "engines";
/// Requests that wait for an adapter while views are received.
const WAITING_REQUESTS: u64 = 4;

pub fn measure() -> Vec<Slope> {
    let views = ENGINES.map(|n| (n as f64, view_micros(n)));
    let requests = ENGINES.map(|n| (n as f64, request_micros(n)));
    let starts = STARTING_ENGINES.map(|n| (n as f64, start_millis(n)));
    vec![
        Slope::new(
            "list and first views of all engines",
            "ms an engine",
            starts.to_vec(),
        ),
        Slope::new(
            "one view while 4 requests wait",
            "µs an engine",
            views.to_vec(),
        ),
        Slope::new("one request sent", "µs an engine", requests.to_vec()),
    ]
}

fn addr(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (number / 200) as u8, (number % 200) as u8], 80))
}

fn adapter(number: usize) -> AdapterRef {
    AdapterRef {
        model: "model-0".to_string(),
        adapter: format!("a{number}"),
    }
}

fn view(number: usize, running: u32) -> EngineView {
    let held = (0..ADAPTERS_PER_ENGINE).map(|n| HeldAdapter {
        adapter: adapter(number * ADAPTERS_PER_ENGINE + n),
        version: 1,
    });
    EngineView {
        backend: format!("i-{number:010x}").into(),
        models: vec!["model-0".to_string()],
        held: held.collect(),
        loading: Vec::new(),
        lately: Vec::new(),
        figures: EngineStats {
            entries: 32,
            spare_slots: 3,
            running,
            ..EngineStats::default()
        },
    }
}

fn dispatcher(engines: usize, now: Instant) -> Dispatcher {
    let settings = DispatchSettings {
        zone: "z0".to_string(),
        ..DispatchSettings::default()
    };
    let mut dispatcher = Dispatcher::new(settings);
    let spec = EngineSpec {
        slots: 48,
        adapter_slots: ADAPTERS_PER_ENGINE as u32,
        weights_mb: 45_000.0,
        kv_capacity: 119_405,
        models: vec![BaseModel {
            name: "model-0".to_string(),
            weights_mb: 42_700.0,
            adapter_mb: 66.0,
            load_time: Duration::from_millis(600),
            reload_time: Duration::from_millis(600),
        }],
    };
    let service = Service {
        name: SERVICE.to_string(),
        health_path: "/health".to_string(),
        engine: Some(spec),
        slow_start_duration: Duration::ZERO,
        slow_start_per_s: 0.0,
    };
    let table = RouteTable::new(1, IngressLimits::default(), vec![service]);
    dispatcher.handle(DispatchEvent::ConfigUpdated(Arc::new(table)), now);
    let list = (0..engines).map(|number| Backend {
        id: format!("i-{number:010x}").into(),
        service: SERVICE.to_string(),
        addr: addr(number),
        zone: format!("z{}", number % 3),
        slots: 48,
        leaving: false,
        slow_start_left: Duration::ZERO,
        models: Vec::new(),
        held: Vec::new(),
        software_version: None,
    });
    let list = list.collect();
    dispatcher.handle(
        DispatchEvent::ListUpdated {
            at: StorePosition::new(1, 1),
            list,
        },
        now,
    );
    for number in 0..engines {
        on_view(&mut dispatcher, number, 1, now);
    }
    dispatcher
}

fn on_view(dispatcher: &mut Dispatcher, number: usize, running: u32, now: Instant) {
    let view = view(number, running);
    let addr = addr(number);
    dispatcher.handle(DispatchEvent::ViewReceived { addr, view }, now);
}

fn new_request(number: usize, now: Instant) -> DispatchRequest {
    let body = number.to_le_bytes();
    DispatchRequest {
        digest: RequestDigest::of("POST", "/", "", &body),
        shared_parts: SharedParts::default(),
        is_crash_suspect: false,
        has_progress: false,
        service: SERVICE.to_string(),
        model: Some("model-0".to_string()),
        adapter: Some(adapter(number)),
        prompt_tokens: 1_460,
        expected_output_tokens: 0,
        account: None,
        allowed_regions: AllowedRegions::default(),
        software_version: None,
        account_priority: 0,
        is_beyond_share: false,
        priority: 1,
        target_latency: Duration::from_millis(800),
        target_gap: None,
        arrived_at: now,
        deadline: now + Duration::from_secs(15),
        tried_backends: Vec::new(),
        was_rejected_before: false,
        is_load_time_checked: false,
        send_count: 0,
        is_repeat: false,
        earlier_unread_until: None,
        start_tag: 0,
    }
}

/// Returns the time in which a new entry processes the list and the first view of each engine.
fn start_millis(engines: usize) -> f64 {
    let started = Instant::now();
    dispatcher(engines, started);
    started.elapsed().as_secs_f64() * 1e3
}

fn view_micros(engines: usize) -> f64 {
    let now = Instant::now();
    let mut dispatcher = dispatcher(engines, now);
    for ticket in 0..WAITING_REQUESTS {
        let request = new_request(1_000_000 + ticket as usize, now);
        dispatcher.handle(DispatchEvent::RequestArrived { ticket, request }, now);
    }
    let started = Instant::now();
    for round in 0..ROUNDS {
        on_view(&mut dispatcher, round as usize % engines, round, now);
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn request_micros(engines: usize) -> f64 {
    let now = Instant::now();
    let mut dispatcher = dispatcher(engines, now);
    let started = Instant::now();
    for ticket in 0..u64::from(ROUNDS) {
        let request = new_request(ticket as usize * 7 % (engines * ADAPTERS_PER_ENGINE), now);
        dispatcher.handle(DispatchEvent::RequestArrived { ticket, request }, now);
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}
