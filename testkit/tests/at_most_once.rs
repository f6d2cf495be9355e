//! Requests under a reserved id run at most once, and `NOT_RUN` is never reported for a request
//! that ran, while real processes are killed, paused, disconnected and replaced.

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
const LONG_TIMEOUT_MS: u32 = 10_000;
const SHORT_TIMEOUT_MS: u32 = 1_500;

type Client = InferenceClient<Channel>;
type CallResult = Result<Vec<u8>, Box<Failure>>;

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

fn spawn_call(mut client: Client, id: &str, timeout_ms: u32) -> JoinHandle<CallResult> {
    let id = id.to_string();
    tokio::spawn(async move { call_once(&mut client, SERVICE, BODY, &id, timeout_ms).await })
}

async fn cancel(client: &mut Client, id: &str) -> Result<OutcomeCode> {
    let req = CancelRequest {
        reserved_id: id.to_string(),
    };
    Ok(client.cancel(req).await?.into_inner().outcome())
}

/// Waits until an entry has the platform's current list.
async fn wait_for_current_list(cluster: &Cluster, entry: usize) -> Result<()> {
    let version = cluster.platform.list().version;
    let list_line = format!("fleet: list {version} ");
    until(&list_line, || cluster.entries[entry].has_logged(&list_line)).await;
    Ok(())
}

#[tokio::test]
async fn a_duplicate_call_through_another_entry_joins_the_first() -> Result<()> {
    let cluster = Cluster::start(one_service()).await?;
    let (mut first, second) = (cluster.client(0).await?, cluster.client(1).await?);
    let service = &cluster.services[0].service;
    service.set_paused(true);
    let id = reserve(&mut first).await?;
    let original = spawn_call(first, &id, LONG_TIMEOUT_MS);
    service.wait_for_runs(1).await;
    let other = spawn_call(second, &id, LONG_TIMEOUT_MS);
    // this response shows that the sidecar has also received the copy
    let mut third = cluster.client(1).await?;
    assert_eq!(cancel_unstarted(&mut third).await?, OutcomeCode::NotRun);
    service.set_paused(false);
    assert_eq!(original.await?.expect("a response"), BODY);
    assert_eq!(other.await?.expect("a response"), BODY);
    assert_eq!(service.runs(BODY), 1);
    Ok(())
}

/// Reserves an id and cancels it, which is a round trip to the sidecar.
async fn cancel_unstarted(client: &mut Client) -> Result<OutcomeCode> {
    let id = reserve(client).await?;
    cancel(client, &id).await
}

#[tokio::test]
async fn a_call_runs_once_when_the_entry_that_sent_it_is_killed() -> Result<()> {
    let mut cluster = Cluster::start(one_service()).await?;
    let mut first = cluster.client(0).await?;
    let mut second = cluster.client(1).await?;
    cluster.services[0].service.set_paused(true);
    let id = reserve(&mut first).await?;
    let interrupted = spawn_call(first, &id, LONG_TIMEOUT_MS);
    cluster.services[0].service.wait_for_runs(1).await;
    cluster.entries[0].process.kill()?;
    let failure = interrupted.await?.expect_err("the entry was killed");
    assert_eq!(failure.outcome, Outcome::MayHaveRun);
    cluster.services[0].service.set_paused(false);
    let response = call_once(&mut second, SERVICE, BODY, &id, LONG_TIMEOUT_MS).await;
    assert_eq!(response.expect("a response"), BODY);
    assert_eq!(cluster.services[0].service.runs(BODY), 1);
    Ok(())
}

#[tokio::test]
async fn a_sidecar_paused_replaced_and_resumed_runs_a_call_at_most_once() -> Result<()> {
    let mut cluster = Cluster::start(one_service()).await?;
    let mut first = cluster.client(0).await?;
    let mut second = cluster.client(1).await?;
    let id = reserve(&mut first).await?;
    cluster.services[0].sidecar.process.pause()?;
    let failure = call_once(&mut first, SERVICE, BODY, &id, SHORT_TIMEOUT_MS).await;
    assert_eq!(
        failure.expect_err("the sidecar is paused").outcome,
        Outcome::MayHaveRun
    );
    let old = cluster.replace_service_sidecar(0).await?;
    cluster.services[0].sidecar.wait_ready().await?;
    wait_for_current_list(&cluster, 1).await?;
    let failure = call_once(&mut second, SERVICE, BODY, &id, LONG_TIMEOUT_MS).await;
    let failure = failure.expect_err("the id belongs to the old process");
    assert_eq!(failure.reason, "EARLIER_INCARNATION");
    assert_eq!(failure.outcome, Outcome::MayHaveRun);
    assert_eq!(cancel(&mut second, &id).await?, OutcomeCode::MayHaveRun);
    old.process.resume()?;
    old.wait_ready().await?;
    let fresh = reserve(&mut second).await?;
    let response = call_once(&mut second, SERVICE, b"another", &fresh, LONG_TIMEOUT_MS).await;
    assert_eq!(response.expect("served by the new process"), b"another");
    assert!(cluster.services[0].service.runs(BODY) <= 1);
    Ok(())
}

