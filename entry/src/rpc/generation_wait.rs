use {
    crate::app::Shared,
    chalkcart_protocol::peer::{path, SyncRequest, SyncResponse, TargetReport},
    chalkcart_state::{
        fleet::{FleetBox, Role},
        ids::{BoxName, Generation},
    },
    chalkcart_transport::clock,
    futures::{stream, StreamExt},
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Maximum number of boxes polled at once.
const MAX_CONCURRENT_CALLS: usize = 64;
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Polls all listed boxes until each has the generation in force or the deadline has passed.
/// Returns the boxes that don't have it.
pub async fn wait_for_generation(
    shared: &Shared,
    generation: Generation,
    deadline: Instant,
) -> Vec<BoxName> {
    let list = shared.active_config.list();
    let mut missing: Vec<FleetBox> = list.boxes.clone();
    loop {
        let calls = stream::iter(missing.clone()).map(|listed| async move {
            let found = fetch_generation(shared, &listed).await;
            (listed, found)
        });
        let results: Vec<(FleetBox, Option<Generation>)> =
            calls.buffer_unordered(MAX_CONCURRENT_CALLS).collect().await;
        let is_missing = |found: Option<Generation>| found.is_none_or(|g| g < generation);
        missing = results
            .into_iter()
            .filter(|(_, found)| is_missing(*found))
            .map(|(listed, _)| listed)
            .collect();
        if missing.is_empty() || clock::now() >= deadline {
            let mut names: Vec<BoxName> = missing.iter().map(|b| b.name.clone()).collect();
            names.sort();
            return names;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the generation in force on a box, or `None` if it does not respond.
async fn fetch_generation(shared: &Shared, listed: &FleetBox) -> Option<Generation> {
    if listed.name == shared.settings.name {
        return Some(shared.active_config.generation());
    }
    let peers = &shared.peers;
    if listed.role != Role::Entry {
        let call = peers.call(listed.addr, path::REPORT, &(), CALL_TIMEOUT);
        let report: Option<TargetReport> = call.await.ok();
        return report.map(|r| r.generation);
    }
    // No root and no list can be newer than these, so the response has neither.
    let request = SyncRequest {
        from: shared.settings.name.clone(),
        generation: Generation::MAX,
        list_version: u64::MAX,
        from_sidecar: true,
    };
    let call = peers.call(listed.addr, path::SYNC, &request, CALL_TIMEOUT);
    let response: Option<SyncResponse> = call.await.ok();
    response.map(|r| r.generation)
}
