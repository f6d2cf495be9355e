//! Every caller gets the complete response to its own request, although events are delayed,
//! duplicated or reordered, streams break, and processes end.

use {
    anyhow::Result,
    chalkcart_protocol::{
        peer::Outcome,
        v1::{generate_event::Event, GenerateRequest},
    },
    chalkcart_testkit::{
        cluster::{Cluster, ClusterSettings},
        engine::{EngineFaults, EngineSettings},
        forwarder::LinkFault,
        load::{check_completion, generate, Completion, CompletionCheck, Failure},
        waiting::until,
    },
    std::time::Duration,
    tokio::{task::JoinHandle, time::sleep},
};

const TOKENS: u32 = 60;
const ADAPTERS: usize = 4;

fn engines_only() -> ClusterSettings {
    ClusterSettings {
        services: Vec::new(),
        engines: vec![slow_engine(); 2],
        ..ClusterSettings::default()
    }
}

/// Settings of an engine that is slow enough for a test to act while requests run.
fn slow_engine() -> EngineSettings {
    EngineSettings {
        step: Duration::from_millis(20),
        ..EngineSettings::default()
    }
}

fn prompt(number: usize) -> GenerateRequest {
    GenerateRequest {
        group: "branches".to_string(),
        class: "sameday".to_string(),
        adapter: format!("loan-{}", number % ADAPTERS),
        version: 1 + (number % 2) as u32,
        prompt: format!("explain schedule {number}"),
        max_tokens: TOKENS,
        ..GenerateRequest::default()
    }
}

type Generated = Result<Completion, Box<Failure>>;

async fn spawn_all(cluster: &Cluster, count: usize) -> Result<Vec<JoinHandle<Generated>>> {
    let mut running = Vec::new();
    for number in 0..count {
        let mut client = cluster.client(number % cluster.entries.len()).await?;
        let req = prompt(number);
        running.push(tokio::spawn(
            async move { generate(&mut client, req).await },
        ));
    }
    Ok(running)
}

async fn expect_all_complete(running: Vec<JoinHandle<Generated>>, case: &str) -> Result<()> {
    for (number, response) in running.into_iter().enumerate() {
        let response = response.await?;
        let response = response.unwrap_or_else(|e| panic!("{case}: {number}: {}", e.status));
        assert_eq!(
            check_completion(&prompt(number), &response),
            CompletionCheck::Correct,
            "{case}: {number}"
        );
    }
    Ok(())
}

/// Waits until at least `count` requests run on the engines.
async fn wait_until_running(cluster: &Cluster, count: usize) {
    let running = || -> usize { cluster.engines.iter().map(|e| e.engine.running()).sum() };
    until("requests run", || running() >= count).await;
}

#[tokio::test]
async fn responses_are_complete_despite_stream_faults() -> Result<()> {
    let cases = [
        ("none", EngineFaults::default()),
        (
            "repeated",
            EngineFaults {
                should_duplicate_events: true,
                ..EngineFaults::default()
            },
        ),
        (
            "out of order",
            EngineFaults {
                should_swap_events: true,
                ..EngineFaults::default()
            },
        ),
        (
            "cut",
            EngineFaults {
                cut_after: Some(7),
                ..EngineFaults::default()
            },
        ),
        (
            "all at once",
            EngineFaults {
                should_duplicate_events: true,
                should_swap_events: true,
                cut_after: Some(9),
                should_report_wrong_version: false,
            },
        ),
    ];
    let cluster = Cluster::start(engines_only()).await?;
    for (case, faults) in cases {
        cluster
            .engines
            .iter()
            .for_each(|e| e.engine.set_faults(faults));
        let running = spawn_all(&cluster, 8).await?;
        expect_all_complete(running, case).await?;
    }
    Ok(())
}

