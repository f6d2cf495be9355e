//! Guards against requests that many clients send alike and that are refused for good, as answers to
//! some of them were lost around an outage of the store (review/8).

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{request, BackendFault, ClientRequest, Fleet, FleetSettings, StoreFault},
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