#[tokio::test]
async fn a_restarted_sidecar_rejects_ids_of_its_earlier_incarnation() -> Result<()> {
    let mut cluster = Cluster::start(one_service()).await?;
    let mut client = cluster.client(0).await?;
    cluster.services[0].service.set_paused(true);
    let id = reserve(&mut client).await?;
    let interrupted = spawn_call(client.clone(), &id, LONG_TIMEOUT_MS);
    cluster.services[0].service.wait_for_runs(1).await;
    cluster.services[0].sidecar.process.kill()?;
    let failure = interrupted.await?.expect_err("the sidecar was killed");
    assert_eq!(failure.outcome, Outcome::MayHaveRun);
    cluster.services[0].sidecar.respawn()?;
    cluster.services[0].sidecar.wait_ready().await?;
    cluster.services[0].service.set_paused(false);
    let failure = call_once(&mut client, SERVICE, BODY, &id, LONG_TIMEOUT_MS).await;
    assert_eq!(failure.expect_err("rejected").reason, "EARLIER_INCARNATION");
    assert_eq!(cluster.services[0].service.runs(BODY), 1);
    Ok(())
}

#[tokio::test]
async fn a_duplicate_call_returns_the_response_that_a_link_fault_lost() -> Result<()> {
    for fault in [
        LinkFault::ResponsesLost,
        LinkFault::Blackhole,
        LinkFault::Closed,
    ] {
        let settings = ClusterSettings {
            has_target_forwarders: true,
            ..one_service()
        };
        let cluster = Cluster::start(settings).await?;
        let mut client = cluster.client(0).await?;
        let node = &cluster.services[0];
        let forwarder = node.sidecar.forwarder.as_ref().expect("a forwarder");
        node.service.set_paused(true);
        let id = reserve(&mut client).await?;
        let interrupted = spawn_call(client.clone(), &id, SHORT_TIMEOUT_MS);
        node.service.wait_for_runs(1).await;
        forwarder.set_fault(fault);
        node.service.set_paused(false);
        let failure = interrupted.await?.expect_err("the link is down");
        assert_eq!(failure.outcome, Outcome::MayHaveRun, "{fault:?}");
        forwarder.set_fault(LinkFault::None);
        let mut other = cluster.client(1).await?;
        let response = call_once(&mut other, SERVICE, BODY, &id, LONG_TIMEOUT_MS).await;
        assert_eq!(response.expect("a response"), BODY, "{fault:?}");
        assert_eq!(node.service.runs(BODY), 1, "{fault:?}");
    }
    Ok(())
}

#[tokio::test]
async fn a_cancel_before_the_start_prevents_the_run() -> Result<()> {
    let cluster = Cluster::start(one_service()).await?;
    let mut client = cluster.client(0).await?;
    let id = reserve(&mut client).await?;
    assert_eq!(cancel(&mut client, &id).await?, OutcomeCode::NotRun);
    let mut other = cluster.client(1).await?;
    let late_call = call_once(&mut other, SERVICE, BODY, &id, LONG_TIMEOUT_MS).await;
    assert_eq!(late_call.expect_err("cancelled").outcome, Outcome::NotRun);
    assert_eq!(cluster.services[0].service.runs(BODY), 0);
    Ok(())
}

#[tokio::test]
async fn a_cancel_after_the_start_reports_that_it_may_have_run() -> Result<()> {
    let cluster = Cluster::start(one_service()).await?;
    let mut client = cluster.client(0).await?;
    let service = &cluster.services[0].service;
    service.set_paused(true);
    let id = reserve(&mut client).await?;
    let running = spawn_call(client.clone(), &id, LONG_TIMEOUT_MS);
    service.wait_for_runs(1).await;
    assert_eq!(cancel(&mut client, &id).await?, OutcomeCode::MayHaveRun);
    let failure = running.await?.expect_err("stopped");
    assert_eq!(failure.outcome, Outcome::MayHaveRun);
    assert_eq!(service.runs(BODY), 1);
    Ok(())
}

/// The call reaches the target only after its caller has cancelled it through another entry.
#[tokio::test]
async fn a_call_that_a_resumed_entry_sends_after_its_cancel_does_not_run() -> Result<()> {
    let cluster = Cluster::start(one_service()).await?;
    let first = cluster.client(0).await?;
    let mut second = cluster.client(1).await?;
    let id = reserve(&mut second).await?;
    cluster.entries[0].process.pause()?;
    let delayed = spawn_call(first, &id, LONG_TIMEOUT_MS);
    assert_eq!(cancel(&mut second, &id).await?, OutcomeCode::NotRun);
    cluster.entries[0].process.resume()?;
    let failure = delayed.await?.expect_err("cancelled");
    assert_eq!(failure.outcome, Outcome::NotRun, "{failure:?}");
    assert_eq!(cluster.services[0].service.runs(BODY), 0);
    Ok(())
}

