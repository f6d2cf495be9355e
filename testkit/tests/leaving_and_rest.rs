//! Back ends that leave, which some announce in response headers, or request back-off.
//!
//! Guards against: requests sent to a back end after it has announced that it is leaving or has
//! left the store, or during the back-off that it has requested.

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{
            prompt, request, send_with_retries, serve_prompt, BackendFault, BackendStandIn,
            ClientRequest, Fleet, FleetSettings, RetryingClients, StoreFault,
        },
        waiting::until,
    },
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Time after which a leaving back end receives no requests.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Time in which an entry notices that the store does not respond.
const STORE_OUTAGE: Duration = Duration::from_millis(3_000);
/// Time for the requested back-off to reach the caller.
const SIGNAL_DELAY: Duration = Duration::from_millis(500);
/// Probes that a back end may receive during its back-off.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;
const BACKOFF: Duration = Duration::from_millis(1_500);
/// More requests than fit into the back-off.
const REQUESTS: u32 = 60;

async fn engines(engines: u8) -> Result<Fleet> {
    Fleet::start(FleetSettings {
        engines,
        ..FleetSettings::default()
    })
    .await
}

async fn plain(plain: u8) -> Result<Fleet> {
    Fleet::start(FleetSettings {
        plain,
        ..FleetSettings::default()
    })
    .await
}

fn safe_request(id: &str) -> ClientRequest {
    ClientRequest {
        target: "/safe/".to_string(),
        id: id.to_string(),
        ..ClientRequest::default()
    }
}

/// Returns a load of steady requests that honor `Retry-After`.
fn steady_load(retries: u32) -> RetryingClients {
    RetryingClients {
        requests: REQUESTS,
        gap: Duration::from_millis(50),
        retries,
        should_honor_retry_after: true,
        should_retry_closed: false,
    }
}

/// Returns the engine that ran a request.
fn engine_that_ran<'f>(fleet: &'f Fleet, id: &str) -> &'f BackendStandIn {
    let mut all = fleet.engines.iter();
    let found = all.find(|e| e.runs().iter().any(|run| run.request == id));
    found.expect("an engine ran it")
}

/// Returns the ids of requests that arrived at a back end after an instant.
fn arrivals_since(backend: &BackendStandIn, at: Instant) -> Vec<String> {
    let state = backend.state();
    let since = state
        .arrivals
        .iter()
        .filter(|(arrived_at, _)| *arrived_at > at);
    since.map(|(_, id)| id.clone()).collect()
}

/// The store is unresponsive, so the list still has the engine as ready.
#[tokio::test]
async fn an_engine_that_announces_leaving_receives_no_more_requests() -> Result<()> {
    let fleet = engines(2).await?;
    serve_prompt(&fleet, "a", "first").await?;
    fleet.store.set_fault(StoreFault::Unresponsive);
    let leaving = engine_that_ran(&fleet, "first");
    leaving.state().is_leaving = true;
    let response = serve_prompt(&fleet, "a", "told").await?;
    assert_eq!(response.head.get("server-leaving"), Some("1"));
    let announced_at = Instant::now();
    sleep(DRAIN_TIME).await;
    for number in 0..4 {
        let response = serve_prompt(&fleet, "a", &format!("after-{number}")).await?;
        assert_eq!(response.status, 200);
    }
    assert_eq!(
        arrivals_since(leaving, announced_at + DRAIN_TIME),
        Vec::<String>::new()
    );
    Ok(())
}

/// The back end's record in the store is changed, deleted and published again as `ready`.
#[tokio::test]
async fn a_record_in_the_store_does_not_revoke_the_leaving_signal() -> Result<()> {
    let fleet = plain(2).await?;
    fleet.plain[0].state().is_leaving = true;
    let mut announced = false;
    for number in 0..REQUESTS {
        let response = request(fleet.clients, &safe_request(&format!("before-{number}"))).await?;
        announced |= response.head.get("server-leaving").is_some();
        if announced {
            break;
        }
    }
    assert!(
        announced,
        "no response announced that its back end is leaving"
    );
    let at = Instant::now();
    fleet.publish_plain(0, "draining");
    sleep(DRAIN_TIME / 4).await;
    fleet
        .store
        .delete(&format!("servers/{}", fleet.plain[0].id()));
    sleep(DRAIN_TIME / 2).await;
    fleet.publish_plain(0, "ready");
    sleep(DRAIN_TIME / 2).await;
    for number in 0..REQUESTS {
        let response = request(fleet.clients, &safe_request(&format!("after-{number}"))).await?;
        assert_eq!(response.status, 200);
    }
    assert_eq!(
        arrivals_since(&fleet.plain[0], at + DRAIN_TIME),
        Vec::<String>::new()
    );
    Ok(())
}

