//! Requests that crash every engine that runs them.
//!
//! Guards against: the same content, retried under new request ids at any entry, crashing one
//! engine after the other.

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{
            metrics_text, prompt, request, BackendFault, ClientRequest, Fleet, FleetSettings,
        },
        waiting::until_async,
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

const CRASHING_BODY: &[u8] = b"ends each engine that runs it";
const ATTEMPTS: u32 = 14;
/// Crashes before a request is blocked, plus attempts sent before all entries know it.
const MAX_CRASHES: u32 = 3 + 3;

async fn start(engines: u8) -> Result<Fleet> {
    let fleet = Fleet::start(FleetSettings {
        engines,
        ..FleetSettings::default()
    })
    .await?;
    for engine in &fleet.engines {
        engine.state().crash_body = Some(CRASHING_BODY.to_vec());
    }
    Ok(fleet)
}

fn prompt_with_body(id: &str, body: &[u8]) -> ClientRequest {
    ClientRequest {
        body: body.to_vec(),
        ..prompt("a", id)
    }
}

fn crashes(fleet: &Fleet) -> u32 {
    fleet.engines.iter().map(|e| e.state().crashes).sum()
}

/// Waits until a prompt that doesn't crash engines is served.
async fn wait_until_served(entry: SocketAddr) {
    until_async("another prompt is served", || async {
        let response = request(entry, &prompt_with_body("other", b"another prompt")).await;
        response.is_ok_and(|response| response.status == 200 && response.is_complete)
    })
    .await;
}

/// Returns the status of one attempt, or `None` if its response was truncated.
async fn send_crashing_request(entry: SocketAddr, number: u32) -> Option<u16> {
    let id = format!("crashing-{number}");
    let response = request(entry, &prompt_with_body(&id, CRASHING_BODY)).await;
    let response = response.ok().filter(|response| response.is_complete)?;
    Some(response.status)
}

/// The request is retried under other ids at both entries.
#[tokio::test]
async fn a_request_that_crashes_engines_is_soon_blocked() -> Result<()> {
    let fleet = start(4).await?;
    let other = fleet.start_other_ingress("front-2").await?;
    let mut last_status = None;
    for number in 0..ATTEMPTS {
        let entry = [fleet.clients, other.clients][number as usize % 2];
        last_status = send_crashing_request(entry, number).await;
        wait_until_served(entry).await;
    }
    let crashes = crashes(&fleet);
    assert!(crashes <= MAX_CRASHES, "{crashes} engines crashed");
    // a final status that doesn't invite a retry
    assert_eq!(last_status, Some(400));
    Ok(())
}

/// Retries the crashing request until each of these entries blocks it.
async fn wait_until_blocked(entries: &[SocketAddr]) {
    for entry in entries {
        until_async("it is blocked", || async {
            send_crashing_request(*entry, 0).await == Some(400)
        })
        .await;
    }
}

/// Requests that run beside the crashing one, before and after, are served.
#[tokio::test]
async fn requests_beside_a_crashing_one_are_served() -> Result<()> {
    let fleet = start(3).await?;
    for engine in &fleet.engines {
        let mut state = engine.state();
        (state.event_count, state.event_interval) = (40, Duration::from_millis(10));
    }
    let mut truncated = 0;
    for number in 0..5 {
        let id = format!("beside-{number}");
        let concurrent = prompt_with_body(&id, b"stands beside it");
        let (concurrent, _) = tokio::join!(
            request(fleet.clients, &concurrent),
            send_crashing_request(fleet.clients, number),
        );
        // it may be truncated or time out, but must not be blocked
        let status = concurrent.map_or(0, |response| response.status);
        truncated += u32::from(status == 0);
        assert_ne!(status, 400, "after {truncated} truncated responses");
        wait_until_served(fleet.clients).await;
    }
    let concurrent = prompt_with_body("beside-last", b"stands beside it");
    until_async("it is served", || async {
        let response = request(fleet.clients, &concurrent).await;
        response.is_ok_and(|response| response.status == 200 && response.is_complete)
    })
    .await;
    Ok(())
}

