//! Whether a fleet serves everything again after the last fault.

use {
    crate::users_platform::{request, ClientRequest, Fleet, MODEL},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Time limit for the fleet to serve all routes again after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Requests by which a drained back end is seen to get none.
const DRAIN_PROBES: u32 = 6;
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Prefix of the ids of requests that check the recovery.
pub const RECOVERY_ID: &str = "recovery-";

/// Waits until each route is served and the newest configuration is in force; returns what
/// is missing at the time limit.
pub async fn recover(fleet: &mut Fleet, entries: &[SocketAddr]) -> Vec<String> {
    fleet.configure(|_| {});
    // checked by the gauge, since log lines may be dropped
    let gauge_line = format!("chalkcart_ingress_configuration {}\n", fleet.version());
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    let routes = ["/safe/", "/unsafe/", "/stream/"];
    let mut missing: Vec<(SocketAddr, &str)> = entries
        .iter()
        .flat_map(|entry| routes.map(|route| (*entry, route)))
        .collect();
    let mut tries = 0;
    while Instant::now() < deadline {
        let mut left = Vec::new();
        for (entry, target) in missing {
            tries += 1;
            if !is_route_served(entry, target, tries).await {
                left.push((entry, target));
            }
        }
        missing = left;
        let is_in_force = fleet.metrics_text().await.contains(&gauge_line);
        if missing.is_empty() && is_in_force && is_list_in_use(fleet, deadline).await {
            return Vec::new();
        }
        sleep(RECOVERY_POLL_INTERVAL).await;
    }
    let missing = missing.into_iter();
    let mut missing: Vec<String> = missing
        .map(|(entry, target)| format!("{target} at {entry}"))
        .collect();
    missing.push(format!("{} or the list", gauge_line.trim_end()));
    missing
}

/// Drains the first plain back end; returns whether it gets no more requests by the deadline.
async fn is_list_in_use(fleet: &Fleet, deadline: Instant) -> bool {
    fleet.publish_plain(0, "draining");
    let arrivals = || fleet.plain[0].state().arrivals.len();
    while Instant::now() < deadline {
        let before = arrivals();
        for number in 0..DRAIN_PROBES {
            is_route_served(fleet.clients, "/safe/", number).await;
        }
        if arrivals() == before {
            return true;
        }
        sleep(RECOVERY_POLL_INTERVAL).await;
    }
    false
}

async fn is_route_served(entry: SocketAddr, target: &str, number: u32) -> bool {
    let probe = ClientRequest {
        target: target.to_string(),
        id: format!("{RECOVERY_ID}{number}"),
        adapter: (target == "/stream/").then(|| format!("{MODEL}/a0")),
        ..ClientRequest::default()
    };
    let response = request(entry, &probe).await;
    response.is_ok_and(|response| response.status == 200)
}
