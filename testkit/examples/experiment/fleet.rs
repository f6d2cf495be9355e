//! what the experiments have in common

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

/// tokens of one answer
pub const TOKENS: u32 = 48;
/// callers' patience
pub const TIMEOUT_MS: u32 = 8_000;
/// skew of the adapters' popularity
pub const EXPONENT: f64 = 1.3;

/// how long and how often
#[derive(Debug)]
pub struct Plan {
    pub seeds: u64,
    pub span: u64,
}

impl Plan {
    pub fn span(&self) -> Duration {
        Duration::from_secs(self.span)
    }
}

/// an engine in which a full batch makes about 330 tokens a second
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

/// one user's fleet at its size of today, without plain services
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

/// the user's main class at a rate
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

/// bad outcomes over the whole run must be zero
pub fn check(cluster: &Cluster, report: &LoadReport) -> Result<u64> {
    let unloaded: u32 = cluster
        .engines
        .iter()
        .map(|e| e.engine.unloaded_in_use())
        .sum();
    let bad = report.mismatched + report.incomplete + report.unfinished + u64::from(unloaded);
    ensure!(bad == 0, "bad outcomes: {report:?}");
    Ok(bad)
}

/// show a row as soon as it is measured
pub fn noted(row: Value) -> Value {
    eprintln!("{row}");
    row
}
