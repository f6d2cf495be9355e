//! entries that hear the sidecars by a relay, over real processes

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
    until("a relay is taken", || {
        fleet.log().contains("relay selected")
    })
    .await;
    Ok(fleet)
}

async fn ask(fleet: &Fleet, adapter: &str, id: &str) -> Result<ClientResponse> {
    let prompt = ClientRequest {
        target: "/stream/".to_string(),
        id: id.to_string(),
        adapter: Some(format!("m/{adapter}")),
        ..ClientRequest::default()
    };
    request(fleet.clients, &prompt).await
}

async fn until_served(fleet: &Fleet, adapter: &str, id: &str) {
    until_async("it is served", || async {
        let answer = ask(fleet, adapter, id).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
}

/// the relay that the ingress took last, by its log
fn relay_of(fleet: &Fleet) -> Option<SocketAddr> {
    let log = fleet.log();
    let line = log.lines().rfind(|line| line.contains("relay selected"))?;
    let line: Value = serde_json::from_str(line).ok()?;
    line["relay"].as_str()?.parse().ok()
}

#[tokio::test]
async fn adapters_are_loaded_by_what_a_relay_passes_on() -> Result<()> {
    let fleet = start(3).await?;
    for adapter in ["a", "b", "c", "d"] {
        until_served(&fleet, adapter, adapter).await;
    }
    for engine in &fleet.engines {
        assert!(engine.state().orders.max_adapters <= 2, "places");
    }
    Ok(())
}

#[tokio::test]
async fn another_relay_is_taken_when_one_dies() -> Result<()> {
    let mut fleet = start(3).await?;
    until_served(&fleet, "a", "r1").await;
    let relay = relay_of(&fleet).expect("a relay in the log");
    let number = (0..3).find(|n| fleet.sidecar_addr(*n) == relay);
    let number = number.expect("a sidecar of the fleet");
    fleet.sidecars[number].kill()?;
    until("another is taken", || {
        relay_of(&fleet).is_some_and(|taken| taken != relay)
    })
    .await;
    for adapter in ["b", "c"] {
        until_served(&fleet, adapter, adapter).await;
    }
    Ok(())
}

/// publish a configuration that has the plain route at another prefix, and wait
/// until it is in force
async fn move_route(fleet: &mut Fleet, prefix: &str) {
    fleet.configure(|document| document["Routes"][0]["PathPrefix"] = json!(prefix));
    until_async("the route is moved", || async {
        let to = ClientRequest {
            target: prefix.to_string(),
            ..ClientRequest::default()
        };
        let answer = request(fleet.clients, &to).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
}

#[tokio::test]
async fn a_configuration_comes_by_the_relay() -> Result<()> {
    let mut fleet = start(2).await?;
    until("the relay tells the store", || {
        fleet.log().contains("\"by_relay\":true")
    })
    .await;
    move_route(&mut fleet, "/moved/").await;
    Ok(())
}

#[tokio::test]
async fn an_entry_reads_the_store_itself_while_its_relay_does_not() -> Result<()> {
    let mut fleet = start_with(2, false).await?;
    move_route(&mut fleet, "/moved/").await;
    assert!(!fleet.log().contains("\"by_relay\":true"));
    until_served(&fleet, "a", "r1").await;
    Ok(())
}

/// what the relay knew before it died is no older than what the entry knows after
#[tokio::test]
async fn no_configuration_is_lost_when_the_relay_dies() -> Result<()> {
    let mut fleet = start(3).await?;
    move_route(&mut fleet, "/first/").await;
    for sidecar in &mut fleet.sidecars {
        sidecar.kill()?;
    }
    move_route(&mut fleet, "/second/").await;
    let to = ClientRequest {
        target: "/first/".to_string(),
        ..ClientRequest::default()
    };
    assert_eq!(request(fleet.clients, &to).await?.status, 404);
    Ok(())
}
