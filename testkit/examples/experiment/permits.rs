//! load permits against each for itself and a static share

use {
    crate::fleet::{check, clients, noted, user_fleet, user_stream, Plan},
    anyhow::Result,
    chalkcart_coordination::membership::select_permit_issuer,
    chalkcart_testkit::{
        cluster::Cluster,
        configs::{head_office, trentside, UserSize},
        load::{run_load, LoadSettings, RequestStream},
    },
    serde_json::{json, Value},
    std::time::Duration,
    tokio::time::sleep,
};

/// the urgent class and the one that can wait, in requests a second
const URGENT_RATE: f64 = 7.0;
const PATIENT_RATE: f64 = 9.0;
const FAILING: u32 = 8;

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    FailingLoads,
    GiverKilled,
}

pub async fn run(plan: &Plan) -> Result<Vec<Value>> {
    let mut rows = Vec::new();
    for user in [head_office(), trentside()] {
        let share = 3.0 / user.engines.iter().map(|(_, n)| *n as f64).sum::<f64>();
        let variants = [
            ("permits", json!("given")),
            ("each for itself", json!("none")),
            (
                "static share",
                json!({ "static_share": { "loads_per_second": share } }),
            ),
        ];
        for (name, permits) in variants {
            for seed in 1..=plan.seeds {
                rows.push(measure(&user, name, &permits, Fault::None, plan, seed).await?);
            }
        }
        for (fault, label) in [
            (Fault::FailingLoads, "permits, loads fail"),
            (Fault::GiverKilled, "permits, giver killed"),
        ] {
            for seed in 1..=plan.seeds {
                rows.push(measure(&user, label, &json!("given"), fault, plan, seed).await?);
            }
        }
    }
    Ok(rows)
}

fn streams(user: &UserSize) -> Vec<RequestStream> {
    let urgent = RequestStream {
        class: "counter".to_string(),
        ..user_stream(user, URGENT_RATE)
    };
    let patient = RequestStream {
        class: "overnight".to_string(),
        first_token_target: Duration::from_secs(20),
        timeout_ms: 20_000,
        ..user_stream(user, PATIENT_RATE)
    };
    vec![urgent, patient]
}

async fn measure(
    user: &UserSize,
    variant: &str,
    permits: &Value,
    fault: Fault,
    plan: &Plan,
    seed: u64,
) -> Result<Value> {
    let mut settings = user_fleet(user);
    settings
        .sidecar_settings
        .insert("permits".to_string(), permits.clone());
    let mut cluster = Cluster::start(settings).await?;
    // callers hold to entries that are not killed
    let giver = select_permit_issuer(&cluster.platform.list()).map(|b| b.name.clone());
    let giver = cluster
        .entries
        .iter()
        .position(|e| Some(&e.name) == giver.as_ref());
    let mut clients = clients(&cluster).await?;
    if let Some(giver) = giver {
        clients.remove(giver);
    }
    let load = LoadSettings {
        streams: streams(user),
        span: plan.span(),
        shift: Some(plan.span() / 2),
        warm_up: Duration::ZERO,
        seed,
    };
    let running = tokio::spawn(async move { run_load(&clients, &load).await });
    sleep(plan.span() / 3).await;
    match (fault, giver) {
        (Fault::FailingLoads, _) => cluster.store.fail_next(FAILING),
        (Fault::GiverKilled, Some(giver)) => cluster.entries[giver].process.kill()?,
        _ => {}
    }
    let report = running.await?;
    let bad = check(&cluster, &report)?;
    let class = |name: &str| &report.classes[&format!("{}/{name}", user.group)];
    let (urgent, patient) = (class("counter"), class("overnight"));
    Ok(noted(json!({
        "user": user.name,
        "variant": variant,
        "seed": seed,
        "counter sent": urgent.sent,
        "counter in time %": 100.0 * urgent.within_target as f64 / urgent.sent as f64,
        "counter ttft p50 ms": urgent.first_token_ms(0.5),
        "counter ttft p99 ms": urgent.first_token_ms(0.99),
        "overnight whole %": 100.0 * patient.completed as f64 / patient.sent as f64,
        "overnight ttft p99 ms": patient.first_token_ms(0.99),
        "not run": urgent.not_run + patient.not_run,
        "loads": cluster.store.started(),
        "bad": bad,
    })))
}
