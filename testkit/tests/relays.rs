//! Entries that receive sidecar views through a relay, over real processes.

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{request, ClientRequest, ClientResponse, Fleet, FleetSettings},
        waiting::{until, until_async},
    },
    serde_json::{json, Value},
    std::net::SocketAddr,
};

async fn start(engines: u8) -> Result<Fleet> {
    start_with(engines, true).await
}

async fn start_with(engines: u8, can_sidecars_reach_store: bool) -> Result<Fleet> {
    let fleet = Fleet::start(FleetSettings {
        engines,
        relays_from_engines: 1,
        can_sidecars_reach_store,
        ..FleetSettings::default()
    })
    .await?;
    until("a relay is selected", || {
        fleet.log().contains("relay selected")
    })
    .await;
    Ok(fleet)
}

async fn send_prompt(fleet: &Fleet, adapter: &str, id: &str) -> Result<ClientResponse> {
    let prompt = ClientRequest {
        target: "/stream/".to_string(),
        id: id.to_string(),
        adapter: Some(format!("m/{adapter}")),
        ..ClientRequest::default()
    };
    request(fleet.clients, &prompt).await
}

async fn wait_until_served(fleet: &Fleet, adapter: &str, id: &str) {
    until_async("it is served", || async {
        let response = send_prompt(fleet, adapter, id).await;
        response.is_ok_and(|response| response.status == 200)
    })
    .await;
}

/// Returns the relay that the ingress selected last, from its log.
fn current_relay(fleet: &Fleet) -> Option<SocketAddr> {
    let log = fleet.log();
    let line = log.lines().rfind(|line| line.contains("relay selected"))?;
    let line: Value = serde_json::from_str(line).ok()?;
    line["relay"].as_str()?.parse().ok()
}

#[tokio::test]
async fn adapters_are_loaded_with_views_through_a_relay() -> Result<()> {
    let fleet = start(3).await?;
    for adapter in ["a", "b", "c", "d"] {
        wait_until_served(&fleet, adapter, adapter).await;
    }
    for engine in &fleet.engines {
        assert!(
            engine.state().orders.max_adapters <= 2,
            "adapter slots exceeded"
        );
    }
    Ok(())
}

#[tokio::test]
async fn another_relay_is_selected_when_one_is_killed() -> Result<()> {
    let mut fleet = start(3).await?;
    wait_until_served(&fleet, "a", "r1").await;
    let relay = current_relay(&fleet).expect("a relay in the log");
    let index = (0..3).find(|n| fleet.sidecar_addr(*n) == relay);
    let index = index.expect("a sidecar of the fleet");
    fleet.sidecars[index].kill()?;
    until("another relay is selected", || {
        current_relay(&fleet).is_some_and(|current| current != relay)
    })
    .await;
    for adapter in ["b", "c"] {
        wait_until_served(&fleet, adapter, adapter).await;
    }
    Ok(())
}

/// Publishes a configuration with another prefix for the plain route and waits until it is in
/// force.
async fn move_route(fleet: &mut Fleet, prefix: &str) {
    fleet.configure(|document| document["Routes"][0]["PathPrefix"] = json!(prefix));
    until_async("the route is moved", || async {
        let probe = ClientRequest {
            target: prefix.to_string(),
            ..ClientRequest::default()
        };
        let response = request(fleet.clients, &probe).await;
        response.is_ok_and(|response| response.status == 200)
    })
    .await;
}

#[tokio::test]
async fn a_configuration_is_received_through_the_relay() -> Result<()> {
    let mut fleet = start(2).await?;
    until("the relay forwards store updates", || {
        fleet.log().contains("\"by_relay\":true")
    })
    .await;
    move_route(&mut fleet, "/moved/").await;
    Ok(())
}

#[tokio::test]
async fn an_entry_reads_the_store_directly_while_its_relay_cannot() -> Result<()> {
    let mut fleet = start_with(2, false).await?;
    move_route(&mut fleet, "/moved/").await;
    assert!(!fleet.log().contains("\"by_relay\":true"));
    wait_until_served(&fleet, "a", "r1").await;
    Ok(())
}

/// The configuration in force must not revert to an earlier one.
#[tokio::test]
async fn the_configuration_does_not_revert_when_the_relay_is_killed() -> Result<()> {
    let mut fleet = start(3).await?;
    move_route(&mut fleet, "/first/").await;
    for sidecar in &mut fleet.sidecars {
        sidecar.kill()?;
    }
    move_route(&mut fleet, "/second/").await;
    let probe = ClientRequest {
        target: "/first/".to_string(),
        ..ClientRequest::default()
    };
    assert_eq!(request(fleet.clients, &probe).await?.status, 404);
    Ok(())
}
