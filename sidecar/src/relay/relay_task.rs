use {
    super::{zone_links::ZoneLinks, RelayHub},
    chalkcart_state::ids::BoxName,
    chalkcart_transport::clock,
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Interval of updates without an urgent change; an update is also a heartbeat.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Changes within this time are sent in one update.
const BATCH_DELAY: Duration = Duration::from_millis(12);

/// Sends views to readers and demands to sidecars until the process ends. `name` is the name of
/// the relay's box; all sidecars listen on `sidecar_port`.
pub async fn run_relay(hub: Arc<RelayHub>, name: BoxName, sidecar_port: u16) {
    let mut links = ZoneLinks::new(name, sidecar_port, hub.clone());
    let mut updated_at = clock::now();
    loop {
        wait_for_change(&hub).await;
        let now = clock::now();
        let may_links_change = hub.expire_readers(now);
        hub.store_cache.stop_if_unused(now);
        if may_links_change {
            update_links(&hub, &mut links);
        }
        for (engine, demand) in hub.state().take_due_demands(clock::now()) {
            links.send_demand(engine, demand, now);
        }
        links.send_keep_alives(now);
        if hub.take_urgent() || now.saturating_duration_since(updated_at) >= UPDATE_INTERVAL {
            updated_at = now;
            hub.broadcast_update(now);
        }
    }
}

fn update_links(hub: &RelayHub, links: &mut ZoneLinks) {
    let mut relay = hub.state();
    let plan = relay.update_plan().clone();
    log::info!(
        entries = relay.reader_count(),
        engines = relay.engines().count(),
        direct = plan.direct.len(),
        zones = plan.through_zones.len();
        "relay: watched engines changed"
    );
    drop(relay);
    links.apply(&plan);
}

/// Waits for a change, or for the next update; an unused relay waits for a change only.
async fn wait_for_change(hub: &RelayHub) {
    let is_idle = hub.state().reader_count() == 0 && !hub.store_cache.stop_if_unused(clock::now());
    if is_idle {
        hub.changed.notified().await;
    } else {
        // A timeout sends a heartbeat.
        let _ = timeout(UPDATE_INTERVAL, hub.changed.notified()).await;
    }
    sleep(BATCH_DELAY).await;
}