#[tokio::test]
async fn a_response_of_another_version_is_an_error() -> Result<()> {
    let cluster = Cluster::start(engines_only()).await?;
    let faults = EngineFaults {
        should_report_wrong_version: true,
        ..EngineFaults::default()
    };
    cluster
        .engines
        .iter()
        .for_each(|e| e.engine.set_faults(faults));
    let mut client = cluster.client(0).await?;
    let failure = generate(&mut client, prompt(1))
        .await
        .expect_err("a response of another version");
    assert_eq!(failure.reason, "WRONG_VERSION");
    assert_eq!(failure.outcome, Outcome::MayHaveRun);
    Ok(())
}

#[tokio::test]
async fn a_stream_interrupted_between_entry_and_sidecar_is_resumed() -> Result<()> {
    for fault in [
        LinkFault::Closed,
        LinkFault::ResponsesLost,
        LinkFault::Blackhole,
    ] {
        let settings = ClusterSettings {
            has_target_forwarders: true,
            ..engines_only()
        };
        let cluster = Cluster::start(settings).await?;
        let running = spawn_all(&cluster, 6).await?;
        wait_until_running(&cluster, 3).await;
        let set_link_fault = |fault| {
            for node in &cluster.engines {
                node.sidecar
                    .forwarder
                    .as_ref()
                    .expect("a forwarder")
                    .set_fault(fault);
            }
        };
        set_link_fault(fault);
        sleep(Duration::from_millis(150)).await;
        set_link_fault(LinkFault::None);
        expect_all_complete(running, &format!("{fault:?}")).await?;
        for number in 0..6 {
            let text = prompt(number).prompt;
            let runs: u32 = cluster.engines.iter().map(|e| e.engine.runs(&text)).sum();
            assert_eq!(runs, 1, "{fault:?}: {number} did not run exactly once");
        }
    }
    Ok(())
}

#[tokio::test]
async fn repeatable_requests_continue_elsewhere_when_their_sidecar_is_killed() -> Result<()> {
    let mut cluster = Cluster::start(engines_only()).await?;
    let running = spawn_all(&cluster, 8).await?;
    wait_until_running(&cluster, 4).await;
    cluster.engines[0].sidecar.process.kill()?;
    expect_all_complete(running, "killed").await
}

#[tokio::test]
async fn repeatable_requests_continue_elsewhere_when_their_sidecar_is_paused() -> Result<()> {
    let cluster = Cluster::start(engines_only()).await?;
    let running = spawn_all(&cluster, 8).await?;
    wait_until_running(&cluster, 4).await;
    cluster.engines[0].sidecar.process.pause()?;
    expect_all_complete(running, "paused").await?;
    // the resumed sidecar serves again
    cluster.engines[0].sidecar.process.resume()?;
    cluster.engines[0].sidecar.wait_ready().await?;
    let running = spawn_all(&cluster, 8).await?;
    expect_all_complete(running, "resumed").await?;
    let unloaded: u32 = cluster
        .engines
        .iter()
        .map(|e| e.engine.unloaded_in_use())
        .sum();
    assert_eq!(unloaded, 0);
    Ok(())
}

#[tokio::test]
async fn restarts_of_engines_under_load_lose_no_response() -> Result<()> {
    let cluster = Cluster::start(engines_only()).await?;
    let running = spawn_all(&cluster, 10).await?;
    wait_until_running(&cluster, 4).await;
    cluster.engines[0].engine.restart();
    sleep(Duration::from_millis(100)).await;
    cluster.engines[1].engine.restart();
    expect_all_complete(running, "restarted").await
}

#[tokio::test]
async fn failed_loads_are_retried() -> Result<()> {
    let cluster = Cluster::start(engines_only()).await?;
    cluster.store.fail_next(3);
    let running = spawn_all(&cluster, 6).await?;
    expect_all_complete(running, "failed loads").await
}

