//! requests under a reserved id run at most once, and `NOT_RUN` is true,
//! under kills, freezes, cuts and replacements of real processes. Runs are
//! counted by the stand-ins.

use {
    anyhow::Result,
    chalkcart_protocol::{
        peer::Outcome,
        v1::{
            inference_client::InferenceClient, CancelRequest, GenerateRequest,
            Outcome as OutcomeCode,
        },
    },
    chalkcart_testkit::{
        cluster::{Cluster, ClusterSettings},
        forwarder::LinkFault,
        ledger::{AtMostOnceLedger, Violation},
        load::{call_once, generate, reserve_for_adapter, reserve_for_service, Failure},
        waiting::{until, until_async},
    },
    serde_json::{json, Map, Value},
    std::{collections::HashMap, time::Duration},
    tokio::{task::JoinHandle, time::sleep},
    tonic::{transport::Channel, Code},
};

const SERVICE: &str = "fee-table";
const BODY: &[u8] = b"fee table of client 7";
/// long enough for a slow machine, in ms
const LONG: u32 = 10_000;
/// a caller that gives up soon, in ms
const SHORT: u32 = 1_500;

type Client = InferenceClient<Channel>;
type Called = Result<Vec<u8>, Box<Failure>>;

fn one_service() -> ClusterSettings {
    ClusterSettings {
        engines: Vec::new(),
        ..ClusterSettings::default()
    }
}

fn sidecar_settings(value: Value) -> Map<String, Value> {
    value.as_object().cloned().unwrap_or_default()
}

async fn reserve(client: &mut Client) -> Result<String> {
    Ok(reserve_for_service(client, SERVICE, 1).await?.remove(0))
}

fn spawn_call(mut client: Client, id: &str, timeout_ms: u32) -> JoinHandle<Called> {
    let id = id.to_string();
    tokio::spawn(async move { call_once(&mut client, SERVICE, BODY, &id, timeout_ms).await })
}

async fn cancel(client: &mut Client, id: &str) -> Result<OutcomeCode> {
    let req = CancelRequest {
        reserved_id: id.to_string(),
    };
    Ok(client.cancel(req).await?.into_inner().outcome())
}

/// wait until an entry's list holds the address of a service's sidecar
async fn wait_listed(cluster: &Cluster, entry: usize) -> Result<()> {
    let version = cluster.platform.list().version;
    let mark = format!("fleet: list {version} ");
    until(&mark, || cluster.entries[entry].has_logged(&mark)).await;
    Ok(())
}

#[tokio::test]
async fn a_copy_through_another_entry_joins_the_first() -> Result<()> {
    let cluster = Cluster::start(one_service()).await?;
    let (mut first, second) = (cluster.client(0).await?, cluster.client(1).await?);
    let service = &cluster.services[0].service;
    service.set_paused(true);
    let id = reserve(&mut first).await?;
    let one = spawn_call(first, &id, LONG);
    service.wait_for_runs(1).await;
    let other = spawn_call(second, &id, LONG);
    // the copy is at the sidecar when a third one's cancel was answered
    let mut third = cluster.client(1).await?;
    assert_eq!(cancel_unstarted(&mut third).await?, OutcomeCode::NotRun);
    service.set_paused(false);
    assert_eq!(one.await?.expect("answered"), BODY);
    assert_eq!(other.await?.expect("answered"), BODY);
    assert_eq!(service.runs(BODY), 1);
    Ok(())
}

/// reserve an id and cancel it: a round trip to the sidecar
async fn cancel_unstarted(client: &mut Client) -> Result<OutcomeCode> {
    let id = reserve(client).await?;
    cancel(client, &id).await
}

#[tokio::test]
async fn an_entry_killed_after_sending_loses_nothing() -> Result<()> {
    let mut cluster = Cluster::start(one_service()).await?;
    let mut first = cluster.client(0).await?;
    let mut second = cluster.client(1).await?;
    cluster.services[0].service.set_paused(true);
    let id = reserve(&mut first).await?;
    let lost = spawn_call(first, &id, LONG);
    cluster.services[0].service.wait_for_runs(1).await;
    cluster.entries[0].process.kill()?;
    let failure = lost.await?.expect_err("the entry is gone");
    assert_eq!(failure.outcome, Outcome::MayHaveRun);
    cluster.services[0].service.set_paused(false);
    let answer = call_once(&mut second, SERVICE, BODY, &id, LONG).await;
    assert_eq!(answer.expect("answered"), BODY);
    assert_eq!(cluster.services[0].service.runs(BODY), 1);
    Ok(())
}

