use {
    super::shared::Shared,
    chalkcart_coordination::{
        config::{decide_offer, OfferDecision},
        sidecar::SidecarEvent,
    },
    chalkcart_protocol::peer::{path, SyncRequest, SyncResponse},
    chalkcart_state::config::Root,
    chalkcart_transport::client::PeerClient,
    rand::seq::IndexedRandom,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

const SYNC_INTERVAL: Duration = Duration::from_secs(1);
const SYNC_TIMEOUT: Duration = Duration::from_millis(500);

/// Polls the entries for a newer root of the configuration.
pub struct ConfigSync {
    shared: Arc<Shared>,
    peers: PeerClient,
    entries: Vec<SocketAddr>,
    list_version: u64,
    root: Option<Arc<Root>>,
}

impl ConfigSync {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            peers: PeerClient::new(),
            entries: shared.settings.entries.clone(),
            list_version: 0,
            root: None,
            shared,
        }
    }

    pub async fn run(mut self) {
        loop {
            self.sync_once().await;
            sleep(SYNC_INTERVAL).await;
        }
    }

    async fn sync_once(&mut self) {
        // The addresses in the settings are included in case no listed entry exists any more.
        let configured = &self.shared.settings.entries;
        let candidates: Vec<SocketAddr> = self.entries.iter().chain(configured).copied().collect();
        let Some(entry) = candidates.choose(&mut rand::rng()).copied() else {
            return;
        };
        let request = SyncRequest {
            from: self.shared.settings.name.clone(),
            generation: self.root.as_ref().map_or(0, |r| r.generation),
            list_version: self.list_version,
            from_sidecar: true,
        };
        let response: Result<SyncResponse, _> = self
            .peers
            .call(entry, path::SYNC, &request, SYNC_TIMEOUT)
            .await;
        match response {
            Ok(response) => self.apply(response),
            Err(e) => log::debug!("config: sync with {entry} failed: {e}"),
        }
    }

    fn apply(&mut self, response: SyncResponse) {
        if let Some(list) = response.list {
            self.list_version = list.version;
            self.entries = list.live_entries().map(|b| b.addr).collect();
        }
        let Some(root) = response.root else {
            return;
        };
        match decide_offer(self.root.as_deref(), &root) {
            OfferDecision::Accept => {
                log::info!("config: generation {} in force", root.generation);
                self.shared.metrics.on_generation(root.generation);
                let root = Arc::new(root);
                self.root = Some(root.clone());
                self.shared.send(SidecarEvent::Configured(root));
            }
            OfferDecision::Conflict => {
                log::error!(
                    "config: generation {} rejected: its content differs from the one in force",
                    root.generation
                )
            }
            OfferDecision::Unchanged | OfferDecision::Stale { .. } => {}
        }
    }
}
