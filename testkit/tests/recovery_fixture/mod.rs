//! Fleets whose streams may be resumed, and what their clients and engines see.

// each test file uses a part of it
#![allow(dead_code)]

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{
            serve_prompt, BackendFault, ClientResponse, CutKind, Fleet, FleetSettings, StreamFault,
        },
        waiting::until,
    },
    std::time::Duration,
};

pub const ENGINES: u8 = 3;
pub const EVENTS: u32 = 8;
pub const MAX_ATTEMPTS: u32 = 3;
pub const STREAMS: usize = 6;
/// Time for which a closed connection's run may go on at its engine.
pub const STOP_TIME: Duration = Duration::from_millis(400);
/// Longer than the time in which the end of an engine is noticed.
pub const RESTART_DELAY: Duration = Duration::from_secs(2);
/// Length of `id: 0`, a line without its end.
pub const FIRST_LINE: usize = 5;

pub fn cut(kind: CutKind) -> StreamFault {
    StreamFault {
        kind,
        ..StreamFault::default()
    }
}

/// Starts a fleet whose streams may be resumed, with an adapter on one engine.
pub async fn start(change: impl FnOnce(&mut serde_json::Value)) -> Result<Fleet> {
    let mut fleet = Fleet::start(FleetSettings {
        engines: ENGINES,
        stream_attempts: MAX_ATTEMPTS,
        ..FleetSettings::default()
    })
    .await?;
    fleet.configure(change);
    let version = format!("configuration {} in force", fleet.version());
    until("the configuration is applied", || {
        fleet.log().contains(&version)
    })
    .await;
    for engine in &fleet.engines {
        engine.state().event_count = EVENTS;
    }
    serve_prompt(&fleet, "a", "first").await?;
    Ok(fleet)
}

/// Returns the engine that has the adapter.
pub fn holder(fleet: &Fleet) -> usize {
    let ran = |engine: usize| !fleet.engines[engine].runs().is_empty();
    (0..fleet.engines.len()).find(|e| ran(*e)).expect("a run")
}

/// Injects a fault into the next stream of the engine that has the adapter.
pub fn set_fault(fleet: &Fleet, fault: BackendFault) {
    fleet.engines[holder(fleet)].set_fault(fault, 1);
}

/// Injects a fault into the next stream of each other engine.
pub fn set_fault_of_others(fleet: &Fleet, fault: BackendFault) {
    let holder = holder(fleet);
    let others = fleet.engines.iter().enumerate();
    let others = others.filter(|(number, _)| *number != holder);
    others.for_each(|(_, engine)| engine.set_fault(fault, 1));
}

/// Returns the events in a range, as engines send them.
pub fn events(range: std::ops::Range<u32>) -> String {
    let events = range.map(|id| format!("id: {id}\ndata: x\n\n"));
    events.collect()
}

pub fn text(response: &ClientResponse) -> String {
    String::from_utf8_lossy(&response.data()).to_string()
}

pub fn assert_whole(response: &ClientResponse, case: &str) {
    assert_eq!(response.status, 200, "{case}");
    assert_eq!(text(response), events(0..EVENTS), "{case}");
    assert!(response.is_complete, "{case}");
    let stamp = response.head.get("chalkcart-response-stamp");
    assert_eq!(stamp, Some("stamp"), "{case}");
}

/// Asserts that a response broke off after complete events.
pub fn assert_broken_after(response: &ClientResponse, count: u32, case: &str) {
    assert_eq!(text(response), events(0..count), "{case}");
    assert!(!response.is_complete, "{case}");
}

/// Returns the values of `Last-Event-Id` of a request's runs, in the order of the engines.
pub fn last_event_ids(fleet: &Fleet, id: &str) -> Vec<Option<String>> {
    let runs = fleet.engines.iter().flat_map(|engine| engine.runs());
    let runs = runs.filter(|run| run.request == id);
    let mut ids: Vec<_> = runs
        .map(|run| run.headers.get("last-event-id").cloned())
        .collect();
    ids.sort();
    ids
}

pub fn id(id: u32) -> Option<String> {
    Some(id.to_string())
}

/// Returns the lines of the log that contain a text.
pub fn lines(fleet: &Fleet, text: &str) -> Vec<String> {
    let log = fleet.log();
    let lines = log.lines().filter(|line| line.contains(text));
    lines.map(str::to_string).collect()
}

pub async fn wait_until_logged(fleet: &Fleet, text: &str) {
    until(text, || !lines(fleet, text).is_empty()).await;
}

pub async fn assert_not_resumed(fleet: &Fleet, cause: &str) {
    wait_until_logged(fleet, "stream not resumed").await;
    let lines = lines(fleet, "stream not resumed");
    let cause = format!("\"cause\":\"{cause}\"");
    assert!(lines[0].contains(&cause), "{cause}: {lines:?}");
    assert_eq!(lines.len(), 1, "{lines:?}");
}

/// Asserts that the engine that continued a stream got it only after the other one had time to
/// stop.
pub fn assert_started_after_stop(fleet: &Fleet, id: &str, case: &str) {
    let states: Vec<_> = fleet.engines.iter().map(|engine| engine.state()).collect();
    let cuts = states.iter().flat_map(|state| state.cuts.iter().copied());
    let arrivals = states.iter().flat_map(|state| state.arrivals.iter());
    let arrivals = arrivals.filter(|(_, request)| request == id);
    let (cut, resumed) = (cuts.max(), arrivals.map(|(at, _)| *at).max());
    let (cut, resumed) = (cut.expect("a cut"), resumed.expect("an arrival"));
    assert!(resumed >= cut + STOP_TIME, "{case}: {:?}", resumed - cut);
}

/// Loads the adapter on every engine.
pub async fn serve_everywhere(fleet: &Fleet) -> Result<()> {
    for engine in &fleet.engines {
        engine.state().orders.held.insert("a".to_string(), 1);
    }
    serve_prompt(fleet, "a", "everywhere").await?;
    Ok(())
}

/// Asserts the cause for which the last cut of a stream was not resumed.
pub async fn assert_not_resumed_last(fleet: &Fleet, cause: &str) {
    wait_until_logged(fleet, "stream not resumed").await;
    let lines = lines(fleet, "stream not resumed");
    let cause = format!("\"cause\":\"{cause}\"");
    assert!(lines.iter().any(|l| l.contains(&cause)), "{lines:?}");
}