#[tokio::test]
async fn a_sidecar_frozen_replaced_and_woken_runs_it_at_most_once() -> Result<()> {
    let mut cluster = Cluster::start(one_service()).await?;
    let mut first = cluster.client(0).await?;
    let mut second = cluster.client(1).await?;
    let id = reserve(&mut first).await?;
    cluster.services[0].sidecar.process.pause()?;
    let failure = call_once(&mut first, SERVICE, BODY, &id, SHORT).await;
    assert_eq!(failure.expect_err("frozen").outcome, Outcome::MayHaveRun);
    let old = cluster.replace_service_sidecar(0).await?;
    cluster.services[0].sidecar.wait_ready().await?;
    wait_listed(&cluster, 1).await?;
    let failure = call_once(&mut second, SERVICE, BODY, &id, LONG).await;
    let failure = failure.expect_err("an id of the old process");
    assert_eq!(failure.reason, "EARLIER_INCARNATION");
    assert_eq!(failure.outcome, Outcome::MayHaveRun);
    assert_eq!(cancel(&mut second, &id).await?, OutcomeCode::MayHaveRun);
    old.process.resume()?;
    old.wait_ready().await?;
    let fresh = reserve(&mut second).await?;
    let answer = call_once(&mut second, SERVICE, b"another", &fresh, LONG).await;
    assert_eq!(answer.expect("served by the new process"), b"another");
    assert!(cluster.services[0].service.runs(BODY) <= 1);
    Ok(())
}

#[tokio::test]
async fn a_killed_and_restarted_sidecar_refuses_its_earlier_ids() -> Result<()> {
    let mut cluster = Cluster::start(one_service()).await?;
    let mut client = cluster.client(0).await?;
    cluster.services[0].service.set_paused(true);
    let id = reserve(&mut client).await?;
    let lost = spawn_call(client.clone(), &id, LONG);
    cluster.services[0].service.wait_for_runs(1).await;
    cluster.services[0].sidecar.process.kill()?;
    let failure = lost.await?.expect_err("the sidecar is gone");
    assert_eq!(failure.outcome, Outcome::MayHaveRun);
    cluster.services[0].sidecar.respawn()?;
    cluster.services[0].sidecar.wait_ready().await?;
    cluster.services[0].service.set_paused(false);
    let failure = call_once(&mut client, SERVICE, BODY, &id, LONG).await;
    assert_eq!(failure.expect_err("refused").reason, "EARLIER_INCARNATION");
    assert_eq!(cluster.services[0].service.runs(BODY), 1);
    Ok(())
}

#[tokio::test]
async fn a_cut_that_swallows_the_answer_is_healed_by_a_copy() -> Result<()> {
    for cut in [
        LinkFault::ResponsesLost,
        LinkFault::Blackhole,
        LinkFault::Closed,
    ] {
        let settings = ClusterSettings {
            forward_targets: true,
            ..one_service()
        };
        let cluster = Cluster::start(settings).await?;
        let mut client = cluster.client(0).await?;
        let node = &cluster.services[0];
        let forwarder = node.sidecar.forwarder.as_ref().expect("a forwarder");
        node.service.set_paused(true);
        let id = reserve(&mut client).await?;
        let lost = spawn_call(client.clone(), &id, SHORT);
        node.service.wait_for_runs(1).await;
        forwarder.set_fault(cut);
        node.service.set_paused(false);
        let failure = lost.await?.expect_err("cut off");
        assert_eq!(failure.outcome, Outcome::MayHaveRun, "{cut:?}");
        forwarder.set_fault(LinkFault::None);
        let mut other = cluster.client(1).await?;
        let answer = call_once(&mut other, SERVICE, BODY, &id, LONG).await;
        assert_eq!(answer.expect("answered"), BODY, "{cut:?}");
        assert_eq!(node.service.runs(BODY), 1, "{cut:?}");
    }
    Ok(())
}

#[tokio::test]
async fn a_cancel_before_the_start_keeps_it_from_running() -> Result<()> {
    let cluster = Cluster::start(one_service()).await?;
    let mut client = cluster.client(0).await?;
    let id = reserve(&mut client).await?;
    assert_eq!(cancel(&mut client, &id).await?, OutcomeCode::NotRun);
    let mut other = cluster.client(1).await?;
    let late = call_once(&mut other, SERVICE, BODY, &id, LONG).await;
    assert_eq!(late.expect_err("cancelled").outcome, Outcome::NotRun);
    assert_eq!(cluster.services[0].service.runs(BODY), 0);
    Ok(())
}

#[tokio::test]
async fn a_cancel_after_the_start_does_not_claim_that_it_did_not_run() -> Result<()> {
    let cluster = Cluster::start(one_service()).await?;
    let mut client = cluster.client(0).await?;
    let service = &cluster.services[0].service;
    service.set_paused(true);
    let id = reserve(&mut client).await?;
    let running = spawn_call(client.clone(), &id, LONG);
    service.wait_for_runs(1).await;
    assert_eq!(cancel(&mut client, &id).await?, OutcomeCode::MayHaveRun);
    let failure = running.await?.expect_err("stopped");
    assert_eq!(failure.outcome, Outcome::MayHaveRun);
    assert_eq!(service.runs(BODY), 1);
    Ok(())
}

