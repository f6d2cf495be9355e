//! Processor time of routing and configuration decisions.

use {
    crate::{
        fit::Slope,
        memory::{documents, list, table, ADAPTERS, TARGETS},
    },
    anyhow::Result,
    chalkcart_coordination::{
        membership::{select_permit_issuer, select_watchers},
        permits::{LoadPermitIssuer, LoadPermitSettings},
        routing::{PolicyName, RouteRequest, TargetRequirement},
        software_versions::{ListedEngines, OriginHolders},
    },
    chalkcart_protocol::peer::{PermitPurpose, PermitRequest},
    chalkcart_state::{
        config::{Change, Configuration, Root},
        ids::WeightsDigest,
    },
    std::{
        hint::black_box,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const ROUTES: u32 = 500;
const CHANGES: u32 = 20;
const REQUESTERS: [usize; 3] = [12, 120, 1_200];

pub fn measure() -> Result<Vec<Slope>> {
    let routes = TARGETS.iter().map(|n| (*n as f64, route_micros(*n)));
    let lists = TARGETS.iter().map(|n| (*n as f64, list_micros(*n)));
    let selections = TARGETS.iter().map(|n| (*n as f64, selection_micros(*n)));
    let holders = TARGETS.iter().map(|n| (*n as f64, holder_micros(*n)));
    let permits = REQUESTERS.iter().map(|n| (*n as f64, permit_micros(*n)));
    let mut changes = Vec::new();
    for adapters in ADAPTERS {
        changes.push((adapters as f64, change_micros(adapters)?));
    }
    Ok(vec![
        Slope::new(
            "sidecars that keep the origin of a stream",
            "µs a listed engine",
            holders.collect(),
        ),
        Slope::new(
            "one routing decision",
            "µs a listed engine",
            routes.collect(),
        ),
        Slope::new(
            "one new list taken over",
            "µs a listed engine",
            lists.collect(),
        ),
        Slope::new(
            "watchers and permit giver found",
            "µs a listed box",
            selections.collect(),
        ),
        Slope::new("one ask for a permit", "µs an asker", permits.collect()),
        Slope::new("one change of an adapter applied", "µs an adapter", changes),
    ])
}

fn micros(duration: Duration, count: u32) -> f64 {
    duration.as_secs_f64() * 1e6 / f64::from(count)
}

fn route_micros(targets: usize) -> f64 {
    let mut table = table(&list(targets), PolicyName::LeastExpectedWait);
    let now = Instant::now();
    let started = Instant::now();
    for number in 0..ROUTES {
        let request = RouteRequest {
            requirement: TargetRequirement::Adapter {
                adapter: format!("adapter-{number}"),
                version: 1,
                base_model: format!("model-{}", number % 5),
            },
            tokens: 50,
            excluded: Vec::new(),
        };
        black_box(table.route(&request, now));
    }
    micros(started.elapsed(), ROUTES)
}

fn list_micros(targets: usize) -> f64 {
    let list = list(targets);
    let mut table = table(&list, PolicyName::LeastExpectedWait);
    let started = Instant::now();
    for _ in 0..CHANGES {
        table.on_list(black_box(&list));
    }
    micros(started.elapsed(), CHANGES)
}

fn selection_micros(targets: usize) -> f64 {
    let list = list(targets);
    let started = Instant::now();
    for _ in 0..CHANGES {
        black_box(select_watchers(&list, "region-0-zone-0").len());
        black_box(select_permit_issuer(&list).is_some());
    }
    micros(started.elapsed(), CHANGES)
}

fn permit_micros(requesters: usize) -> f64 {
    let now = Instant::now();
    let mut issuer = LoadPermitIssuer::new(LoadPermitSettings::default(), now);
    let started = Instant::now();
    for number in 0..requesters {
        let request = PermitRequest {
            purpose: PermitPurpose::Ask,
            target: format!("engine-{number}"),
            adapter: "a".to_string(),
            priority: 1,
            waited: Duration::from_millis(number as u64),
        };
        black_box(issuer.request(&request, now));
    }
    micros(started.elapsed(), requesters as u32)
}

fn change_micros(adapters: usize) -> Result<f64> {
    let documents = documents(adapters);
    let shards = documents.plain_shards();
    let mut cfg = Configuration::new(Arc::new(documents.root), shards)?;
    let mut elapsed = Duration::ZERO;
    for number in 0..CHANGES {
        let change = Change::AddVersion {
            adapter: format!("adapter-1-{number}"),
            digest: WeightsDigest::of(&[number as u8]),
        };
        let next = cfg.plan_change(cfg.generation(), &change)?;
        let (last, shards) = next.documents.split_last().expect("a root");
        let started = Instant::now();
        let root: Root = serde_json::from_str(&last.content)?;
        let missing = cfg.missing_shards(&root);
        let shard = serde_json::from_str(&shards[0].content)?;
        cfg = cfg.advance(Arc::new(root), vec![(missing[0], shard)])?;
        elapsed += started.elapsed();
    }
    Ok(micros(elapsed, CHANGES))
}

fn holder_micros(engines: usize) -> f64 {
    let addrs = (0..engines).map(|n| SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 80)));
    let mut holders = OriginHolders::default();
    holders.set_engines(Arc::new(ListedEngines {
        staying: addrs.collect(),
        leaving: Vec::new(),
    }));
    let begin = Instant::now();
    for number in 0..ROUTES {
        black_box(holders.told(&number.to_string()));
    }
    begin.elapsed().as_secs_f64() * 1e6 / f64::from(ROUTES)
}
