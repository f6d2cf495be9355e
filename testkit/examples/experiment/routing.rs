//! routing and slots against random, least loaded and plain hash; and the
//! bound of batching ahead, at both ends

use {
    crate::fleet::{check, clients, noted, user_fleet, user_stream, Plan},
    anyhow::Result,
    chalkcart_testkit::{
        cluster::{Cluster, ClusterSettings},
        configs::{head_office, trentside, UserSize},
        load::{run_load, scrape_engines, LoadSettings},
    },
    serde_json::{json, Map, Value},
    std::time::Duration,
};

const POLICIES: [&str; 4] = [
    "least_expected_wait",
    "least_loaded",
    "plain_hash",
    "random",
];
/// requests a second, near to what the store's three loads a second carry
const RATE: f64 = 14.0;
const BATCH_AHEAD: [u64; 3] = [0, 500, 8_000];
/// requests a second, near to what the engines carry
const BUSY_RATE: f64 = 55.0;

pub async fn run(plan: &Plan) -> Result<Vec<Value>> {
    let mut rows = Vec::new();
    for user in [head_office(), trentside()] {
        for policy in POLICIES {
            for seed in 1..=plan.seeds {
                let mut settings = user_fleet(&user);
                settings.entry_settings = object(json!({ "routing": policy }));
                rows.push(measure(&user, policy, settings, RATE, plan, seed).await?);
            }
        }
    }
    Ok(rows)
}

pub async fn run_batch_ahead(plan: &Plan) -> Result<Vec<Value>> {
    let mut rows = Vec::new();
    for user in [head_office(), trentside()] {
        for tokens in BATCH_AHEAD {
            for seed in 1..=plan.seeds {
                let mut settings = user_fleet(&user);
                settings.documents.root.policy.batch_ahead_tokens = tokens;
                let name = format!("batch ahead {tokens}");
                rows.push(measure(&user, &name, settings, BUSY_RATE, plan, seed).await?);
            }
        }
    }
    Ok(rows)
}

async fn measure(
    user: &UserSize,
    variant: &str,
    settings: ClusterSettings,
    rate: f64,
    plan: &Plan,
    seed: u64,
) -> Result<Value> {
    let cluster = Cluster::start(settings).await?;
    let load = LoadSettings {
        streams: vec![user_stream(user, rate)],
        span: plan.span(),
        shift: true,
        window_from: Duration::ZERO,
        seed,
    };
    let report = run_load(&clients(&cluster).await?, &load).await;
    let bad = check(&cluster, &report)?;
    let stalls = scrape_engines(&cluster, "chalkcart_load_stall_seconds").await?;
    let waits = scrape_engines(&cluster, "chalkcart_wait_seconds").await?;
    let class = report.classes.values().next().expect("one stream");
    let (steps, in_steps) = cluster
        .engines
        .iter()
        .map(|e| e.engine.steps())
        .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    Ok(noted(json!({
        "user": user.name,
        "variant": variant,
        "seed": seed,
        "sent": class.sent,
        "in time %": 100.0 * class.in_time as f64 / class.sent as f64,
        "not run": class.not_run,
        "stalled %": 100.0 * stalls.count / waits.count.max(1.0),
        "stall p50 s": stalls.quantile(0.5),
        "stall p99 s": stalls.quantile(0.99),
        "ttft p50 ms": class.first_token_ms(0.5),
        "ttft p99 ms": class.first_token_ms(0.99),
        "requests a step": in_steps as f64 / steps.max(1) as f64,
        "loads": cluster.store.started(),
        "bad": bad,
    })))
}

fn object(value: Value) -> Map<String, Value> {
    value.as_object().cloned().unwrap_or_default()
}