/// Guards against requests to the last server of a service after it left without a word.
#[tokio::test]
async fn the_last_server_receives_no_more_requests_once_it_has_left() -> Result<()> {
    let fleet = plain(1).await?;
    let served = request(fleet.clients, &safe_request("before")).await?;
    assert_eq!(served.status, 200);
    let at = Instant::now();
    fleet
        .store
        .delete(&format!("servers/{}", fleet.plain[0].id()));
    sleep(DRAIN_TIME).await;
    for number in 0..4 {
        let rejected = request(fleet.clients, &safe_request(&format!("after-{number}"))).await?;
        assert_eq!(rejected.status, 503);
        assert!(rejected.head.get("retry-after").is_some());
    }
    assert_eq!(
        arrivals_since(&fleet.plain[0], at + DRAIN_TIME),
        Vec::<String>::new()
    );
    Ok(())
}

/// The store drops the records of servers that it could not hear.
#[tokio::test]
async fn servers_whose_records_lapsed_while_the_store_was_away_serve_on() -> Result<()> {
    let fleet = plain(2).await?;
    fleet.store.set_fault(StoreFault::Unresponsive);
    sleep(STORE_OUTAGE).await;
    for server in &fleet.plain {
        fleet.store.delete(&format!("servers/{}", server.id()));
    }
    fleet.store.set_fault(StoreFault::None);
    for number in 0..10 {
        let response = request(fleet.clients, &safe_request(&format!("after-{number}"))).await?;
        assert_eq!(response.status, 200);
        sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

/// Another replica of the service has capacity.
#[tokio::test]
async fn requests_are_withheld_during_the_backoff_of_a_back_end() -> Result<()> {
    let fleet = plain(2).await?;
    let backing_off = &fleet.plain[0];
    backing_off.state().requested_backoff = Some(BACKOFF);
    backing_off.set_fault(BackendFault::Overloaded, u32::MAX);
    let load = steady_load(0);
    let histories = send_with_retries(fleet.clients, &safe_request("pressed"), &load).await?;
    let state = backing_off.state();
    assert!(!state.backoffs.is_empty());
    let max_requests = state.max_requests_in_backoff(SIGNAL_DELAY);
    assert!(
        max_requests <= MAX_REQUESTS_IN_BACKOFF,
        "{max_requests} requests arrived during a back-off"
    );
    let mut responses = histories.iter().flat_map(|s| &s.responses);
    assert!(responses.all(|response| response.status == 200));
    Ok(())
}

/// Prompts for an adapter that only this engine has loaded are served elsewhere.
#[tokio::test]
async fn prompts_are_withheld_during_the_backoff_of_an_engine() -> Result<()> {
    let fleet = engines(2).await?;
    serve_prompt(&fleet, "a", "first").await?;
    let backing_off = engine_that_ran(&fleet, "first");
    backing_off.state().requested_backoff = Some(BACKOFF);
    backing_off.set_fault(BackendFault::Overloaded, u32::MAX);
    let load = steady_load(3);
    let histories = send_with_retries(fleet.clients, &prompt("a", "pressed"), &load).await?;
    let state = backing_off.state();
    assert!(!state.backoffs.is_empty());
    let max_requests = state.max_requests_in_backoff(SIGNAL_DELAY);
    assert!(
        max_requests <= MAX_REQUESTS_IN_BACKOFF,
        "{max_requests} requests arrived during a back-off"
    );
    let last = histories.iter().filter_map(|s| s.responses.last());
    let served = last.filter(|a| a.status == 200).count();
    assert!(served * 2 > histories.len(), "{served} served");
    Ok(())
}

/// No other replica can serve, so requests are rejected.
#[tokio::test]
async fn requests_are_rejected_during_the_backoff_of_the_only_replica() -> Result<()> {
    let fleet = plain(1).await?;
    let backing_off = &fleet.plain[0];
    backing_off.state().requested_backoff = Some(BACKOFF);
    backing_off.set_fault(BackendFault::Overloaded, u32::MAX);
    let load = steady_load(0);
    let histories = send_with_retries(fleet.clients, &safe_request("pressed"), &load).await?;
    let max_requests = backing_off.state().max_requests_in_backoff(SIGNAL_DELAY);
    assert!(
        max_requests <= MAX_REQUESTS_IN_BACKOFF,
        "{max_requests} requests arrived during a back-off"
    );
    let responses = histories.iter().flat_map(|s| &s.responses);
    assert!(responses.clone().all(|a| a.status == 503));
    Ok(())
}

#[tokio::test]
async fn a_back_end_is_used_again_after_its_backoff() -> Result<()> {
    let fleet = plain(1).await?;
    let backing_off = &fleet.plain[0];
    backing_off.state().requested_backoff = Some(BACKOFF);
    backing_off.set_fault(BackendFault::Overloaded, 1);
    request(fleet.clients, &safe_request("shed")).await?;
    sleep(BACKOFF).await;
    let response = request(fleet.clients, &safe_request("after")).await?;
    assert_eq!(response.status, 200);
    Ok(())
}

/// The sidecar sends the engine orders, status reads and identification requests.
#[tokio::test]
async fn a_sidecar_honors_the_backoff_of_an_engine_that_rejects_orders() -> Result<()> {
    let fleet = engines(2).await?;
    for engine in &fleet.engines {
        let mut state = engine.state();
        state.requested_backoff = Some(BACKOFF);
        state.should_reject_orders = true;
    }
    // each prompt demands an adapter that no engine has loaded
    for number in 0..4 {
        let sent = ClientRequest {
            deadline_ms: 300,
            ..prompt(&format!("a{number}"), &format!("p-{number}"))
        };
        request(fleet.clients, &sent).await?;
    }
    sleep(BACKOFF * 2).await;
    let backoffs: usize = fleet.engines.iter().map(|e| e.state().backoffs.len()).sum();
    assert!(backoffs > 0, "no order arrived");
    for engine in &fleet.engines {
        let max_requests = engine.state().max_requests_in_backoff(SIGNAL_DELAY);
        assert!(
            max_requests <= MAX_REQUESTS_IN_BACKOFF,
            "{max_requests} calls arrived during a back-off"
        );
    }
    Ok(())
}

/// The sidecar reads the signal and reports it to an entry that has seen no such response.
#[tokio::test]
async fn an_entry_learns_from_the_sidecar_that_an_engine_is_leaving() -> Result<()> {
    let fleet = engines(2).await?;
    serve_prompt(&fleet, "a", "first").await?;
    fleet.store.set_fault(StoreFault::Unresponsive);
    let leaving = engine_that_ran(&fleet, "first");
    leaving.state().is_leaving = true;
    sleep(DRAIN_TIME).await;
    let announced_at = Instant::now();
    for number in 0..4 {
        let response = serve_prompt(&fleet, "a", &format!("after-{number}")).await?;
        assert_eq!(response.status, 200);
    }
    assert_eq!(arrivals_since(leaving, announced_at), Vec::<String>::new());
    Ok(())
}

/// Guards against: signals of a replaced engine that are not logged because its predecessor
/// sent the same ones.
#[tokio::test]
async fn each_engine_that_is_leaving_is_logged_by_its_sidecar() -> Result<()> {
    let fleet = engines(1).await?;
    let lines = |log: String| log.matches("signals received").count();
    let engine = &fleet.engines[0];
    for incarnation in 1..=2 {
        let identified_line = format!("identified as Some(\\\"{}\\\")", engine.id());
        until("the sidecar has identified it", || {
            fleet.sidecar_log(0).contains(&identified_line)
        })
        .await;
        engine.state().is_leaving = true;
        until("its signal is logged", || {
            lines(fleet.sidecar_log(0)) == incarnation
        })
        .await;
        let mut state = engine.state();
        state.is_leaving = false;
        state.crash();
    }
    Ok(())
}
