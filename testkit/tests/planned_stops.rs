//! A planned stop of any process interrupts no request and runs none twice, and a leaving target
//! receives no new requests even if the list lags.

use {
    anyhow::Result,
    chalkcart_protocol::v1::GenerateRequest,
    chalkcart_testkit::{
        cluster::{Cluster, ClusterSettings},
        engine::EngineSettings,
        load::{
            call_once, check_completion, generate, reserve_for_service, Completion,
            CompletionCheck, Failure,
        },
        waiting::{until, until_async},
    },
    std::time::Duration,
    tokio::task::JoinHandle,
};

const TOKENS: u32 = 80;
const EXIT_LIMIT: Duration = Duration::from_secs(30);
/// Longer than any test.
const LONG_LAG: Duration = Duration::from_secs(600);

type Generated = Result<Completion, Box<Failure>>;

fn slow_engines() -> ClusterSettings {
    let engine = EngineSettings {
        step: Duration::from_millis(15),
        ..EngineSettings::default()
    };
    ClusterSettings {
        engines: vec![engine; 2],
        ..ClusterSettings::default()
    }
}

fn prompt(number: usize) -> GenerateRequest {
    GenerateRequest {
        group: "branches".to_string(),
        class: "sameday".to_string(),
        adapter: format!("loan-{}", number % 3),
        version: 1,
        prompt: format!("draft note {number}"),
        max_tokens: TOKENS,
        ..GenerateRequest::default()
    }
}

async fn spawn_at(
    cluster: &Cluster,
    entry: usize,
    numbers: std::ops::Range<usize>,
) -> Result<Vec<(usize, JoinHandle<Generated>)>> {
    let client = cluster.client(entry).await?;
    let spawn = |number| {
        let mut client = client.clone();
        let running = tokio::spawn(async move { generate(&mut client, prompt(number)).await });
        (number, running)
    };
    Ok(numbers.map(spawn).collect())
}

/// Checks that all responses are complete and that each prompt ran once.
async fn expect_complete_and_run_once(
    cluster: &Cluster,
    running: Vec<(usize, JoinHandle<Generated>)>,
) -> Result<()> {
    for (number, response) in running {
        let response = response
            .await?
            .unwrap_or_else(|e| panic!("{number}: {}", e.status));
        assert_eq!(
            check_completion(&prompt(number), &response),
            CompletionCheck::Correct,
            "{number}"
        );
        let text = prompt(number).prompt;
        let runs: u32 = cluster.engines.iter().map(|e| e.engine.runs(&text)).sum();
        assert_eq!(runs, 1, "{number} ran {runs} times");
    }
    Ok(())
}

async fn wait_until_running(cluster: &Cluster, engine: usize, count: usize) {
    let running = || cluster.engines[engine].engine.running();
    until("requests run", || running() >= count).await;
}

#[tokio::test]
async fn a_stopping_entry_completes_its_streams() -> Result<()> {
    let mut cluster = Cluster::start(slow_engines()).await?;
    let running = spawn_at(&cluster, 0, 0..8).await?;
    wait_until_running(&cluster, 0, 1).await;
    cluster.entries[0].process.terminate()?;
    let others = spawn_at(&cluster, 1, 100..104).await?;
    let status = cluster.entries[0].process.wait(EXIT_LIMIT).await?;
    assert!(
        status.success(),
        "{status}; log:\n{}",
        cluster.entries[0].log()
    );
    expect_complete_and_run_once(&cluster, running).await?;
    expect_complete_and_run_once(&cluster, others).await
}

#[tokio::test]
async fn a_stopping_sidecar_returns_waiting_requests_and_completes_running_ones() -> Result<()> {
    let mut cluster = Cluster::start(slow_engines()).await?;
    // more than both engines run at a time, so that some requests wait
    let running = spawn_at(&cluster, 0, 0..40).await?;
    wait_until_running(&cluster, 0, 4).await;
    cluster.engines[0].sidecar.process.terminate()?;
    let status = cluster.engines[0].sidecar.process.wait(EXIT_LIMIT).await?;
    assert!(
        status.success(),
        "{status}; log:\n{}",
        cluster.engines[0].sidecar.log()
    );
    expect_complete_and_run_once(&cluster, running).await
}

