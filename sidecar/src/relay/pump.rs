use {
    super::RelayHub,
    chalkcart_transport::{clock, links::SidecarLinks},
    std::{sync::Arc, time::Duration},
    tokio::{
        runtime::Handle,
        time::{sleep, timeout},
    },
};

/// figures that are not worth a message of their own are told this often; also
/// the time between two signs of life
const FIGURES_EVERY: Duration = Duration::from_millis(200);
/// what comes within this time goes out together
const GATHERED: Duration = Duration::from_millis(12);

/// pass on news and demands until the process ends; `sidecar_port` is that of
/// all sidecars
pub async fn run_pump(hub: Arc<RelayHub>, sidecar_port: u16) {
    let mut links = SidecarLinks::new(Handle::current(), hub.clone(), sidecar_port);
    let mut told = clock::now();
    loop {
        wait(&hub).await;
        let now = clock::now();
        let has_other_engines = hub.review(now);
        hub.published.review(now);
        if has_other_engines {
            let book = hub.book();
            log::info!(entries = book.entry_count(), engines = book.engines().count();
                "relay: engines to follow changed");
            links.set_engines(book.engines());
        }
        for (engine, demand) in hub.book().take_due_demands() {
            links.send_demand(engine, demand, now);
        }
        links.send_keep_alives(now);
        if hub.take_urgency() || now.saturating_duration_since(told) >= FIGURES_EVERY {
            told = now;
            hub.tell_news(now);
        }
    }
}

/// wait for work; a relay that nobody uses has none
async fn wait(hub: &RelayHub) {
    let is_idle = hub.book().entry_count() == 0 && !hub.published.review(clock::now());
    if is_idle {
        hub.changed.notified().await;
    } else {
        // a time without a change is a sign of life
        let _ = timeout(FIGURES_EVERY, hub.changed.notified()).await;
    }
    sleep(GATHERED).await;
}
