//! Entries whose sidecars are gone, over real processes
//!
//! Seen: with all links to sidecars cut, requests were held to their deadline for adapters that
//! nobody was to load; that the calls to sidecars had failed was known only to the links.

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{engine_runs, prompt, request, serve_prompt, Fleet, FleetSettings},
        waiting::until,
    },
    serde_json::Value,
};

/// how often the log has this part of a message
fn count(fleet: &Fleet, message: &str) -> usize {
    fleet.log().matches(message).count()
}

/// lines of the log about a request that say this
fn lines_about(fleet: &Fleet, request: &str, message: &str) -> Vec<Value> {
    let log = fleet.log();
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    let is_meant = |line: &Value| line["message"] == message && line["request"] == request;
    lines.filter(is_meant).collect()
}

#[tokio::test]
async fn what_was_loaded_is_served_and_the_rest_refused_at_once() -> Result<()> {
    let mut fleet = Fleet::start(FleetSettings {
        engines: 1,
        plain: 0,
        ..FleetSettings::default()
    })
    .await?;
    assert_eq!(serve_prompt(&fleet, "a", "before").await?.status, 200);
    fleet.sidecars[0].kill()?;
    until("its word is missed", || {
        count(&fleet, "takes no demands") == 1 && count(&fleet, "lost") == 1
    })
    .await;
    // its engine lives, and what the sidecar said last holds
    assert_eq!(serve_prompt(&fleet, "a", "after").await?.status, 200);
    let answer = request(fleet.clients, &prompt("b", "unknown")).await?;
    assert_eq!((answer.status, engine_runs(&fleet, "unknown")), (503, 0));
    // the last line about the request
    until("the answer is logged", || {
        !lines_about(&fleet, "unknown", "answered").is_empty()
    })
    .await;
    let causes: Vec<Value> = lines_about(&fleet, "unknown", "refused");
    let causes: Vec<&Value> = causes.iter().map(|line| &line["cause"]).collect();
    assert_eq!(causes, ["unheard"]);
    fleet.sidecars[0] = fleet.start_sidecar(0)?;
    until("it is asked again", || {
        count(&fleet, "takes demands again") == 1
    })
    .await;
    assert_eq!(serve_prompt(&fleet, "b", "again").await?.status, 200);
    Ok(())
}