/// the call reaches the target only after its caller has cancelled it
/// through another entry
#[tokio::test]
async fn an_entry_that_wakes_with_a_call_in_hand_comes_too_late() -> Result<()> {
    let cluster = Cluster::start(one_service()).await?;
    let first = cluster.client(0).await?;
    let mut second = cluster.client(1).await?;
    let id = reserve(&mut second).await?;
    cluster.entries[0].process.pause()?;
    let in_hand = spawn_call(first, &id, LONG);
    assert_eq!(cancel(&mut second, &id).await?, OutcomeCode::NotRun);
    cluster.entries[0].process.resume()?;
    let failure = in_hand.await?.expect_err("cancelled");
    assert_eq!(failure.outcome, Outcome::NotRun, "{failure:?}");
    assert_eq!(cluster.services[0].service.runs(BODY), 0);
    Ok(())
}

#[tokio::test]
async fn a_race_of_calls_and_cancels_keeps_every_word() -> Result<()> {
    const RACES: u32 = 60;
    let cluster = Cluster::start(one_service()).await?;
    let mut first = cluster.client(0).await?;
    let ids = reserve_for_service(&mut first, SERVICE, RACES).await?;
    let mut ledger = AtMostOnceLedger::default();
    let mut races = Vec::new();
    for (number, id) in ids.into_iter().enumerate() {
        let body = format!("race {number}");
        let mut caller = cluster.client(0).await?;
        let mut canceller = cluster.client(1).await?;
        races.push(tokio::spawn(async move {
            let called = call_once(&mut caller, SERVICE, body.as_bytes(), &id, LONG);
            let (called, cancelled) = tokio::join!(called, cancel(&mut canceller, &id));
            (body, called, cancelled)
        }));
    }
    for race in races {
        let (body, called, cancelled) = race.await?;
        if cancelled? == OutcomeCode::NotRun {
            ledger.on_outcome(&body, Outcome::NotRun);
        }
        match called {
            Ok(answer) => ledger.on_response(&body, &answer),
            Err(failure) => ledger.on_outcome(&body, failure.outcome),
        }
    }
    let service = &cluster.services[0].service;
    assert_eq!(ledger.violations(|body| service.runs(body.as_bytes())), []);
    Ok(())
}

#[tokio::test]
async fn the_id_table_at_its_bound_refuses_and_forgets_safely() -> Result<()> {
    let settings = ClusterSettings {
        sidecar_settings: sidecar_settings(json!({ "id_capacity": 10 })),
        ..one_service()
    };
    let cluster = Cluster::start(settings).await?;
    let mut client = cluster.client(0).await?;
    let service = &cluster.services[0].service;
    let ids = reserve_for_service(&mut client, SERVICE, 10).await?;
    let full = reserve_for_service(&mut client, SERVICE, 1).await;
    let full = full.expect_err("no room");
    assert_eq!(full.code(), Code::ResourceExhausted);
    assert!(chalkcart_protocol::status::retry_after_of(&full).is_some());
    for id in &ids[..5] {
        let body = format!("bound {id}");
        let answer = call_once(&mut client, SERVICE, body.as_bytes(), id, LONG).await;
        assert!(answer.is_ok());
    }
    // the answer goes out before the control thread counts the end
    until_async("five ids are free", || async {
        let mut client = client.clone();
        let reserved = reserve_for_service(&mut client, SERVICE, 5).await;
        reserved.is_ok()
    })
    .await;
    let mut other = cluster.client(1).await?;
    for id in &ids[..5] {
        let body = format!("bound {id}");
        // the answer may still be held and be given again; it never runs
        let repeated = call_once(&mut other, SERVICE, body.as_bytes(), id, LONG).await;
        if let Err(failure) = repeated {
            assert_eq!(failure.outcome, Outcome::MayHaveRun);
        }
        assert_eq!(service.runs(body.as_bytes()), 1);
    }
    Ok(())
}

#[tokio::test]
async fn without_a_reserved_id_it_is_refused_and_names_the_field() -> Result<()> {
    let cluster = Cluster::start(one_service()).await?;
    let mut client = cluster.client(0).await?;
    let refused = call_once(&mut client, SERVICE, BODY, "", LONG).await;
    let failure = refused.expect_err("refused");
    assert_eq!(failure.outcome, Outcome::NotRun);
    assert_eq!(failure.status.code(), Code::InvalidArgument);
    assert!(failure.status.message().contains("not_repeatable"));
    assert_eq!(cluster.services[0].service.total_runs(), 0);
    Ok(())
}