#[tokio::test]
async fn a_replaced_sidecar_and_its_live_predecessor_corrupt_no_response() -> Result<()> {
    let mut cluster = Cluster::start(engines_only()).await?;
    let running = spawn_all(&cluster, 8).await?;
    wait_until_running(&cluster, 4).await;
    let old = cluster.replace_engine_sidecar(0).await?;
    cluster.engines[0].sidecar.wait_ready().await?;
    expect_all_complete(running, "replaced").await?;
    let running = spawn_all(&cluster, 8).await?;
    expect_all_complete(running, "after").await?;
    let unloaded: u32 = cluster
        .engines
        .iter()
        .map(|e| e.engine.unloaded_in_use())
        .sum();
    assert_eq!(unloaded, 0);
    drop(old);
    Ok(())
}

#[tokio::test]
async fn a_slow_caller_gets_everything_and_blocks_no_other_caller() -> Result<()> {
    let cluster = Cluster::start(engines_only()).await?;
    let mut slow = cluster.client(0).await?;
    let req = prompt(0);
    let mut events = slow.generate(req.clone()).await?.into_inner();
    let running = spawn_all(&cluster, 6).await?;
    expect_all_complete(running, "beside a slow caller").await?;
    let mut response = Completion::default();
    while let Some(event) = events.message().await? {
        match event.event {
            Some(Event::Token(token)) => response.tokens.push(token.text),
            Some(Event::Finished(finished)) => response.finished = Some(finished),
            None => {}
        }
    }
    assert_eq!(check_completion(&req, &response), CompletionCheck::Correct);
    Ok(())
}

/// Guards against: the HTTP/2 library's default limit of 200 concurrent streams.
#[tokio::test]
async fn one_connection_carries_several_hundred_streams() -> Result<()> {
    const STREAMS: usize = 260;
    let engine = EngineSettings {
        max_batch: 512,
        step: Duration::from_millis(100),
        step_per_request: Duration::ZERO,
        ..EngineSettings::default()
    };
    let cluster = Cluster::start(ClusterSettings {
        engines: vec![engine],
        ..engines_only()
    })
    .await?;
    let client = cluster.client(0).await?;
    // all adapters are loaded before the streams start
    for number in 0..ADAPTERS {
        let short = GenerateRequest {
            max_tokens: 1,
            ..prompt(number)
        };
        let response = generate(&mut client.clone(), short).await;
        assert!(response.is_ok(), "adapter {number} is loaded");
    }
    let mut running = Vec::new();
    for number in 0..STREAMS {
        let mut client = client.clone();
        let req = prompt(number);
        running.push(tokio::spawn(
            async move { generate(&mut client, req).await },
        ));
    }
    wait_until_running(&cluster, STREAMS).await;
    expect_all_complete(running, "one connection").await
}

#[test]
fn the_check_reports_each_kind_of_fault() {
    use chalkcart_protocol::v1::Finished;
    use chalkcart_testkit::engine::expected_token;
    let req = GenerateRequest {
        max_tokens: 3,
        ..prompt(2)
    };
    let token = |version, index| expected_token(&req.adapter, version, &req.prompt, index);
    let complete = |version: u32| Completion {
        tokens: (0..3).map(|i| token(version, i)).collect(),
        finished: Some(Finished {
            token_count: 3,
            adapter: req.adapter.clone(),
            version: req.version,
        }),
        ..Completion::default()
    };
    let correct = complete(req.version);
    assert_eq!(check_completion(&req, &correct), CompletionCheck::Correct);
    assert_eq!(
        check_completion(&req, &complete(9)),
        CompletionCheck::Mismatched
    );
    let mut truncated = correct.clone();
    truncated.tokens.pop();
    assert_eq!(
        check_completion(&req, &truncated),
        CompletionCheck::Incomplete
    );
    let mut duplicated = correct.clone();
    duplicated.tokens.insert(1, token(req.version, 0));
    assert_eq!(
        check_completion(&req, &duplicated),
        CompletionCheck::Incomplete
    );
    let mut unfinished = correct;
    unfinished.finished = None;
    assert_eq!(
        check_completion(&req, &unfinished),
        CompletionCheck::Incomplete
    );
}
