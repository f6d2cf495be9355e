//! Heap memory of tables and buffers.

use {
    crate::{fit::Slope, ALLOCATOR},
    anyhow::Result,
    chalkcart_coordination::{
        routing::{PolicyName, TargetTable},
        run_once::{RunOnceSettings, RunOnceTable},
        software_versions::StreamOrigins,
        stream::StreamBuffer,
    },
    chalkcart_protocol::peer::{FrameBody, LoadedAdapter, StreamOrigin, TargetReport},
    chalkcart_state::{
        config::Configuration,
        fleet::{BoxState, FleetBox, FleetList, Role},
    },
    chalkcart_testkit::configs::Documents,
    stats_alloc::Region,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

pub const ADAPTERS: [usize; 3] = [10_000, 60_000, 180_000];
pub const TARGETS: [usize; 3] = [15, 400, 4_000];
pub const SHARDS: usize = 512;
const IDS: [usize; 3] = [1_000, 10_000, 100_000];
const ORIGINS: [usize; 3] = [1_000, 8_000, 30_000];
const TOKENS: [usize; 3] = [16, 256, 2_048];

pub fn measure() -> Result<Vec<Slope>> {
    let adapters = ADAPTERS.iter().map(|n| (*n as f64, table_bytes(*n)));
    let targets = TARGETS.iter().map(|n| (*n as f64, target_bytes(*n)));
    let ids = IDS.iter().map(|n| (*n as f64, id_bytes(*n)));
    let origins = ORIGINS.iter().map(|n| (*n as f64, origin_bytes(*n)));
    let tokens = TOKENS.iter().map(|n| (*n as f64, buffer_bytes(*n)));
    Ok(vec![
        Slope::new(
            "entry's table of adapters",
            "bytes an adapter",
            adapters.collect(),
        ),
        Slope::new(
            "entry's table of targets, with the list",
            "bytes a target",
            targets.collect(),
        ),
        Slope::new("sidecar's run-once table", "bytes an id", ids.collect()),
        Slope::new(
            "origins of streams that a sidecar keeps",
            "bytes an origin",
            origins.collect(),
        ),
        Slope::new("sidecar's stream buffer", "bytes a token", tokens.collect()),
    ])
}

/// Returns the bytes that a value occupies, without temporary allocations during its creation.
fn retained_bytes<T>(create: impl FnOnce() -> T) -> f64 {
    let region = Region::new(ALLOCATOR);
    let value = create();
    let change = region.change();
    let bytes = change.bytes_allocated as i64 - change.bytes_deallocated as i64;
    drop(value);
    bytes as f64
}

pub fn documents(adapters: usize) -> Documents {
    let mut documents = Documents::new(SHARDS);
    for model in 0..5 {
        let (group, base) = (format!("group-{model}"), format!("model-{model}"));
        documents = documents
            .with_group(&group, 1)
            .with_base_model(&base)
            .with_adapters(&format!("adapter-{model}"), adapters / 5, &group, &base);
    }
    documents
}

fn table_bytes(adapters: usize) -> f64 {
    let documents = documents(adapters);
    // decoded from JSON, as in a process
    let root = serde_json::to_vec(&documents.root).expect("encodes");
    let shards: Vec<Vec<u8>> = documents
        .shards
        .iter()
        .map(|s| serde_json::to_vec(s.as_ref()).expect("encodes"))
        .collect();
    drop(documents);
    retained_bytes(|| {
        let shards = shards
            .iter()
            .map(|s| serde_json::from_slice(s).expect("decodes"))
            .collect();
        let root = serde_json::from_slice(&root).expect("decodes");
        Configuration::new(Arc::new(root), shards).expect("a valid configuration")
    })
}

pub fn list(targets: usize) -> FleetList {
    let boxes = (0..targets).map(|number| FleetBox {
        name: format!("engine-{number:05}"),
        zone: format!("region-{}-zone-{}", number % 5, number % 17),
        addr: SocketAddr::from(([10, 1, (number >> 8) as u8, number as u8], 7000)),
        role: Role::Engine {
            base_model: format!("model-{}", number % 5),
        },
        state: BoxState::Live,
    });
    FleetList {
        version: 1,
        boxes: boxes.collect(),
    }
}

pub fn report(name: &str) -> TargetReport {
    let loaded = (0..8).map(|slot| LoadedAdapter {
        adapter: format!("adapter-{name}-{slot}"),
        version: 1,
    });
    TargetReport {
        name: name.to_string(),
        incarnation: 1,
        generation: 1,
        leaving: false,
        queued_tokens: 100,
        running: 4,
        max_running: 8,
        wished: 0,
        token_micros: 25_000,
        load_millis: 500,
        loaded: loaded.collect(),
    }
}

pub fn table(list: &FleetList, policy: PolicyName) -> TargetTable {
    let now = Instant::now();
    let mut table = TargetTable::new("region-0-zone-0".to_string(), policy, 1);
    table.on_list(list);
    for listed in &list.boxes {
        table.on_report(report(&listed.name), now);
    }
    table
}

fn target_bytes(targets: usize) -> f64 {
    retained_bytes(|| {
        let list = list(targets);
        let table = table(&list, PolicyName::LeastExpectedWait);
        (list, table)
    })
}

fn id_bytes(ids: usize) -> f64 {
    retained_bytes(|| {
        let mut table = RunOnceTable::new(RunOnceSettings {
            capacity: ids,
            ..RunOnceSettings::default()
        });
        let reserved_ids = table.reserve(ids as u32, Instant::now(), || 1);
        drop(reserved_ids);
        table
    })
}

fn buffer_bytes(tokens: usize) -> f64 {
    retained_bytes(|| {
        let mut buffer = StreamBuffer::new();
        for number in 0..tokens {
            buffer.push(FrameBody::Token(format!("tok{number}")));
        }
        buffer
    })
}

fn origin_bytes(count: usize) -> f64 {
    let now = Instant::now();
    retained_bytes(|| {
        let mut origins = StreamOrigins::default();
        for number in 0..count {
            let origin = StreamOrigin {
                request: format!("{number:016x}"),
                service: "engines".to_string(),
                backend: format!("i-{number:010x}").into(),
                version: Some("v1.2".to_string()),
            };
            origins.insert(origin, Duration::from_secs(30), now);
        }
        origins
    })
}
