//! Guards against requests that many clients send alike and that are refused for good, as answers to
//! some of them were lost around an outage of the store (review/8).

use {
    anyhow::{bail, Result},
    chalkcart_testkit::{
        users_platform::{
            prompt, request, serve_prompt, BackendFault, ClientRequest, ClientResponse, Fleet,
            FleetSettings, StoreFault,
        },
        waiting::until_async,
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

const SERVERS: u8 = 5;
/// Servers that lose answers for a while.
const LOSING: usize = 3;
const STORE_OUTAGE: Duration = Duration::from_millis(2_500);
/// Time after the store's return in which the lapsed records are written again.
const RETURN_TIME: Duration = Duration::from_millis(1_300);

/// Many more than end engines before a request is blocked.
const MAX_TRIES: u32 = 60;

/// What all clients send: one content under different ids.
fn equal_request(id: String) -> ClientRequest {
    ClientRequest {
        target: "/safe/table".to_string(),
        id,
        ..ClientRequest::default()
    }
}

/// Returns the statuses of so many requests to each entry.
async fn statuses(entries: &[SocketAddr], count: u32, label: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..count {
        for (entry, addr) in entries.iter().enumerate() {
            let sent = equal_request(format!("{label}-{entry}-{number}"));
            let response = request(*addr, &sent).await;
            statuses.push(response.map_or(0, |response| response.status));
        }
    }
    statuses
}

#[tokio::test]
async fn equal_requests_are_served_after_an_outage_of_the_store_with_lost_answers() -> Result<()> {
    let fleet = Fleet::start(FleetSettings {
        plain: SERVERS,
        ..FleetSettings::default()
    })
    .await?;
    let other = fleet.start_other_ingress("front-2").await?;
    let entries = [fleet.clients, other.clients];
    until_async("both serve", || async {
        statuses(&entries, 1, "first").await == [200, 200]
    })
    .await;
    fleet.store.set_fault(StoreFault::Reset);
    sleep(STORE_OUTAGE).await;
    for server in &fleet.plain[..LOSING] {
        server.set_fault(BackendFault::CloseBeforeResponse, 6);
    }
    statuses(&entries, 12, "lost").await;
    for server in &fleet.plain {
        fleet.store.delete(&format!("servers/{}", server.id()));
    }
    fleet.store.set_fault(StoreFault::None);
    sleep(RETURN_TIME).await;
    for (number, server) in fleet.plain.iter().enumerate() {
        server.set_fault(BackendFault::None, 0);
        fleet.publish_plain(number, "ready");
    }
    until_async("the list is read again", || async {
        fleet.log().contains("read again")
    })
    .await;
    sleep(RETURN_TIME).await;
    let after = statuses(&entries, 20, "after").await;

    assert!(after.iter().all(|status| *status == 200), "{after:?}");
    Ok(())
}

/// Sends a request that ends its engine until the entry declines it as blocked, while other requests
/// are served.
async fn blocked_response(fleet: &Fleet, sent: &ClientRequest) -> Result<ClientResponse> {
    for _ in 0..MAX_TRIES {
        if let Ok(response) = request(fleet.clients, sent).await {
            let text = String::from_utf8_lossy(&response.body).into_owned();
            if text.contains("engines ended under this request") {
                return Ok(response);
            }
        }
        serve_prompt(fleet, "a", "beside").await?;
    }
    bail!("not blocked after {MAX_TRIES} tries")
}

/// Guards against callers that never come back, as a request that usually does well is blocked with a
/// status that is final; one that never did well is.
#[tokio::test]
async fn a_blocked_request_may_come_back_if_it_has_done_well() -> Result<()> {
    let fleet = Fleet::start(FleetSettings {
        engines: 4,
        ..FleetSettings::default()
    })
    .await?;
    for has_done_well in [true, false] {
        let body = format!("equal, {has_done_well}").into_bytes();
        let sent = ClientRequest {
            body: body.clone(),
            ..prompt("a", "equal")
        };
        if has_done_well {
            until_async("it is served", || async {
                let response = request(fleet.clients, &sent).await;
                response.is_ok_and(|response| response.status == 200 && response.is_complete)
            })
            .await;
        }
        for engine in &fleet.engines {
            engine.state().crash_body = Some(body.clone());
        }
        let response = blocked_response(&fleet, &sent).await?;
        let retry_after = response.head.get("retry-after");
        let retry_after = retry_after.and_then(|seconds| seconds.parse::<f64>().ok());
        let expected = if has_done_well { 503 } else { 400 };
        assert_eq!(response.status, expected, "{retry_after:?}");
        assert_eq!(retry_after.is_some_and(|s| s >= 1.0), has_done_well);
    }
    Ok(())
}
