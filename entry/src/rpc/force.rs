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

/// boxes asked at once
const ASKED_AT_ONCE: usize = 64;
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// ask all listed boxes until each has the generation in force; give those
/// that have not by then
pub async fn wait_in_force(
    shared: &Shared,
    generation: Generation,
    deadline: Instant,
) -> Vec<BoxName> {
    let list = shared.active_config.list();
    let mut missing: Vec<FleetBox> = list.boxes.clone();
    loop {
        let round = stream::iter(missing.clone()).map(|listed| async move {
            let found = ask_generation(shared, &listed).await;
            (listed, found)
        });
        let answers: Vec<(FleetBox, Option<Generation>)> =
            round.buffer_unordered(ASKED_AT_ONCE).collect().await;
        let lacks = |found: Option<Generation>| found.is_none_or(|g| g < generation);
        missing = answers
            .into_iter()
            .filter(|(_, found)| lacks(*found))
            .map(|(listed, _)| listed)
            .collect();
        if missing.is_empty() || clock::now() >= deadline {
            let mut names: Vec<BoxName> = missing.iter().map(|b| b.name.clone()).collect();
            names.sort();
            return names;
        }
        sleep(ROUND_PAUSE).await;
    }
}

async fn ask_generation(shared: &Shared, listed: &FleetBox) -> Option<Generation> {
    if listed.name == shared.settings.name {
        return Some(shared.active_config.generation());
    }
    let peers = &shared.peers;
    if listed.role != Role::Entry {
        let call = peers.call(listed.addr, path::REPORT, &(), ASK_TIMEOUT);
        let report: Option<TargetReport> = call.await.ok();
        return report.map(|r| r.generation);
    }
    let ask = SyncRequest {
        from: shared.settings.name.clone(),
        generation: Generation::MAX,
        list_version: u64::MAX,
        from_sidecar: true,
    };
    let call = peers.call(listed.addr, path::SYNC, &ask, ASK_TIMEOUT);
    let answer: Option<SyncResponse> = call.await.ok();
    answer.map(|a| a.generation)
}
