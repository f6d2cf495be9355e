//! Zones whose back ends operators want to have emptied.
//!
//! Seen: requests went on to the engines of a zone for as long as its evacuation lasted, 344
//! of them later than 5 s after it was confirmed. Cause: nothing read the operators' record.
//! Proof: the first test, with nothing but the record written.

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{request, ClientRequest, Fleet, FleetSettings},
        waiting::until_async,
    },
    serde_json::json,
};

/// the zone of the entry and of the first copy, which is preferred
const EVACUATION: &str = "op/evacuate/z";

/// two copies of a plain service, the second in another zone
async fn start() -> Result<Fleet> {
    let fleet = Fleet::start(FleetSettings {
        plain: 2,
        ..FleetSettings::default()
    })
    .await?;
    let row = json!({
        "Service": "plain", "Address": fleet.plain[1].addr, "Zone": "y", "Version": "v1",
        "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Seq": 1, "Models": [],
        "born": fleet.plain[1].state().start_time_ms,
    });
    fleet.store.put("servers/p-1", row);
    Ok(fleet)
}

/// requests of a few that ran in the zone; all are served
async fn ran_there(fleet: &Fleet) -> Result<usize> {
    let before = fleet.plain[0].runs().len();
    for _ in 0..6 {
        let safe = ClientRequest {
            target: "/safe/".to_string(),
            ..ClientRequest::default()
        };
        assert_eq!(request(fleet.clients, &safe).await?.status, 200);
    }
    Ok(fleet.plain[0].runs().len() - before)
}

async fn until_used(fleet: &Fleet, is_used: bool) {
    until_async("the zone is used as asked", || async {
        ran_there(fleet).await.is_ok_and(|n| (n > 0) == is_used)
    })
    .await;
}

#[tokio::test]
async fn a_zone_that_is_to_be_emptied_gets_nothing_until_that_is_taken_back() -> Result<()> {
    let mut fleet = start().await?;
    until_used(&fleet, true).await;
    fleet.store.put(EVACUATION, json!({}));
    until_used(&fleet, false).await;
    for _ in 0..3 {
        assert_eq!(ran_there(&fleet).await?, 0);
    }
    // an entry that begins meanwhile reads it with all else
    fleet.ingress.kill()?;
    fleet.restart_ingress()?;
    fleet.wait_ready().await;
    assert_eq!(ran_there(&fleet).await?, 0);
    fleet.store.delete(EVACUATION);
    until_used(&fleet, true).await;
    // and it may be asked for again
    fleet.store.put(EVACUATION, json!({}));
    until_used(&fleet, false).await;
    Ok(())
}
