//! a planned stop of any part cuts off no request in flight and doubles
//! none; a leaving target gets nothing new although the list lags

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
/// longer than any test
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

/// all answers are whole, and no prompt was run twice
async fn expect_whole_and_single(
    cluster: &Cluster,
    running: Vec<(usize, JoinHandle<Generated>)>,
) -> Result<()> {
    for (number, answer) in running {
        let answer = answer
            .await?
            .unwrap_or_else(|e| panic!("{number}: {}", e.status));
        assert_eq!(
            check_completion(&prompt(number), &answer),
            CompletionCheck::Correct,
            "{number}"
        );
        let text = prompt(number).prompt;
        let runs: u32 = cluster.engines.iter().map(|e| e.engine.runs(&text)).sum();
        assert_eq!(runs, 1, "{number} ran {runs} times");
    }
    Ok(())
}

async fn wait_running(cluster: &Cluster, engine: usize, count: usize) {
    let running = || cluster.engines[engine].engine.running();
    until("requests run", || running() >= count).await;
}

#[tokio::test]
async fn an_entry_that_stops_ends_its_streams_first() -> Result<()> {
    let mut cluster = Cluster::start(slow_engines()).await?;
    let running = spawn_at(&cluster, 0, 0..8).await?;
    wait_running(&cluster, 0, 1).await;
    cluster.entries[0].process.terminate()?;
    let others = spawn_at(&cluster, 1, 100..104).await?;
    let status = cluster.entries[0].process.wait(EXIT_LIMIT).await?;
    assert!(
        status.success(),
        "{status}; log:\n{}",
        cluster.entries[0].log()
    );
    expect_whole_and_single(&cluster, running).await?;
    expect_whole_and_single(&cluster, others).await
}

#[tokio::test]
async fn a_sidecar_that_stops_hands_back_what_waits_and_ends_what_runs() -> Result<()> {
    let mut cluster = Cluster::start(slow_engines()).await?;
    // more than both engines take at once, so that some requests wait
    let running = spawn_at(&cluster, 0, 0..40).await?;
    wait_running(&cluster, 0, 4).await;
    cluster.engines[0].sidecar.process.terminate()?;
    let status = cluster.engines[0].sidecar.process.wait(EXIT_LIMIT).await?;
    assert!(
        status.success(),
        "{status}; log:\n{}",
        cluster.engines[0].sidecar.log()
    );
    expect_whole_and_single(&cluster, running).await
}

#[tokio::test]
async fn a_service_sidecar_that_stops_ends_its_unrepeatable_calls() -> Result<()> {
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
    until_async("it leaves", || async { !sidecar.is_ready().await }).await;
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
async fn a_target_that_says_it_leaves_gets_nothing_new_though_the_list_lags() -> Result<()> {
    let cluster = Cluster::start(slow_engines()).await?;
    cluster.platform.set_list_lag(LONG_LAG);
    let first = spawn_at(&cluster, 0, 0..10).await?;
    wait_running(&cluster, 0, 1).await;
    cluster.engines[0].sidecar.process.terminate()?;
    let sidecar = &cluster.engines[0].sidecar;
    until_async("it leaves", || async { !sidecar.is_ready().await }).await;
    let later = spawn_at(&cluster, 1, 50..70).await?;
    expect_whole_and_single(&cluster, later).await?;
    for number in 50..70 {
        let text = prompt(number).prompt;
        assert_eq!(cluster.engines[0].engine.runs(&text), 0, "{number}");
    }
    expect_whole_and_single(&cluster, first).await
}

#[tokio::test]
async fn a_target_listed_as_leaving_gets_nothing_new() -> Result<()> {
    let cluster = Cluster::start(slow_engines()).await?;
    cluster.platform.set_leaving("engine-0");
    let mark = format!("fleet: list {} ", cluster.platform.list().version);
    for entry in &cluster.entries {
        until(&mark, || entry.has_logged(&mark)).await;
    }
    let later = spawn_at(&cluster, 0, 0..10).await?;
    expect_whole_and_single(&cluster, later).await?;
    for number in 0..10 {
        assert_eq!(cluster.engines[0].engine.runs(&prompt(number).prompt), 0);
    }
    Ok(())
}

#[tokio::test]
async fn every_part_stops_and_starts_in_turn_under_load() -> Result<()> {
    let mut cluster = Cluster::start(slow_engines()).await?;
    let mut running = Vec::new();
    for part in 0..2 {
        let first = part * 20;
        // callers hold to the entry that does not stop in this turn
        running.extend(spawn_at(&cluster, 1 - part, first..first + 20).await?);
        wait_running(&cluster, part, 1).await;
        cluster.engines[part].sidecar.process.terminate()?;
        cluster.entries[part].process.terminate()?;
        let status = cluster.engines[part]
            .sidecar
            .process
            .wait(EXIT_LIMIT)
            .await?;
        assert!(status.success(), "{status}");
        let status = cluster.entries[part].process.wait(EXIT_LIMIT).await?;
        assert!(status.success(), "{status}");
        cluster.engines[part].sidecar.respawn()?;
        cluster.entries[part].respawn()?;
        cluster.wait_ready().await?;
    }
    expect_whole_and_single(&cluster, running).await
}
