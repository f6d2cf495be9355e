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

/// how often an entry is asked for a newer configuration
const PERIOD: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_millis(500);

/// follows the configuration's root through the entries
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
            self.ask_one().await;
            sleep(PERIOD).await;
        }
    }

    async fn ask_one(&mut self) {
        // the settings' addresses serve when the list's are all gone
        let seeds = &self.shared.settings.entries;
        let all: Vec<SocketAddr> = self.entries.iter().chain(seeds).copied().collect();
        let Some(entry) = all.choose(&mut rand::rng()).copied() else {
            return;
        };
        let ask = SyncRequest {
            from: self.shared.settings.name.clone(),
            generation: self.root.as_ref().map_or(0, |r| r.generation),
            list_version: self.list_version,
            from_sidecar: true,
        };
        let answer: Result<SyncResponse, _> =
            self.peers.call(entry, path::SYNC, &ask, TIMEOUT).await;
        match answer {
            Ok(answer) => self.take(answer),
            Err(e) => log::debug!("config: no answer: {e}"),
        }
    }

    fn take(&mut self, answer: SyncResponse) {
        if let Some(list) = answer.list {
            self.list_version = list.version;
            self.entries = list.live_entries().map(|b| b.addr).collect();
        }
        let Some(root) = answer.root else {
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
                    "config: another content under generation {}",
                    root.generation
                )
            }
            OfferDecision::Unchanged | OfferDecision::Stale { .. } => {}
        }
    }
}
