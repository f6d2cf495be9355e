//! three groups at shares 1:2:5, the first flooding; and what the flood does
//! to another group's counter

use {
    crate::fleet::{check, clients, engine, Plan, TOKENS},
    anyhow::Result,
    chalkcart_testkit::{
        cluster::{Cluster, ClusterSettings},
        configs::Documents,
        load::{run_load, LoadReport, LoadSettings, RequestStream},
    },
    serde_json::{json, Value},
    std::time::Duration,
};

const SHARES: [(&str, u32); 3] = [("one", 1), ("two", 2), ("five", 5)];
const ADAPTERS: usize = 2;
/// what two engines carry, in requests a second
const CAPACITY: f64 = 13.0;

pub async fn run(plan: &Plan) -> Result<Vec<Value>> {
    let mut rows = Vec::new();
    for seed in 1..=plan.seeds {
        rows.extend(measure_shares(plan, seed).await?);
    }
    for seed in 1..=plan.seeds {
        for flood in [false, true] {
            rows.push(measure_counter(plan, seed, flood).await?);
        }
    }
    Ok(rows)
}

fn fleet() -> ClusterSettings {
    let mut documents = Documents::new(4).with_base_model("base");
    for (group, share) in SHARES {
        documents = documents
            .with_group(group, share)
            .with_adapters(group, ADAPTERS, group, "base");
    }
    ClusterSettings {
        documents,
        engines: vec![engine("base"); 2],
        services: Vec::new(),
        ..ClusterSettings::default()
    }
}

fn stream(group: &str, class: &str, rate: f64) -> RequestStream {
    RequestStream {
        group: group.to_string(),
        class: class.to_string(),
        prefix: group.to_string(),
        adapters: ADAPTERS,
        exponent: 0.0,
        rate,
        max_tokens: TOKENS,
        timeout_ms: 15_000,
        first_token_target: Duration::from_secs(2),
    }
}

async fn load(streams: Vec<RequestStream>, plan: &Plan, seed: u64) -> Result<(LoadReport, u64)> {
    let cluster = Cluster::start(fleet()).await?;
    let load = LoadSettings {
        streams,
        span: plan.span(),
        shift: None,
        warm_up: plan.span() / 3,
        seed,
    };
    let report = run_load(&clients(&cluster).await?, &load).await;
    let bad = check(&cluster, &report)?;
    Ok((report, bad))
}

/// every group asks for more than its share, the first for far more
async fn measure_shares(plan: &Plan, seed: u64) -> Result<Vec<Value>> {
    let streams = vec![
        stream("one", "sameday", 3.0 * CAPACITY),
        stream("two", "sameday", 0.6 * CAPACITY),
        stream("five", "sameday", 1.2 * CAPACITY),
    ];
    let (report, bad) = load(streams, plan, seed).await?;
    let all: u64 = report.classes.values().map(|c| c.window_tokens).sum();
    let sum: u32 = SHARES.iter().map(|(_, share)| share).sum();
    let row = |(group, share): (&str, u32)| {
        let class = &report.classes[&format!("{group}/sameday")];
        let fair = 100.0 * f64::from(share) / f64::from(sum);
        let got = 100.0 * class.window_tokens as f64 / all.max(1) as f64;
        new_row(
            "shares 1:2:5, one floods",
            seed,
            group,
            class,
            fair,
            got,
            bad,
        )
    };
    Ok(SHARES.into_iter().map(row).collect())
}

/// a counter below its share beside a flood
async fn measure_counter(plan: &Plan, seed: u64, flood: bool) -> Result<Value> {
    let mut streams = vec![
        stream("five", "counter", 0.3 * CAPACITY),
        stream("two", "overnight", 0.1 * CAPACITY),
    ];
    if flood {
        streams.push(stream("one", "counter", 3.0 * CAPACITY));
    }
    let (report, bad) = load(streams, plan, seed).await?;
    let variant = if flood {
        "counter beside a flood"
    } else {
        "counter alone"
    };
    let class = &report.classes["five/counter"];
    let overnight = &report.classes["two/overnight"];
    let whole = 100.0 * overnight.completed as f64 / overnight.sent as f64;
    let mut row = new_row(variant, seed, "five", class, 0.0, 0.0, bad);
    row["overnight whole %"] = json!(whole);
    Ok(row)
}

fn new_row(
    variant: &str,
    seed: u64,
    group: &str,
    class: &chalkcart_testkit::load::ClassReport,
    fair: f64,
    got: f64,
    bad: u64,
) -> Value {
    json!({
        "variant": variant,
        "seed": seed,
        "group": group,
        "sent": class.sent,
        "whole": class.completed,
        "not run": class.not_run,
        "fair %": fair,
        "got %": got,
        "ttft p50 ms": class.first_token_ms(0.5),
        "ttft p90 ms": class.first_token_ms(0.9),
        "ttft p99 ms": class.first_token_ms(0.99),
        "overnight whole %": "",
        "bad": bad,
    })
}
