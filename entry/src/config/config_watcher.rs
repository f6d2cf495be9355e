use {
    super::{ActiveConfig, ConfigOfferError, PeerShards, PlatformShards, ShardSource},
    crate::{app::Shared, control::EntryEvent},
    chalkcart_coordination::{config::OfferDecision, membership::select_watchers},
    chalkcart_protocol::peer::{path, SyncRequest, SyncResponse},
    chalkcart_state::{config::Root, fleet::FleetList},
    chalkcart_transport::{
        client::PeerClient,
        clock,
        platform::{BoxList, ConfigSource, HttpPlatform},
    },
    futures::future::join_all,
    rand::seq::{IndexedRandom, IteratorRandom},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Interval between polls of peers, and between a watcher's reads of the list of boxes.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// How long the platform holds a long poll for a newer root.
const WATCH_HOLD: Duration = Duration::from_secs(5);
/// Delay after a failed long poll of the platform.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);
const SYNC_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a response from a watcher after which the platform is read directly.
const WATCHER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of peers polled in each round at startup.
const STARTUP_PEERS: usize = 8;
/// Startup rounds without a response from any known peer after which the platform alone is
/// trusted.
const MAX_STARTUP_ROUNDS_ALONE: u32 = 10;
/// Delay between two startup rounds.
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Keeps the configuration and the list of boxes up to date.
///
/// The watchers of an availability zone read the platform. The other entries of the zone poll
/// a watcher; while none responds, they poll any peer, and after `WATCHER_TIMEOUT` also read
/// the platform.
pub struct ConfigWatcher {
    shared: Arc<Shared>,
    platform: Arc<HttpPlatform>,
    peers: PeerClient,
}

impl ConfigWatcher {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            platform: Arc::new(HttpPlatform::new(shared.settings.platform)),
            peers: PeerClient::new(),
            shared,
        }
    }

    /// Obtains a first configuration, then watches for newer ones until the process ends.
    pub async fn run(self) {
        self.load_initial().await;
        self.shared.set_synced();
        // in one task, so that both start again after a panic of either
        tokio::join!(self.watch_platform(), self.poll_peers());
    }

    /// Obtains the first configuration from the platform and from peers, so that a stale
    /// platform can't restore a generation that the fleet has already replaced.
    async fn load_initial(&self) {
        let mut rounds_alone = 0;
        loop {
            self.read_list().await;
            let from_platform = self.platform.watch_root(0, Duration::ZERO).await;
            let (mut offers, response_count) = self.peer_offers().await;
            let is_alone = response_count == 0 && !self.sample_peers(1).is_empty();
            rounds_alone += u32::from(is_alone);
            if let Ok(Some(root)) = from_platform {
                offers.push((root, self.platform_shards()));
            }
            if !is_alone || rounds_alone >= MAX_STARTUP_ROUNDS_ALONE {
                self.offer_highest(offers).await;
            }
            if self.active_config().generation() > 0 {
                return;
            }
            sleep(STARTUP_RETRY_DELAY).await;
        }
    }

    async fn offer_highest(&self, mut offers: Vec<(Root, Box<dyn ShardSource>)>) {
        // The sort is stable, so peers stay before the platform within a generation.
        offers.sort_by_key(|(root, _)| std::cmp::Reverse(root.generation));
        for (root, source) in offers {
            self.offer(root, source.as_ref()).await;
        }
    }

    /// Returns the roots that peers have in force, and how many peers responded.
    async fn peer_offers(&self) -> (Vec<(Root, Box<dyn ShardSource>)>, usize) {
        let peers = self.sample_peers(STARTUP_PEERS);
        let responses = join_all(peers.iter().map(|peer| self.request_sync(*peer))).await;
        let response_count = responses.iter().flatten().count();
        let mut offers = Vec::new();
        for (peer, response) in peers.into_iter().zip(responses) {
            let Some(response) = response else { continue };
            if let Some(list) = response.list {
                self.apply_list(list);
            }
            if let Some(root) = response.root {
                offers.push((root, self.peer_shards(peer)));
            }
        }
        (offers, response_count)
    }

    /// Polls a watcher, or any peer if this entry is a watcher itself. Watchers also read the
    /// list of boxes.
    async fn poll_peers(&self) {
        let mut watcher_responded_at = clock::now();
        loop {
            sleep(POLL_INTERVAL).await;
            let watchers = self.watchers();
            let is_watcher = watchers
                .iter()
                .any(|(name, _)| *name == self.shared.settings.name);
            if is_watcher || watchers.is_empty() {
                self.read_list().await;
                self.sync_with_any().await;
                continue;
            }
            if self.sync_with_watcher(&watchers).await {
                watcher_responded_at = clock::now();
            } else {
                self.sync_with_any().await;
            }
            if clock::elapsed(watcher_responded_at) > WATCHER_TIMEOUT {
                log::warn!("config: no watcher responds; reading the platform directly");
                self.read_list().await;
                self.read_root(Duration::ZERO).await;
            }
        }
    }

    async fn watch_platform(&self) {
        loop {
            let watchers = self.watchers();
            let is_watcher = watchers
                .iter()
                .any(|(name, _)| *name == self.shared.settings.name);
            if !is_watcher && !watchers.is_empty() {
                sleep(POLL_INTERVAL).await;
            } else if !self.read_root(WATCH_HOLD).await {
                sleep(WATCH_RETRY_DELAY).await;
            }
        }
    }

    async fn sync_with_watcher(&self, watchers: &[(String, SocketAddr)]) -> bool {
        let chosen = watchers.choose(&mut rand::rng()).map(|(_, addr)| *addr);
        match chosen {
            Some(addr) => self.sync(addr).await,
            None => false,
        }
    }

    async fn sync_with_any(&self) {
        if let Some(peer) = self.sample_peers(1).first() {
            self.sync(*peer).await;
        }
    }

    async fn sync(&self, peer: SocketAddr) -> bool {
        let Some(response) = self.request_sync(peer).await else {
            return false;
        };
        if let Some(list) = response.list {
            self.apply_list(list);
        }
        if let Some(root) = response.root {
            self.offer(root, self.peer_shards(peer).as_ref()).await;
        }
        true
    }

    async fn request_sync(&self, peer: SocketAddr) -> Option<SyncResponse> {
        let request = SyncRequest {
            from: self.shared.settings.name.clone(),
            generation: self.active_config().generation(),
            list_version: self.active_config().list().version,
            from_sidecar: false,
        };
        let response = self
            .peers
            .call(peer, path::SYNC, &request, SYNC_TIMEOUT)
            .await;
        if let Err(e) = &response {
            log::debug!("config: sync with {peer} failed: {e}");
        }
        response.ok()
    }

    async fn read_list(&self) {
        match self.platform.boxes().await {
            Ok(list) => self.apply_list(list),
            Err(e) => log::debug!("config: cannot read the list of boxes: {e}"),
        }
    }

    /// Reads the root from the platform and offers it; returns false on failure.
    async fn read_root(&self, wait: Duration) -> bool {
        let known = self.active_config().generation();
        match self.platform.watch_root(known, wait).await {
            Ok(Some(root)) => self.offer(root, self.platform_shards().as_ref()).await,
            Ok(None) => true,
            Err(e) => {
                log::debug!("config: cannot read the root: {e}");
                false
            }
        }
    }

    /// Offers a root to the active configuration; returns false if it was rejected.
    async fn offer(&self, root: Root, source: &dyn ShardSource) -> bool {
        let generation = root.generation;
        match self.active_config().offer(root, source).await {
            Ok(OfferDecision::Accept) => {
                self.shared.on_configuration();
                true
            }
            Ok(OfferDecision::Stale { offered }) => {
                log::warn!("config: generation {offered} offered; a higher one is in force");
                false
            }
            Ok(OfferDecision::Unchanged | OfferDecision::Conflict) => true,
            Err(ConfigOfferError::Conflict(generation)) => {
                log::error!(
                    "config: generation {generation} rejected: its content differs from the one \
                     in force"
                );
                false
            }
            Err(e) => {
                log::warn!("config: generation {generation} could not be applied: {e}");
                false
            }
        }
    }

    fn apply_list(&self, list: FleetList) {
        if self.active_config().offer_list(list) {
            let list = self.active_config().list();
            log::info!(
                "fleet: list {} with {} boxes",
                list.version,
                list.boxes.len()
            );
            self.shared.control.send(EntryEvent::ListUpdated(list));
        }
    }

    fn watchers(&self) -> Vec<(String, SocketAddr)> {
        let list = self.active_config().list();
        let watchers = select_watchers(&list, &self.shared.settings.zone);
        watchers.iter().map(|b| (b.name.clone(), b.addr)).collect()
    }

    /// Returns up to `count` random entries other than this one, from the list of boxes and
    /// the settings.
    fn sample_peers(&self, count: usize) -> Vec<SocketAddr> {
        let list = self.active_config().list();
        let own = self.shared.settings.listen;

        let listed = list.live_entries().map(|b| b.addr);
        let seeds = self.shared.settings.peers.iter().copied();
        let mut all: Vec<SocketAddr> = listed.chain(seeds).filter(|a| *a != own).collect();
        all.sort();
        all.dedup();
        all.into_iter().sample(&mut rand::rng(), count)
    }

    fn active_config(&self) -> &ActiveConfig {
        &self.shared.active_config
    }
    fn platform_shards(&self) -> Box<dyn ShardSource> {
        Box::new(PlatformShards(self.platform.clone()))
    }
    fn peer_shards(&self, peer: SocketAddr) -> Box<dyn ShardSource> {
        Box::new(PeerShards {
            peers: self.peers.clone(),
            peer,
        })
    }
}