#[tokio::test]
async fn a_stopping_service_sidecar_completes_its_unrepeatable_calls() -> Result<()> {
    let mut cluster = Cluster::start(slow_engines()).await?;
    let mut client = cluster.client(0).await?;
    let ids = reserve_for_service(&mut client, "fee-table", 4).await?;
    cluster.services[0].service.set_paused(true);
    let mut running = Vec::new();
    for (number, id) in ids.iter().take(3).cloned().enumerate() {
        let mut client = client.clone();
        running.push(tokio::spawn(async move {
            let body = format!("table {number}");
            call_once(&mut client, "fee-table", body.as_bytes(), &id, 0).await
        }));
    }
    cluster.services[0].service.wait_for_runs(3).await;
    cluster.services[0].sidecar.process.terminate()?;
    let sidecar = &cluster.services[0].sidecar;
    until_async("it is leaving", || async { !sidecar.is_ready().await }).await;
    let late = call_once(&mut client, "fee-table", b"late", &ids[3], 0).await;
    assert_eq!(late.expect_err("leaving").reason, "LEAVING");
    cluster.services[0].service.set_paused(false);
    for call in running {
        assert!(call.await?.is_ok());
    }
    let status = cluster.services[0].sidecar.process.wait(EXIT_LIMIT).await?;
    assert!(status.success(), "{status}");
    assert_eq!(cluster.services[0].service.total_runs(), 3);
    Ok(())
}

#[tokio::test]
async fn a_leaving_target_receives_no_new_requests_while_the_list_lags() -> Result<()> {
    let cluster = Cluster::start(slow_engines()).await?;
    cluster.platform.set_list_lag(LONG_LAG);
    let first = spawn_at(&cluster, 0, 0..10).await?;
    wait_until_running(&cluster, 0, 1).await;
    cluster.engines[0].sidecar.process.terminate()?;
    let sidecar = &cluster.engines[0].sidecar;
    until_async("it is leaving", || async { !sidecar.is_ready().await }).await;
    let later = spawn_at(&cluster, 1, 50..70).await?;
    expect_complete_and_run_once(&cluster, later).await?;
    for number in 50..70 {
        let text = prompt(number).prompt;
        assert_eq!(cluster.engines[0].engine.runs(&text), 0, "{number}");
    }
    expect_complete_and_run_once(&cluster, first).await
}

#[tokio::test]
async fn a_target_listed_as_leaving_receives_no_new_requests() -> Result<()> {
    let cluster = Cluster::start(slow_engines()).await?;
    cluster.platform.set_leaving("engine-0");
    let list_line = format!("fleet: list {} ", cluster.platform.list().version);
    for entry in &cluster.entries {
        until(&list_line, || entry.has_logged(&list_line)).await;
    }
    let later = spawn_at(&cluster, 0, 0..10).await?;
    expect_complete_and_run_once(&cluster, later).await?;
    for number in 0..10 {
        assert_eq!(cluster.engines[0].engine.runs(&prompt(number).prompt), 0);
    }
    Ok(())
}

#[tokio::test]
async fn every_process_restarts_in_turn_under_load() -> Result<()> {
    let mut cluster = Cluster::start(slow_engines()).await?;
    let mut running = Vec::new();
    for index in 0..2 {
        let first = index * 20;
        // requests go to the entry that does not stop in this round
        running.extend(spawn_at(&cluster, 1 - index, first..first + 20).await?);
        wait_until_running(&cluster, index, 1).await;
        cluster.engines[index].sidecar.process.terminate()?;
        cluster.entries[index].process.terminate()?;
        let status = cluster.engines[index]
            .sidecar
            .process
            .wait(EXIT_LIMIT)
            .await?;
        assert!(status.success(), "{status}");
        let status = cluster.entries[index].process.wait(EXIT_LIMIT).await?;
        assert!(status.success(), "{status}");
        cluster.engines[index].sidecar.respawn()?;
        cluster.entries[index].respawn()?;
        cluster.wait_ready().await?;
    }
    expect_complete_and_run_once(&cluster, running).await
}