#[tokio::test]
async fn a_prompt_under_a_reserved_id_runs_once_though_its_engine_restarts() -> Result<()> {
    let settings = ClusterSettings {
        services: Vec::new(),
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(settings).await?;
    let mut client = cluster.client(0).await?;
    let id = reserve_for_adapter(&mut client, "loan-1", 1)
        .await?
        .remove(0);
    let req = GenerateRequest {
        group: "branches".to_string(),
        class: "counter".to_string(),
        adapter: "loan-1".to_string(),
        version: 1,
        prompt: "read the advance".to_string(),
        max_tokens: 400,
        not_repeatable: true,
        reserved_id: id,
        ..GenerateRequest::default()
    };
    let running = {
        let (mut client, req) = (client.clone(), req.clone());
        tokio::spawn(async move { generate(&mut client, req).await })
    };
    let runs = || -> u32 {
        cluster
            .engines
            .iter()
            .map(|e| e.engine.runs(&req.prompt))
            .sum()
    };
    until("the prompt runs", || runs() > 0).await;
    cluster.engines.iter().for_each(|e| e.engine.restart());
    let failure = running.await?.expect_err("the engine lost it");
    assert_eq!(failure.outcome, Outcome::MayHaveRun);
    let mut other = cluster.client(1).await?;
    let again = generate(&mut other, req.clone()).await;
    assert_ne!(again.expect_err("never again").outcome, Outcome::NotRun);
    assert_eq!(runs(), 1);
    Ok(())
}

/// callers that resend everything unclear through other entries, while
/// entries are killed and the sidecar frozen
#[tokio::test]
async fn resends_under_pairs_of_faults_keep_every_word() -> Result<()> {
    const CALLS: usize = 120;
    let settings = ClusterSettings {
        entries: 3,
        ..one_service()
    };
    let mut cluster = Cluster::start(settings).await?;
    let mut client = cluster.client(0).await?;
    let ids = reserve_for_service(&mut client, SERVICE, CALLS as u32).await?;
    let mut clients = Vec::new();
    for entry in 0..3 {
        clients.push(cluster.client(entry).await?);
    }
    let mut callers = Vec::new();
    for (number, id) in ids.into_iter().enumerate() {
        let clients = clients.clone();
        callers.push(tokio::spawn(async move {
            sleep(Duration::from_millis(20 * number as u64)).await;
            let body = format!("pair {number}");
            let mut words = Vec::new();
            for attempt in 0..4 {
                let mut client = clients[(number + attempt) % clients.len()].clone();
                let called = call_once(&mut client, SERVICE, body.as_bytes(), &id, SHORT).await;
                let is_final = called.is_ok();
                words.push(called);
                if is_final {
                    break;
                }
            }
            (body, words)
        }));
    }
    let service = &cluster.services[0];
    service.service.wait_for_runs(20).await;
    service.sidecar.process.pause()?;
    cluster.entries[0].process.kill()?;
    sleep(Duration::from_millis(1_800)).await;
    cluster.services[0].sidecar.process.resume()?;
    cluster.entries[0].respawn()?;
    cluster.services[0].service.wait_for_runs(60).await;
    cluster.entries[1].process.kill()?;
    let mut ledger = AtMostOnceLedger::default();
    for caller in callers {
        let (body, words) = caller.await?;
        for word in words {
            match word {
                Ok(answer) => ledger.on_response(&body, &answer),
                Err(failure) => ledger.on_outcome(&body, failure.outcome),
            }
        }
    }
    let service = &cluster.services[0].service;
    assert_eq!(ledger.violations(|body| service.runs(body.as_bytes())), []);
    assert!(ledger.response_count() > 0);
    Ok(())
}

#[test]
fn the_ledger_catches_one_planted_fault_of_each_kind() {
    let mut ledger = AtMostOnceLedger::default();
    ledger.on_response("doubled", b"doubled");
    ledger.on_outcome("said not run", Outcome::NotRun);
    ledger.on_response("never ran", b"never ran");
    ledger.on_response("mixed up", b"another");
    ledger.on_response("good", b"good");
    let runs = HashMap::from([
        ("doubled", 2),
        ("said not run", 1),
        ("mixed up", 1),
        ("good", 1),
    ]);
    let found = ledger.violations(|body| runs.get(body).copied().unwrap_or(0));
    let text = |body: &str| body.to_string();
    let expected = [
        Violation::RanTwice {
            body: text("doubled"),
            runs: 2,
        },
        Violation::WrongResponse {
            body: text("mixed up"),
        },
        Violation::ResponseWithoutRun {
            body: text("never ran"),
        },
        Violation::RanDespiteNotRun {
            body: text("said not run"),
        },
    ];
    assert_eq!(found, expected);
}
