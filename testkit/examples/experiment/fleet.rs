//! Fleet settings, load and checks shared by the experiments.

use {
    anyhow::{ensure, Result},
    chalkcart_protocol::v1::inference_client::InferenceClient,
    chalkcart_testkit::{
        cluster::{Cluster, ClusterSettings},
        configs::UserSize,
        engine::EngineSettings,
        load::{LoadReport, RequestStream},
        store::StoreSettings,
    },
    serde_json::Value,
    std::time::Duration,
    tonic::transport::Channel,
};

/// Tokens of one response.
pub const TOKENS: u32 = 48;
pub const TIMEOUT_MS: u32 = 8_000;
/// Zipf exponent of the adapters' popularity.
pub const EXPONENT: f64 = 1.3;

/// Number of runs of each variant and their duration.
#[derive(Debug)]
pub struct Plan {
    pub seeds: u64,
    pub span_s: u64,
}

impl Plan {
    pub fn span(&self) -> Duration {
        Duration::from_secs(self.span_s)
    }
}

/// Returns settings of an engine whose full batch generates about 330 tokens per second.
pub fn engine(base_model: &str) -> EngineSettings {
    EngineSettings {
        base_model: base_model.to_string(),
        slots: 8,
        max_batch: 8,
        step: Duration::from_millis(20),
        step_per_request: Duration::from_micros(500),
        ..EngineSettings::default()
    }
}

/// Returns the fleet of one user at its present size, without plain services.
pub fn user_fleet(user: &UserSize) -> ClusterSettings {
    let engines = user
        .engines
        .iter()
        .flat_map(|(base, count)| vec![engine(base); *count]);
    ClusterSettings {
        documents: user.documents.clone(),
        zones: user.zones.iter().map(|z| z.to_string()).collect(),
        entries: 3,
        engines: engines.collect(),
        services: Vec::new(),
        store: StoreSettings {
            loads_per_second: 3.0,
            at_once: user.store_at_once,
            load_time: Duration::from_millis(400),
        },
        ..ClusterSettings::default()
    }
}

/// Returns requests of the user's main class at a rate per second.
pub fn user_stream(user: &UserSize, rate: f64) -> RequestStream {
    RequestStream {
        group: user.group.to_string(),
        class: user.class.to_string(),
        prefix: user.prefix.to_string(),
        adapters: user.adapters,
        exponent: EXPONENT,
        rate,
        max_tokens: TOKENS,
        timeout_ms: TIMEOUT_MS,
        first_token_target: Duration::from_secs(2),
    }
}

pub async fn clients(cluster: &Cluster) -> Result<Vec<InferenceClient<Channel>>> {
    let mut clients = Vec::new();
    for entry in 0..cluster.entries.len() {
        clients.push(cluster.client(entry).await?);
    }
    Ok(clients)
}

/// Returns the number of wrong, incomplete or unfinished responses and of adapters unloaded in use;
/// fails if it is not zero.
pub fn check(cluster: &Cluster, report: &LoadReport) -> Result<u64> {
    let unloaded: u32 = cluster
        .engines
        .iter()
        .map(|e| e.engine.unloaded_in_use())
        .sum();
    let violations =
        report.mismatched + report.incomplete + report.unfinished + u64::from(unloaded);
    ensure!(
        violations == 0,
        "wrong, incomplete or unfinished responses, or adapters unloaded in use: {report:?}"
    );
    Ok(violations)
}

/// Prints a row to standard error and returns it.
pub fn print_row(row: Value) -> Value {
    eprintln!("{row}");
    row
}
