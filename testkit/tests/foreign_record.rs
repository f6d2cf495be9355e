//! Guards against a fleet that starts again and serves nobody while a record of another writer
//! stands in the list of engines.

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{prompt, request, ClientRequest, Fleet, FleetSettings},
        waiting::until_async,
    },
};

/// Records under names of their own; each has a number that is out of range, or of another type.
const FOREIGN: &[&str] = &[
    r#"{"Service": "other", "Address": "127.0.0.1:9", "Zone": "z", "Slots": 8, "State": "ready",
        "ColdLeftMs": 1e22, "Seq": 1}"#,
    r#"{"Service": "plain", "Address": "127.0.0.1:9", "Zone": "z", "Slots": 8, "State": "ready",
        "ColdLeftMs": 1e19, "Seq": 1}"#,
    r#"{"Service": "other", "Address": "127.0.0.1:9", "Zone": "z", "Slots": 1e400,
        "State": "ready", "Seq": 18446744073709551616}"#,
    r#"{"Service": ["other"], "Address": 7, "Zone": null, "Slots": "8", "State": {},
        "ColdLeftMs": "soon", "Models": [1e400], "born": -1}"#,
];
const REQUESTS: u32 = 10;

/// Starts a fleet, puts the records, kills all processes and starts them again.
async fn restarted(settings: FleetSettings) -> Result<Fleet> {
    let mut fleet = Fleet::start(settings).await?;
    for engine in &fleet.engines {
        engine.state().orders.held.insert("a".to_string(), 1);
    }
    for (number, record) in FOREIGN.iter().enumerate() {
        let key = format!("servers/a foreign & other {number}");
        fleet.store.put_bytes(&key, record.as_bytes());
    }
    fleet.ingress.kill()?;
    for sidecar in &mut fleet.sidecars {
        sidecar.kill()?;
    }
    for number in 0..fleet.sidecars.len() {
        fleet.sidecars[number] = fleet.start_sidecar(number as u8)?;
    }
    fleet.restart_ingress()?;
    Ok(fleet)
}

async fn assert_serves(fleet: &Fleet) -> Result<()> {
    until_async("the entry is ready", || async { fleet.is_ready().await }).await;
    let served = |sent: ClientRequest| async move {
        let response = request(fleet.clients, &sent).await;
        response.is_ok_and(|response| response.status == 200)
    };
    until_async("a stream is served", || served(prompt("a", "first"))).await;
    for number in 0..REQUESTS {
        let id = format!("r{number}");
        let safe = ClientRequest {
            target: "/safe/".to_string(),
            id: id.clone(),
            ..ClientRequest::default()
        };
        assert!(served(safe).await, "safe {number}");
        assert!(served(prompt("a", &id)).await, "stream {number}");
    }
    for log in [fleet.log(), fleet.sidecar_log(0)] {
        assert!(!log.contains("panicked"), "{log}");
    }
    Ok(())
}

/// Guards against a record with `"ColdLeftMs": 1e22` that ends the control thread of each entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_that_starts_beside_foreign_records_serves() -> Result<()> {
    let fleet = restarted(FleetSettings {
        engines: 1,
        plain: 1,
        ..FleetSettings::default()
    })
    .await?;
    assert_serves(&fleet).await
}

/// Guards against the same where a relay reads the list for the entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_with_relays_that_starts_beside_foreign_records_serves() -> Result<()> {
    let fleet = restarted(FleetSettings {
        engines: 3,
        plain: 1,
        relays_from_engines: 1,
        ..FleetSettings::default()
    })
    .await?;
    assert_serves(&fleet).await
}
