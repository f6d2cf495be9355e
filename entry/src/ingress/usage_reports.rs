use {
    super::shared::Shared,
    chalkcart_coordination::membership::{AggregatedState, AggregatorSelector},
    chalkcart_protocol::peer::{path, UsageResponse},
    chalkcart_transport::{client::PeerClient, clock},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Short enough to try the next aggregator before the last reported level expires.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay before the next aggregator is tried.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time between two checks while there is nothing to report.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Reports the usage of accounts to the aggregator and receives their fleet-wide levels, until the
/// process ends.
pub async fn report_usage(shared: Arc<Shared>, sidecar_port: u16) {
    let peers = PeerClient::new();
    let mut selector = AggregatorSelector::new(AggregatedState::Limits);
    let mut current = None;
    loop {
        let pause =
            match report_once(&shared, &peers, &mut selector, &mut current, sidecar_port).await {
                Some(true) => shared.admission.limits().report_interval(clock::now()),
                Some(false) => RETRY_DELAY,
                None => IDLE_INTERVAL,
            };
        sleep(pause).await;
    }
}

/// Returns whether the aggregator responded, or `None` if there is nothing to report or no
/// aggregator to report to.
async fn report_once(
    shared: &Shared,
    peers: &PeerClient,
    selector: &mut AggregatorSelector,
    current: &mut Option<SocketAddr>,
    sidecar_port: u16,
) -> Option<bool> {
    let now = clock::now();
    let report = {
        let mut limits = shared.admission.limits();
        limits.set_entry_count(shared.control.reported_entry_count(), now);
        limits.usage_report(now)?
    };
    let engines = shared.control.engines();
    let engine = selector.select(&engines, now)?;
    if *current != Some(engine) {
        log::info!(keeper = engine.to_string().as_str(), entries = report.entries,
            accounts = report.accounts.len(); "limits: aggregator selected");
        *current = Some(engine);
    }
    let aggregator = SocketAddr::new(engine.ip(), sidecar_port);
    let call = peers.call::<_, UsageResponse>(aggregator, path::USAGE, &report, RESPONSE_TIMEOUT);
    match call.await {
        Ok(response) => {
            selector.on_response(engine);
            let now = clock::now();
            let mut limits = shared.admission.limits();
            limits.on_response(&report, &response, now);
            shared
                .metrics
                .on_usage_response(response.entries, report.entries);
            Some(true)
        }
        Err(e) => {
            log::warn!(keeper = engine.to_string().as_str(), cause = e.to_string().as_str();
                "limits: usage report failed");
            selector.on_failure(engine, clock::now());
            Some(false)
        }
    }
}
