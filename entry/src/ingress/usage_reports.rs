use {
    super::shared::Shared,
    chalkcart_coordination::membership::{AggregatedState, AggregatorSelector},
    chalkcart_protocol::peer::{path, UsageResponse},
    chalkcart_transport::{client::PeerClient, clock},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// longest time for a keeper's answer; the next is asked well before its word ends
const ANSWER_LIMIT: Duration = Duration::from_millis(250);
/// pause before the next keeper is asked
const RETRY: Duration = Duration::from_millis(20);
/// time between two looks while there is nothing to report
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// tell the keeper of the fleet's sums what accounts used here, and hear what they
/// may use, until the process ends
pub async fn report_usage(shared: Arc<Shared>, sidecar_port: u16) {
    let peers = PeerClient::new();
    let mut choice = AggregatorSelector::new(AggregatedState::Limits);
    let mut present = None;
    loop {
        let pause =
            match report_once(&shared, &peers, &mut choice, &mut present, sidecar_port).await {
                Some(true) => shared.admission.limits().report_interval(clock::now()),
                Some(false) => RETRY,
                None => LOOK_EVERY,
            };
        sleep(pause).await;
    }
}

/// says whether the keeper answered; none if there is nothing to report, or nobody
/// to report to
async fn report_once(
    shared: &Shared,
    peers: &PeerClient,
    choice: &mut AggregatorSelector,
    present: &mut Option<SocketAddr>,
    sidecar_port: u16,
) -> Option<bool> {
    let now = clock::now();
    let report = {
        let mut limits = shared.admission.limits();
        limits.set_entry_count(shared.control.reported_entry_count(), now);
        limits.usage_report(now)?
    };
    let engines = shared.control.engines();
    let engine = choice.select(&engines, now)?;
    if *present != Some(engine) {
        log::info!(keeper = engine.to_string().as_str(), entries = report.entries,
            accounts = report.accounts.len(); "limits: keeper taken");
        *present = Some(engine);
    }
    let keeper = SocketAddr::new(engine.ip(), sidecar_port);
    let answer = peers.call::<_, UsageResponse>(keeper, path::USAGE, &report, ANSWER_LIMIT);
    match answer.await {
        Ok(answer) => {
            choice.on_response(engine);
            let now = clock::now();
            let mut limits = shared.admission.limits();
            limits.on_response(&report, &answer, now);
            shared
                .metrics
                .on_usage_response(answer.entries, report.entries);
            Some(true)
        }
        Err(e) => {
            log::warn!(keeper = engine.to_string().as_str(), cause = e.to_string().as_str();
                "limits: no answer");
            choice.on_failure(engine, clock::now());
            Some(false)
        }
    }
}
