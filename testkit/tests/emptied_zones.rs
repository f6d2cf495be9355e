//! Zones that operators evacuate.
//!
//! Guards against: requests sent to an evacuated zone.

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{request, ClientRequest, Fleet, FleetSettings},
        waiting::until_async,
    },
    serde_json::json,
};

/// Key of the evacuation record of the zone that the entry and the first replica are in.
const EVACUATION_KEY: &str = "op/evacuate/z";

/// Starts a plain service with two replicas, the second in another zone.
async fn start() -> Result<Fleet> {
    let fleet = Fleet::start(FleetSettings {
        plain: 2,
        ..FleetSettings::default()
    })
    .await?;
    let record = json!({
        "Service": "plain", "Address": fleet.plain[1].addr, "Zone": "y", "Version": "v1",
        "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Seq": 1, "Models": [],
        "born": fleet.plain[1].state().start_time_ms,
    });
    fleet.store.put("servers/p-1", record);
    Ok(fleet)
}

/// Sends a few requests, all of which must be served, and returns how many ran in the zone.
async fn runs_in_zone(fleet: &Fleet) -> Result<usize> {
    let before = fleet.plain[0].runs().len();
    for _ in 0..6 {
        let safe_request = ClientRequest {
            target: "/safe/".to_string(),
            ..ClientRequest::default()
        };
        assert_eq!(request(fleet.clients, &safe_request).await?.status, 200);
    }
    Ok(fleet.plain[0].runs().len() - before)
}

async fn wait_until_zone_used(fleet: &Fleet, is_used: bool) {
    until_async("the zone is used or unused as expected", || async {
        runs_in_zone(fleet).await.is_ok_and(|n| (n > 0) == is_used)
    })
    .await;
}

#[tokio::test]
async fn an_evacuated_zone_receives_no_requests_until_the_evacuation_is_withdrawn() -> Result<()> {
    let mut fleet = start().await?;
    wait_until_zone_used(&fleet, true).await;
    fleet.store.put(EVACUATION_KEY, json!({}));
    wait_until_zone_used(&fleet, false).await;
    for _ in 0..3 {
        assert_eq!(runs_in_zone(&fleet).await?, 0);
    }
    // an entry that starts meanwhile reads the record
    fleet.ingress.kill()?;
    fleet.restart_ingress()?;
    fleet.wait_ready().await;
    assert_eq!(runs_in_zone(&fleet).await?, 0);
    fleet.store.delete(EVACUATION_KEY);
    wait_until_zone_used(&fleet, true).await;
    // a second evacuation works as well
    fleet.store.put(EVACUATION_KEY, json!({}));
    wait_until_zone_used(&fleet, false).await;
    Ok(())
}
