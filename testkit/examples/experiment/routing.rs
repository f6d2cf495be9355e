//! Routing by least expected wait compared with random, least loaded and plain hash, and the
//! effect of the batch-ahead limit.

use {
    crate::fleet::{check, clients, print_row, user_fleet, user_stream, Plan},
    anyhow::Result,
    chalkcart_testkit::{
        cluster::{Cluster, ClusterSettings},
        configs::{head_office, trentside, UserSize},
        load::{run_load, scrape_engines, HistogramTotals, LoadSettings, RequestStream},
    },
    futures::future::join_all,
    serde_json::{json, Map, Value},
    std::time::Duration,
    tokio::time::sleep,
};

const POLICIES: [&str; 4] = [
    "least_expected_wait",
    "least_loaded",
    "plain_hash",
    "random",
];
/// Requests per second close to what three adapter loads per second can sustain.
const RATE: f64 = 9.0;
const BATCH_AHEAD: [u64; 3] = [0, 500, 8_000];
/// Requests per second close to the capacity of the engines.
const BUSY_RATE: f64 = 45.0;
/// Time to fill the slots of a fleet that starts without adapters.
const WARM_UP: Duration = Duration::from_secs(30);

/// Few adapters, the most popular of which needs more than one engine.
const HOT_ADAPTERS: usize = 60;
const HOT_RATE: f64 = 45.0;

struct Variant {
    name: String,
    settings: ClusterSettings,
    stream: RequestStream,
}

/// Compares policies with many adapters, when the weight store is the bottleneck.
pub async fn run(plan: &Plan) -> Result<Vec<Value>> {
    run_policies(plan, |user| user_stream(user, RATE)).await
}

/// Compares policies with few popular adapters, when the engines are the bottleneck.
pub async fn run_hot(plan: &Plan) -> Result<Vec<Value>> {
    let stream = |user: &UserSize| RequestStream {
        adapters: HOT_ADAPTERS,
        ..user_stream(user, HOT_RATE)
    };
    run_policies(plan, stream).await
}

async fn run_policies(
    plan: &Plan,
    stream: impl Fn(&UserSize) -> RequestStream,
) -> Result<Vec<Value>> {
    let mut rows = Vec::new();
    for user in [head_office(), trentside()] {
        for seed in 1..=plan.seeds {
            let variants = POLICIES.map(|policy| {
                let mut settings = user_fleet(&user);
                settings.entry_settings = to_object(json!({ "routing": policy }));
                Variant {
                    name: policy.to_string(),
                    settings,
                    stream: stream(&user),
                }
            });
            rows.extend(measure_together(&user, variants.into(), plan, seed).await?);
        }
    }
    Ok(rows)
}

pub async fn run_batch_ahead(plan: &Plan) -> Result<Vec<Value>> {
    let mut rows = Vec::new();
    for user in [head_office(), trentside()] {
        for seed in 1..=plan.seeds {
            let variants = BATCH_AHEAD.map(|tokens| {
                let mut settings = user_fleet(&user);
                settings.documents.root.policy.batch_ahead_tokens = tokens;
                Variant {
                    name: format!("batch ahead {tokens}"),
                    settings,
                    stream: user_stream(&user, BUSY_RATE),
                }
            });
            rows.extend(measure_together(&user, variants.into(), plan, seed).await?);
        }
    }
    Ok(rows)
}

/// Measures all variants at the same time, so that they run under the same conditions.
async fn measure_together(
    user: &UserSize,
    variants: Vec<Variant>,
    plan: &Plan,
    seed: u64,
) -> Result<Vec<Value>> {
    let measurements = variants.into_iter().map(|v| measure(user, v, plan, seed));
    join_all(measurements).await.into_iter().collect()
}

async fn measure(user: &UserSize, variant: Variant, plan: &Plan, seed: u64) -> Result<Value> {
    let cluster = Cluster::start(variant.settings).await?;
    let load = LoadSettings {
        streams: vec![variant.stream],
        span: WARM_UP + plan.span(),
        shift: Some(WARM_UP + plan.span() / 2),
        warm_up: WARM_UP,
        seed,
    };
    let clients = clients(&cluster).await?;
    let running = tokio::spawn(async move { run_load(&clients, &load).await });
    sleep(WARM_UP).await;
    let before = EngineCounters::read(&cluster).await?;
    let report = running.await?;
    let violations = check(&cluster, &report)?;
    let engines = EngineCounters::read(&cluster).await?.since(&before);
    let class = report.classes.values().next().expect("one stream");
    Ok(print_row(json!({
        "user": user.name,
        "variant": variant.name,
        "seed": seed,
        "sent": class.sent,
        "in time %": 100.0 * class.within_target as f64 / class.sent as f64,
        "not run": class.not_run,
        "stalled %": 100.0 * engines.stalls.count / engines.waits.count.max(1.0),
        "stall p50 s": engines.stalls.quantile(0.5),
        "stall p99 s": engines.stalls.quantile(0.99),
        "ttft p50 ms": class.first_token_ms(0.5),
        "ttft p99 ms": class.first_token_ms(0.99),
        "requests a step": engines.requests as f64 / engines.steps.max(1) as f64,
        "loads": engines.loads,
        "bad": violations,
    })))
}

/// Counters of the engines and their sidecars.
struct EngineCounters {
    stalls: HistogramTotals,
    waits: HistogramTotals,
    steps: u64,
    /// Requests summed over the steps.
    requests: u64,
    loads: u64,
}

impl EngineCounters {
    async fn read(cluster: &Cluster) -> Result<Self> {
        let steps = cluster.engines.iter().map(|e| e.engine.steps());
        let (steps, requests) = steps.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        Ok(Self {
            stalls: scrape_engines(cluster, "chalkcart_load_stall_seconds").await?,
            waits: scrape_engines(cluster, "chalkcart_wait_seconds").await?,
            steps,
            requests,
            loads: cluster.store.started(),
        })
    }
    fn since(self, earlier: &Self) -> Self {
        Self {
            stalls: self.stalls.since(&earlier.stalls),
            waits: self.waits.since(&earlier.waits),
            steps: self.steps - earlier.steps,
            requests: self.requests - earlier.requests,
            loads: self.loads - earlier.loads,
        }
    }
}

fn to_object(value: Value) -> Map<String, Value> {
    value.as_object().cloned().unwrap_or_default()
}
