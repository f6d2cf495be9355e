//! Fleets whose engines run several software versions, and clients that take streams up.

// each test file uses a part of it
#![allow(dead_code)]

use {
    anyhow::{bail, ensure, Result},
    chalkcart_testkit::users_platform::{
        open_stream, prompt, request, ClientRequest, ClientResponse, Fleet, FleetSettings,
    },
    std::{net::SocketAddr, time::Duration},
};

pub const EVENTS: u32 = 12;
/// Long enough for a client to lose its entry in the middle of a stream.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(60);
const MAX_TRIES: u32 = 20;

/// Starts a fleet with an engine for each of the versions. Each event names its version.
pub async fn start(versions: &[&str]) -> Result<Fleet> {
    let fleet = Fleet::start(FleetSettings {
        engines: versions.len() as u8,
        stream_attempts: 3,
        ..FleetSettings::default()
    })
    .await?;
    for (number, version) in versions.iter().enumerate() {
        set_version(&fleet, number, version);
        let mut state = fleet.engines[number].state();
        state.event_count = EVENTS;
        state.event_interval = EVENT_INTERVAL;
        state.orders.held.insert("a".to_string(), 1);
    }
    fleet.wait_for_list(fleet.metrics).await;
    Ok(fleet)
}

/// Changes the version of an engine and its record.
pub fn set_version(fleet: &Fleet, engine: usize, version: &str) {
    let mut state = fleet.engines[engine].state();
    state.software_version = version.to_string();
    state.event_data = version.to_string();
    drop(state);
    fleet.publish_engine(engine, "ready");
}

/// The events of a response, each with its id and the version of its engine.
pub fn events(response: &ClientResponse) -> Vec<(u32, String)> {
    let text = String::from_utf8_lossy(&response.data()).to_string();
    let blocks = text.split("\n\n").filter_map(|block| {
        let (id, data) = block.split_once('\n')?;
        let id = id.strip_prefix("id: ")?.parse().ok()?;
        Some((id, data.strip_prefix("data: ")?.to_string()))
    });
    blocks.collect()
}

pub fn versions(events: &[(u32, String)]) -> Vec<String> {
    let mut versions: Vec<String> = events.iter().map(|(_, version)| version.clone()).collect();
    versions.dedup();
    versions
}

/// Returns a request that takes a stream up after an event.
pub fn take_up(id: &str, first_attempt: Option<&str>, last_event: u32) -> ClientRequest {
    let mut headers = vec![("Last-Event-Id".to_string(), last_event.to_string())];
    headers.extend(first_attempt.map(|id| ("Resumes".to_string(), id.to_string())));
    ClientRequest {
        headers,
        ..prompt("a", id)
    }
}

/// Sends a request until it is served; each try has an id of its own.
pub async fn serve(addr: SocketAddr, sent: &ClientRequest) -> Result<ClientResponse> {
    for number in 0..MAX_TRIES {
        let sent = ClientRequest {
            id: format!("{}-{number}", sent.id),
            ..sent.clone()
        };
        let response = request(addr, &sent).await?;
        if response.status != 503 {
            return Ok(response);
        }
    }
    bail!("{} was refused {MAX_TRIES} times", sent.id)
}

/// Starts a stream at an entry, and returns what its client has once `lose` has ended it.
pub async fn lose_stream(
    addr: SocketAddr,
    id: &str,
    lose: impl FnOnce() -> Result<()>,
) -> Result<Vec<(u32, String)>> {
    let mut stream = open_stream(addr, &prompt("a", id)).await?;
    ensure!(stream.read_until("id: 1\n").await?, "{id} ended early");
    lose()?;
    Ok(events(&stream.finish().await?))
}

/// Returns the engine that ran a request.
pub fn engine_of(fleet: &Fleet, id: &str) -> usize {
    let ran = |engine: &usize| {
        let runs = fleet.engines[*engine].runs();
        runs.iter().any(|run| run.request == id)
    };
    (0..fleet.engines.len()).find(ran).expect("a run")
}
