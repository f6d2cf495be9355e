use {
    super::RelayHub,
    chalkcart_transport::{clock, links::SidecarLinks},
    std::{sync::Arc, time::Duration},
    tokio::{
        runtime::Handle,
        time::{sleep, timeout},
    },
};

/// Interval of updates without an urgent change; an update is also a heartbeat.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Changes within this time are sent in one update.
const BATCH_DELAY: Duration = Duration::from_millis(12);

/// Sends views to entries and demands to sidecars until the process ends. All sidecars
/// listen on `sidecar_port`.
pub async fn run_relay(hub: Arc<RelayHub>, sidecar_port: u16) {
    let mut links = SidecarLinks::new(Handle::current(), hub.clone(), sidecar_port);
    let mut updated_at = clock::now();
    loop {
        wait_for_change(&hub).await;
        let now = clock::now();
        let have_engines_changed = hub.expire_entries(now);
        hub.store_cache.stop_if_unused(now);
        if have_engines_changed {
            let relay = hub.state();
            log::info!(entries = relay.entry_count(), engines = relay.engines().count();
                "relay: watched engines changed");
            links.set_engines(relay.engines());
        }
        for (engine, demand) in hub.state().take_due_demands() {
            links.send_demand(engine, demand, now);
        }
        links.send_keep_alives(now);
        if hub.take_urgent() || now.saturating_duration_since(updated_at) >= UPDATE_INTERVAL {
            updated_at = now;
            hub.broadcast_update(now);
        }
    }
}

/// Waits for a change, or for the next update; an unused relay waits for a change only.
async fn wait_for_change(hub: &RelayHub) {
    let is_idle = hub.state().entry_count() == 0 && !hub.store_cache.stop_if_unused(clock::now());
    if is_idle {
        hub.changed.notified().await;
    } else {
        // A timeout sends a heartbeat.
        let _ = timeout(UPDATE_INTERVAL, hub.changed.notified()).await;
    }
    sleep(BATCH_DELAY).await;
}
