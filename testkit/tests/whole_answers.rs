//! every caller gets the whole answer to its own request, though events come
//! late, twice or out of order, streams break, and processes end

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
/// adapters of the prompts
const ADAPTERS: usize = 4;

fn engines_only() -> ClusterSettings {
    ClusterSettings {
        services: Vec::new(),
        engines: vec![slow_engine(); 2],
        ..ClusterSettings::default()
    }
}

/// slow enough that a test meets a request while it runs
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

async fn expect_all_whole(running: Vec<JoinHandle<Generated>>, case: &str) -> Result<()> {
    for (number, answer) in running.into_iter().enumerate() {
        let answer = answer.await?;
        let answer = answer.unwrap_or_else(|e| panic!("{case}: {number}: {}", e.status));
        assert_eq!(
            check_completion(&prompt(number), &answer),
            CompletionCheck::Correct,
            "{case}: {number}"
        );
    }
    Ok(())
}

/// wait until so many requests run on the engines
async fn wait_running(cluster: &Cluster, count: usize) {
    let running = || -> usize { cluster.engines.iter().map(|e| e.engine.running()).sum() };
    until("requests run", || running() >= count).await;
}

#[tokio::test]
async fn answers_are_whole_whatever_the_engines_streams_do() -> Result<()> {
    let cases = [
        ("none", EngineFaults::default()),
        (
            "repeated",
            EngineFaults {
                duplicate_events: true,
                ..EngineFaults::default()
            },
        ),
        (
            "out of order",
            EngineFaults {
                swap_events: true,
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
                duplicate_events: true,
                swap_events: true,
                cut_after: Some(9),
                wrong_version: false,
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
        expect_all_whole(running, case).await?;
    }
    Ok(())
}

#[tokio::test]
async fn an_answer_of_another_version_is_an_error_and_never_an_answer() -> Result<()> {
    let cluster = Cluster::start(engines_only()).await?;
    let faults = EngineFaults {
        wrong_version: true,
        ..EngineFaults::default()
    };
    cluster
        .engines
        .iter()
        .for_each(|e| e.engine.set_faults(faults));
    let mut client = cluster.client(0).await?;
    let failure = generate(&mut client, prompt(1))
        .await
        .expect_err("not an answer");
    assert_eq!(failure.reason, "WRONG_VERSION");
    assert_eq!(failure.outcome, Outcome::MayHaveRun);
    Ok(())
}

#[tokio::test]
async fn a_stream_cut_between_entry_and_sidecar_is_resumed() -> Result<()> {
    for cut in [
        LinkFault::Closed,
        LinkFault::ResponsesLost,
        LinkFault::Blackhole,
    ] {
        let settings = ClusterSettings {
            forward_targets: true,
            ..engines_only()
        };
        let cluster = Cluster::start(settings).await?;
        let running = spawn_all(&cluster, 6).await?;
        wait_running(&cluster, 3).await;
        let set = |cut| {
            for node in &cluster.engines {
                node.sidecar
                    .forwarder
                    .as_ref()
                    .expect("a forwarder")
                    .set_fault(cut);
            }
        };
        set(cut);
        sleep(Duration::from_millis(150)).await;
        set(LinkFault::None);
        expect_all_whole(running, &format!("{cut:?}")).await?;
        for number in 0..6 {
            let text = prompt(number).prompt;
            let runs: u32 = cluster.engines.iter().map(|e| e.engine.runs(&text)).sum();
            assert_eq!(runs, 1, "{cut:?}: {number} was run again");
        }
    }
    Ok(())
}

#[tokio::test]
async fn repeatable_work_goes_on_elsewhere_when_its_sidecar_is_killed() -> Result<()> {
    let mut cluster = Cluster::start(engines_only()).await?;
    let running = spawn_all(&cluster, 8).await?;
    wait_running(&cluster, 4).await;
    cluster.engines[0].sidecar.process.kill()?;
    expect_all_whole(running, "killed").await
}

#[tokio::test]
async fn repeatable_work_goes_on_elsewhere_when_its_sidecar_freezes() -> Result<()> {
    let cluster = Cluster::start(engines_only()).await?;
    let running = spawn_all(&cluster, 8).await?;
    wait_running(&cluster, 4).await;
    cluster.engines[0].sidecar.process.pause()?;
    expect_all_whole(running, "frozen").await?;
    // woken, it serves again
    cluster.engines[0].sidecar.process.resume()?;
    cluster.engines[0].sidecar.wait_ready().await?;
    let running = spawn_all(&cluster, 8).await?;
    expect_all_whole(running, "woken").await?;
    let unloaded: u32 = cluster
        .engines
        .iter()
        .map(|e| e.engine.unloaded_in_use())
        .sum();
    assert_eq!(unloaded, 0);
    Ok(())
}

#[tokio::test]
async fn an_engine_that_restarts_empty_under_load_loses_no_answer() -> Result<()> {
    let cluster = Cluster::start(engines_only()).await?;
    let running = spawn_all(&cluster, 10).await?;
    wait_running(&cluster, 4).await;
    cluster.engines[0].engine.restart();
    sleep(Duration::from_millis(100)).await;
    cluster.engines[1].engine.restart();
    expect_all_whole(running, "restarted").await
}

#[tokio::test]
async fn loads_that_fail_are_tried_again() -> Result<()> {
    let cluster = Cluster::start(engines_only()).await?;
    cluster.store.fail_next(3);
    let running = spawn_all(&cluster, 6).await?;
    expect_all_whole(running, "failed loads").await
}

#[tokio::test]
async fn a_replaced_sidecar_and_its_live_predecessor_disturb_no_answer() -> Result<()> {
    let mut cluster = Cluster::start(engines_only()).await?;
    let running = spawn_all(&cluster, 8).await?;
    wait_running(&cluster, 4).await;
    let old = cluster.replace_engine_sidecar(0).await?;
    cluster.engines[0].sidecar.wait_ready().await?;
    expect_all_whole(running, "replaced").await?;
    let running = spawn_all(&cluster, 8).await?;
    expect_all_whole(running, "after").await?;
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
async fn a_slow_caller_gets_it_all_and_holds_nobody_up() -> Result<()> {
    let cluster = Cluster::start(engines_only()).await?;
    let mut slow = cluster.client(0).await?;
    let req = prompt(0);
    let mut events = slow.generate(req.clone()).await?.into_inner();
    let running = spawn_all(&cluster, 6).await?;
    expect_all_whole(running, "beside a slow caller").await?;
    let mut answer = Completion::default();
    while let Some(event) = events.message().await? {
        match event.event {
            Some(Event::Token(token)) => answer.tokens.push(token.text),
            Some(Event::Finished(finished)) => answer.finished = Some(finished),
            None => {}
        }
    }
    assert_eq!(check_completion(&req, &answer), CompletionCheck::Correct);
    Ok(())
}

/// the library's own bound of 200 streams once held the others back
#[tokio::test]
async fn one_connection_carries_more_streams_than_a_few_hundred() -> Result<()> {
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
    // no stream ends before the last adapter is there
    for number in 0..ADAPTERS {
        let short = GenerateRequest {
            max_tokens: 1,
            ..prompt(number)
        };
        let answer = generate(&mut client.clone(), short).await;
        assert!(answer.is_ok(), "adapter {number} is loaded");
    }
    let mut running = Vec::new();
    for number in 0..STREAMS {
        let mut client = client.clone();
        let req = prompt(number);
        running.push(tokio::spawn(
            async move { generate(&mut client, req).await },
        ));
    }
    wait_running(&cluster, STREAMS).await;
    expect_all_whole(running, "one connection").await
}

#[test]
fn the_check_catches_one_planted_fault_of_each_kind() {
    use chalkcart_protocol::v1::Finished;
    use chalkcart_testkit::engine::expected_token;
    let req = GenerateRequest {
        max_tokens: 3,
        ..prompt(2)
    };
    let token = |version, index| expected_token(&req.adapter, version, &req.prompt, index);
    let whole = |version: u32| Completion {
        tokens: (0..3).map(|i| token(version, i)).collect(),
        finished: Some(Finished {
            token_count: 3,
            adapter: req.adapter.clone(),
            version: req.version,
        }),
        ..Completion::default()
    };
    let good = whole(req.version);
    assert_eq!(check_completion(&req, &good), CompletionCheck::Correct);
    assert_eq!(
        check_completion(&req, &whole(9)),
        CompletionCheck::Mismatched
    );
    let mut cut = good.clone();
    cut.tokens.pop();
    assert_eq!(check_completion(&req, &cut), CompletionCheck::Incomplete);
    let mut doubled = good.clone();
    doubled.tokens.insert(1, token(req.version, 0));
    assert_eq!(
        check_completion(&req, &doubled),
        CompletionCheck::Incomplete
    );
    let mut unfinished = good;
    unfinished.finished = None;
    assert_eq!(
        check_completion(&req, &unfinished),
        CompletionCheck::Incomplete
    );
}
