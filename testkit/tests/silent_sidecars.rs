//! Entries without reachable sidecars, over real processes.
//!
//! Guards against: requests held until their deadline for adapters that no sidecar can load.

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{engine_runs, prompt, request, serve_prompt, Fleet, FleetSettings},
        waiting::until,
    },
    serde_json::Value,
};

/// Returns how often the log contains this text.
fn count_in_log(fleet: &Fleet, message: &str) -> usize {
    fleet.log().matches(message).count()
}

/// Returns the log lines of a request with this message.
fn log_lines_of(fleet: &Fleet, request: &str, message: &str) -> Vec<Value> {
    let log = fleet.log();
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    let is_match = |line: &Value| line["message"] == message && line["request"] == request;
    lines.filter(is_match).collect()
}

#[tokio::test]
async fn loaded_adapters_are_served_and_others_rejected_at_once() -> Result<()> {
    let mut fleet = Fleet::start(FleetSettings {
        engines: 1,
        plain: 0,
        ..FleetSettings::default()
    })
    .await?;
    assert_eq!(serve_prompt(&fleet, "a", "before").await?.status, 200);
    fleet.sidecars[0].kill()?;
    until("the loss of the sidecar is logged", || {
        count_in_log(&fleet, "takes no demands") == 1 && count_in_log(&fleet, "lost") == 1
    })
    .await;
    // the engine is up, and the last report of its sidecar is still used
    assert_eq!(serve_prompt(&fleet, "a", "after").await?.status, 200);
    let response = request(fleet.clients, &prompt("b", "unknown")).await?;
    assert_eq!((response.status, engine_runs(&fleet, "unknown")), (503, 0));
    // this is the last line about the request
    until("the response is logged", || {
        !log_lines_of(&fleet, "unknown", "answered").is_empty()
    })
    .await;
    let causes: Vec<Value> = log_lines_of(&fleet, "unknown", "refused");
    let causes: Vec<&Value> = causes.iter().map(|line| &line["cause"]).collect();
    assert_eq!(causes, ["unheard"]);
    fleet.sidecars[0] = fleet.start_sidecar(0)?;
    until("the sidecar accepts demands again", || {
        count_in_log(&fleet, "takes demands again") == 1
    })
    .await;
    assert_eq!(serve_prompt(&fleet, "b", "again").await?.status, 200);
    Ok(())
}