#[tokio::test]
async fn concurrent_calls_and_cancels_report_true_outcomes() -> Result<()> {
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
            let called = call_once(&mut caller, SERVICE, body.as_bytes(), &id, LONG_TIMEOUT_MS);
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
            Ok(response) => ledger.on_response(&body, &response),
            Err(failure) => ledger.on_outcome(&body, failure.outcome),
        }
    }
    let service = &cluster.services[0].service;
    assert_eq!(ledger.violations(|body| service.runs(body.as_bytes())), []);
    Ok(())
}

#[tokio::test]
async fn a_full_id_table_rejects_reservations_and_never_reruns_evicted_ids() -> Result<()> {
    let settings = ClusterSettings {
        sidecar_settings: sidecar_settings(json!({ "id_capacity": 10 })),
        ..one_service()
    };
    let cluster = Cluster::start(settings).await?;
    let mut client = cluster.client(0).await?;
    let service = &cluster.services[0].service;
    let ids = reserve_for_service(&mut client, SERVICE, 10).await?;
    let full = reserve_for_service(&mut client, SERVICE, 1).await;
    let full = full.expect_err("the id table is full");
    assert_eq!(full.code(), Code::ResourceExhausted);
    assert!(chalkcart_protocol::status::retry_after_of(&full).is_some());
    for id in &ids[..5] {
        let body = format!("bound {id}");
        let response = call_once(&mut client, SERVICE, body.as_bytes(), id, LONG_TIMEOUT_MS).await;
        assert!(response.is_ok());
    }
    // the response is sent before the control thread frees the id
    until_async("five ids can be reserved", || async {
        let mut client = client.clone();
        let reserved = reserve_for_service(&mut client, SERVICE, 5).await;
        reserved.is_ok()
    })
    .await;
    let mut other = cluster.client(1).await?;
    for id in &ids[..5] {
        let body = format!("bound {id}");
        // the stored response may be sent again, but the request doesn't run again
        let repeated = call_once(&mut other, SERVICE, body.as_bytes(), id, LONG_TIMEOUT_MS).await;
        if let Err(failure) = repeated {
            assert_eq!(failure.outcome, Outcome::MayHaveRun);
        }
        assert_eq!(service.runs(body.as_bytes()), 1);
    }
    Ok(())
}

#[tokio::test]
async fn a_call_without_a_reserved_id_is_rejected_naming_the_field() -> Result<()> {
    let cluster = Cluster::start(one_service()).await?;
    let mut client = cluster.client(0).await?;
    let rejected = call_once(&mut client, SERVICE, BODY, "", LONG_TIMEOUT_MS).await;
    let failure = rejected.expect_err("rejected");
    assert_eq!(failure.outcome, Outcome::NotRun);
    assert_eq!(failure.status.code(), Code::InvalidArgument);
    assert!(failure.status.message().contains("not_repeatable"));
    assert_eq!(cluster.services[0].service.total_runs(), 0);
    Ok(())
}

#[tokio::test]
async fn a_prompt_under_a_reserved_id_runs_once_when_its_engine_restarts() -> Result<()> {
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
    let failure = running.await?.expect_err("the engine restarted");
    assert_eq!(failure.outcome, Outcome::MayHaveRun);
    let mut other = cluster.client(1).await?;
    let again = generate(&mut other, req.clone()).await;
    assert_ne!(
        again.expect_err("the id has already run").outcome,
        Outcome::NotRun
    );
    assert_eq!(runs(), 1);
    Ok(())
}

/// Callers retry all requests without a response through other entries, while entries are
/// killed and the sidecar is paused.
#[tokio::test]
async fn retries_during_overlapping_faults_report_true_outcomes() -> Result<()> {
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
            let mut results = Vec::new();
            for attempt in 0..4 {
                let mut client = clients[(number + attempt) % clients.len()].clone();
                let called =
                    call_once(&mut client, SERVICE, body.as_bytes(), &id, SHORT_TIMEOUT_MS).await;
                let is_final = called.is_ok();
                results.push(called);
                if is_final {
                    break;
                }
            }
            (body, results)
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
        let (body, results) = caller.await?;
        for result in results {
            match result {
                Ok(response) => ledger.on_response(&body, &response),
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
fn the_ledger_reports_each_kind_of_violation() {
    let mut ledger = AtMostOnceLedger::default();
    ledger.on_response("duplicated", b"duplicated");
    ledger.on_outcome("reported not run", Outcome::NotRun);
    ledger.on_response("never ran", b"never ran");
    ledger.on_response("mismatched", b"another");
    ledger.on_response("good", b"good");
    let runs = HashMap::from([
        ("duplicated", 2),
        ("reported not run", 1),
        ("mismatched", 1),
        ("good", 1),
    ]);
    let found = ledger.violations(|body| runs.get(body).copied().unwrap_or(0));
    let owned = |body: &str| body.to_string();
    let expected = [
        Violation::RanTwice {
            body: owned("duplicated"),
            runs: 2,
        },
        Violation::WrongResponse {
            body: owned("mismatched"),
        },
        Violation::ResponseWithoutRun {
            body: owned("never ran"),
        },
        Violation::RanDespiteNotRun {
            body: owned("reported not run"),
        },
    ];
    assert_eq!(found, expected);
}
