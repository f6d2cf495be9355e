//! goodput at and above capacity, and what refusals look like

use {
    crate::fleet::{check, clients, engine, noted, Plan, TOKENS},
    anyhow::Result,
    chalkcart_testkit::{
        cluster::{Cluster, ClusterSettings},
        configs::Documents,
        load::{run_load, LoadSettings, RequestStream},
    },
    serde_json::{json, Value},
    std::time::Duration,
};

const ADAPTERS: usize = 4;
/// what two engines carry, in requests a second
const CAPACITY: f64 = 13.0;
const FACTORS: [f64; 4] = [0.5, 1.0, 2.0, 4.0];
const TIMEOUT_MS: u32 = 6_000;

pub async fn run(plan: &Plan) -> Result<Vec<Value>> {
    let mut rows = Vec::new();
    for factor in FACTORS {
        for seed in 1..=plan.seeds {
            rows.push(measure(factor, plan, seed).await?);
        }
    }
    Ok(rows)
}

async fn measure(factor: f64, plan: &Plan, seed: u64) -> Result<Value> {
    let documents = Documents::new(4)
        .with_base_model("base")
        .with_group("clients", 1)
        .with_adapters("client", ADAPTERS, "clients", "base");
    let cluster = Cluster::start(ClusterSettings {
        documents,
        engines: vec![engine("base"); 2],
        services: Vec::new(),
        ..ClusterSettings::default()
    })
    .await?;
    let load = LoadSettings {
        streams: vec![RequestStream {
            group: "clients".to_string(),
            class: "sameday".to_string(),
            prefix: "client".to_string(),
            adapters: ADAPTERS,
            exponent: 0.0,
            rate: factor * CAPACITY,
            max_tokens: TOKENS,
            timeout_ms: TIMEOUT_MS,
            first_token_target: Duration::from_millis(u64::from(TIMEOUT_MS)),
        }],
        span: plan.span(),
        shift: None,
        warm_up: plan.span() / 4,
        seed,
    };
    let report = run_load(&clients(&cluster).await?, &load).await;
    let bad = check(&cluster, &report)?;
    let class = &report.classes["clients/sameday"];
    let window = (plan.span() * 3 / 4).as_secs_f64();
    Ok(noted(json!({
        "load": format!("{factor}x"),
        "seed": seed,
        "sent": class.sent,
        "whole": class.completed,
        "goodput tokens/s": class.window_tokens as f64 / window,
        "not run": class.not_run,
        "unclear": class.may_have_run,
        "says when to come back": class.rejected_with_retry_after,
        "refused p50 ms": class.rejected_ms(0.5),
        "refused p99 ms": class.rejected_ms(0.99),
        "ttft p99 ms": class.first_token_ms(0.99),
        "reasons": format!("{:?}", class.reasons),
        "bad": bad,
    })))
}
