//! starts a small fleet on loopback, sends a short mixed load through it and
//! prints what each group and class saw: `cargo run --release --example demo`

use {
    anyhow::{ensure, Result},
    chalkcart_state::config::Policy,
    chalkcart_testkit::{
        cluster::{Cluster, ClusterSettings, ServiceSettings},
        configs::Documents,
        engine::EngineSettings,
        load::{call_once, reserve_for_service, run_load, LoadSettings, RequestStream},
        store::StoreSettings,
    },
    getopts::Options,
    std::time::Duration,
};

const SPAN: Duration = Duration::from_secs(6);
const ONCE_CALLS: u32 = 20;

#[tokio::main]
async fn main() -> Result<()> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("", "stay", "stay up and print the addresses to try");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!(
            "{}",
            options.usage("Usage: cargo run --release --example demo -- [--stay]")
        );
        return Ok(());
    }
    println!("starting 3 entries, 4 engines and 1 plain service as separate processes ...");
    let cluster = Cluster::start(fleet()).await?;
    if matches.opt_present("stay") {
        return stay(&cluster).await;
    }
    run(&cluster).await
}

fn fleet() -> ClusterSettings {
    let documents = Documents::new(4)
        .with_group("branches", 2)
        .with_group("committee", 1)
        .with_base_model("loan-assistant")
        .with_service("fee-table", 8, false)
        .with_policy(Policy::default())
        .with_adapters("counter", 6, "branches", "loan-assistant")
        .with_adapters("file", 6, "committee", "loan-assistant");
    let engine = EngineSettings {
        base_model: "loan-assistant".to_string(),
        ..EngineSettings::default()
    };
    ClusterSettings {
        documents,
        zones: ["posta", "kariakoo", "mikocheni"]
            .map(String::from)
            .to_vec(),
        entries: 3,
        engines: vec![engine; 4],
        services: vec![ServiceSettings {
            name: "fee-table".to_string(),
            delay: Duration::from_millis(5),
            max_running: 8,
        }],
        store: StoreSettings::default(),
        ..ClusterSettings::default()
    }
}

async fn run(cluster: &Cluster) -> Result<()> {
    let mut clients = Vec::new();
    for entry in 0..cluster.entries.len() {
        clients.push(cluster.client(entry).await?);
    }
    let ids = reserve_for_service(&mut clients[0], "fee-table", ONCE_CALLS).await?;
    for (number, id) in ids.iter().enumerate() {
        let body = format!("fee table {number}");
        let client = &mut clients[number % cluster.entries.len()];
        let answer = call_once(client, "fee-table", body.as_bytes(), id, 0).await;
        ensure!(
            answer.is_ok_and(|a| a == body.as_bytes()),
            "call {number} failed"
        );
    }
    let settings = LoadSettings {
        streams: vec![
            stream("branches", "counter", "counter", 20.0, 16),
            stream("committee", "overnight", "file", 8.0, 48),
        ],
        span: SPAN,
        shift: Some(SPAN / 2),
        warm_up: Duration::ZERO,
        seed: 1,
    };
    let report = run_load(&clients, &settings).await;
    println!("{}", report.table());
    let service = &cluster.services[0].service;
    println!(
        "calls that run once: {} sent, {} run",
        ids.len(),
        service.total_runs()
    );
    println!(
        "wrong {} cut off {} doubled {}",
        report.mismatched,
        report.incomplete,
        service.duplicate_runs()
    );
    ensure!(report.mismatched + report.incomplete == 0, "bad answers");
    ensure!(service.duplicate_runs() == 0, "doubled calls");
    Ok(())
}

fn stream(group: &str, class: &str, prefix: &str, rate: f64, max_tokens: u32) -> RequestStream {
    RequestStream {
        group: group.to_string(),
        class: class.to_string(),
        prefix: prefix.to_string(),
        adapters: 6,
        exponent: 1.0,
        rate,
        max_tokens,
        timeout_ms: 0,
        first_token_target: Duration::from_secs(2),
    }
}

async fn stay(cluster: &Cluster) -> Result<()> {
    for entry in &cluster.entries {
        println!(
            "{}: {}  (gRPC, /metrics, /readyz)",
            entry.name, entry.listen
        );
    }
    for node in cluster.nodes().skip(cluster.entries.len()) {
        println!("{}: {}  (/metrics, /readyz)", node.name, node.listen);
    }
    let addr = cluster.entries[0].listen;
    println!("\ntry:");
    println!("  target/release/chalkcart status {addr}");
    println!("  target/release/chalkcart generate {addr} branches counter counter-0 1 'Hello'");
    println!("  target/release/chalkcart call --once {addr} branches counter fee-table 'table 1'");
    println!("\nstop with Ctrl-C");
    tokio::signal::ctrl_c().await?;
    Ok(())
}
