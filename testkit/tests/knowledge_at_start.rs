//! What processes that have just started do while nobody can tell them what was before.
//!
//! Guards against: a fact that is not known yet, taken for one that does not hold.

use {
    anyhow::Result,
    chalkcart_testkit::users_platform::{
        engine_runs, prompt, request, serve_prompt, Fleet, FleetSettings,
    },
    serde_json::json,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Time after which no request may begin on an older version of its adapter.
const VERSION_TIME: Duration = Duration::from_millis(5_000);
/// Time in which the entry that started is asked: longer than it permits older versions of one that
/// it sees being announced.
const ASKED_FOR: Duration = Duration::from_millis(3_000);

/// Guards against: requests that begin on an outdated version at entries that were all killed since
/// it was announced, since they take the version for one that was announced as they started.
#[tokio::test]
async fn no_request_begins_on_an_outdated_version_after_all_entries_were_killed() -> Result<()> {
    let mut fleet = Fleet::start(FleetSettings {
        engines: 1,
        ..FleetSettings::default()
    })
    .await?;
    serve_prompt(&fleet, "a", "before").await?;
    // the engine can't be brought up to date
    fleet.engines[0].state().should_reject_orders = true;
    let newer = json!({"Model": "m", "Adapter": "a", "Version": 2});
    fleet.store.put("op/version/m.a", newer);
    sleep(VERSION_TIME).await;
    fleet.ingress.kill()?;
    fleet.restart_ingress()?;
    fleet.wait_ready().await;
    let started = Instant::now();
    let mut begun = Vec::new();
    while started.elapsed() < ASKED_FOR {
        let id = format!("after-{}", started.elapsed().as_millis());
        request(fleet.clients, &prompt("a", &id)).await?;
        if engine_runs(&fleet, &id) > 0 {
            begun.push(id);
        }
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(begun, Vec::<String>::new());

    let mut state = fleet.engines[0].state();
    state.orders.versions.insert("a".to_string(), 2);
    state.should_reject_orders = false;
    drop(state);
    assert_eq!(serve_prompt(&fleet, "a", "newer").await?.status, 200);
    let runs = fleet.engines[0].runs();
    let last = runs.last().expect("a run");
    assert_eq!(last.headers["chalkcart-expect-version"], "2");
    Ok(())
}
