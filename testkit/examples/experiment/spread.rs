//! Time until a configuration is in force, and the rate of calls to the platform, by the number of
//! processes.

use {
    anyhow::Result,
    chalkcart_state::config::Change,
    chalkcart_testkit::{
        cluster::{Cluster, ClusterSettings},
        engine::EngineSettings,
    },
    serde_json::{json, Value},
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Numbers of entries and engines of each fleet.
const SIZES: [(usize, usize); 4] = [(4, 6), (8, 12), (12, 18), (16, 24)];
const CHANGES: u32 = 5;
const IDLE_DURATION: Duration = Duration::from_secs(8);

pub async fn run() -> Result<Vec<Value>> {
    let mut rows = Vec::new();
    for (entries, engines) in SIZES {
        rows.push(measure(entries, engines).await?);
    }
    Ok(rows)
}

async fn measure(entries: usize, engines: usize) -> Result<Value> {
    let cluster = Cluster::start(ClusterSettings {
        entries,
        engines: vec![EngineSettings::default(); engines],
        services: Vec::new(),
        ..ClusterSettings::default()
    })
    .await?;
    let calls = || cluster.platform.state.calls.total();
    let before = calls();
    sleep(IDLE_DURATION).await;
    let idle_calls_per_s = (calls() - before) as f64 / IDLE_DURATION.as_secs_f64();
    let mut slowest = Duration::ZERO;
    let mut total = Duration::ZERO;
    for number in 0..CHANGES {
        let change = Change::SetShare {
            group: "branches".to_string(),
            share: 2 + number,
        };
        let next = cluster.platform.documents().changed(&change)?;
        let generation = next.root.generation;
        let published = Instant::now();
        cluster.platform.publish(next);
        cluster.wait_in_force(0, generation).await?;
        let elapsed = published.elapsed();
        slowest = slowest.max(elapsed);
        total += elapsed;
    }
    Ok(json!({
        "processes": entries + engines,
        "entries": entries,
        "zones": 2,
        "platform calls/s": idle_calls_per_s,
        "in force mean s": (total / CHANGES).as_secs_f64(),
        "in force slowest s": slowest.as_secs_f64(),
    }))
}