/// Neither entries nor sidecars persist the crash registry; each restores it from the other.
#[tokio::test]
async fn the_crash_registry_survives_restarts_of_entries_and_then_sidecars() -> Result<()> {
    let mut fleet = start(3).await?;
    let other = fleet.start_other_ingress("front-2").await?;
    wait_until_blocked(&[fleet.clients, other.clients]).await;
    let crashes_before = crashes(&fleet);
    // a restarted entry receives it from sidecars
    fleet.ingress.kill()?;
    fleet.restart_ingress()?;
    fleet.wait_ready().await;
    wait_until_registered(&fleet, 1).await;
    assert_eq!(send_crashing_request(fleet.clients, 100).await, Some(400));
    // restarted sidecars receive it from entries and report it to a new entry
    for number in 0..3u8 {
        fleet.sidecars[usize::from(number)].kill()?;
        fleet.sidecars[usize::from(number)] = fleet.start_sidecar(number)?;
    }
    wait_until_served(other.clients).await;
    let third = fleet.start_other_ingress("front-3").await?;
    until_async("the third entry has received it", || async {
        registered_requests(third.metrics).await >= 1
    })
    .await;
    assert_eq!(send_crashing_request(third.clients, 101).await, Some(400));
    assert_eq!(crashes(&fleet), crashes_before);
    Ok(())
}

/// The list still has the incarnations from before the crashes. Only a demand makes a restarted
/// sidecar identify its engine.
#[tokio::test]
async fn restarted_sidecars_receive_demands_for_engines_that_the_list_lacks() -> Result<()> {
    let mut fleet = start(3).await?;
    wait_until_blocked(&[fleet.clients]).await;
    assert!(crashes(&fleet) >= 3, "each engine has restarted");
    // the sidecars report the new incarnations
    sleep(Duration::from_secs(1)).await;
    for number in 0..3u8 {
        fleet.sidecars[usize::from(number)].kill()?;
        fleet.sidecars[usize::from(number)] = fleet.start_sidecar(number)?;
    }
    wait_until_served(fleet.clients).await;
    Ok(())
}

async fn wait_until_registered(fleet: &Fleet, expected: u64) {
    until_async("the entry has received it", || async {
        registered_requests(fleet.metrics).await >= expected
    })
    .await;
}

/// Returns the size of an entry's crash registry in requests, from its metrics page.
async fn registered_requests(metrics: SocketAddr) -> u64 {
    let text = metrics_text(metrics).await;
    let mut rows = text
        .lines()
        .filter_map(|line| line.strip_prefix("chalkcart_ingress_crashing_remembered "));
    rows.next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Connection resets and truncated responses don't prove that an engine crashed.
#[tokio::test]
async fn truncated_responses_block_no_request() -> Result<()> {
    let fleet = start(2).await?;
    wait_until_served(fleet.clients).await;
    for fault in [
        BackendFault::CloseBeforeResponse,
        BackendFault::TruncateBody,
    ] {
        for number in 0..6 {
            for engine in &fleet.engines {
                engine.set_fault(fault, 1);
            }
            let id = format!("broken-{number}");
            let response = request(fleet.clients, &prompt_with_body(&id, b"breaks off")).await;
            assert!(response.is_ok_and(|a| a.status != 400));
        }
    }
    for engine in &fleet.engines {
        engine.set_fault(BackendFault::None, 0);
    }
    let truncated_before = prompt_with_body("whole", b"breaks off");
    until_async("it is served", || async {
        let response = request(fleet.clients, &truncated_before).await;
        response.is_ok_and(|response| response.status == 200 && response.is_complete)
    })
    .await;
    assert!(!fleet.log().contains("engine ended"));
    Ok(())
}
