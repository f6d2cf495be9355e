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

/// how often a peer is asked, and the list read by watchers
const PERIOD: Duration = Duration::from_secs(1);
/// how long one watch of the platform's root lasts
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// pause after a failed watch
const WATCH_PAUSE: Duration = Duration::from_millis(500);
const SYNC_TIMEOUT: Duration = Duration::from_millis(500);
/// without a word from a watcher for this long, the platform is read
const WATCHER_PATIENCE: Duration = Duration::from_secs(3);
/// peers that a starting process asks
const PEERS_AT_START: usize = 8;
/// rounds in which no listed peer answers before the platform is trusted
/// alone
const START_ROUNDS_ALONE: u32 = 10;
/// pause between two rounds of the start
const START_PAUSE: Duration = Duration::from_millis(300);

/// keeps the configuration and the list up to date
#[derive(Clone)]
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

    /// get a first configuration, then follow for ever
    pub async fn run(self) {
        self.start().await;
        self.shared.set_synced();
        let watching = self.clone();
        tokio::spawn(async move { watching.watch_platform().await });
        self.ask_peers().await;
    }

    /// ask peers beside the platform, so that a platform that lags can't
    /// bring back what the fleet has left behind
    async fn start(&self) {
        let mut rounds_alone = 0;
        loop {
            self.read_list().await;
            let from_platform = self.platform.watch_root(0, Duration::ZERO).await;
            let (mut offers, answered) = self.offers_of_peers().await;
            let is_alone = answered == 0 && !self.some_peers(1).is_empty();
            rounds_alone += u32::from(is_alone);
            if let Ok(Some(root)) = from_platform {
                offers.push((root, self.platform_shards()));
            }
            if !is_alone || rounds_alone >= START_ROUNDS_ALONE {
                self.offer_highest(offers).await;
            }
            if self.active_config().generation() > 0 {
                return;
            }
            sleep(START_PAUSE).await;
        }
    }

    async fn offer_highest(&self, mut offers: Vec<(Root, Box<dyn ShardSource>)>) {
        // the sort keeps peers before the platform under one generation
        offers.sort_by_key(|(root, _)| std::cmp::Reverse(root.generation));
        for (root, source) in offers {
            self.offer(root, source.as_ref()).await;
        }
    }

    /// roots that peers have in force, and how many peers answered
    async fn offers_of_peers(&self) -> (Vec<(Root, Box<dyn ShardSource>)>, usize) {
        let peers = self.some_peers(PEERS_AT_START);
        let answers = join_all(peers.iter().map(|peer| self.ask(*peer))).await;
        let answered = answers.iter().flatten().count();
        let mut offers = Vec::new();
        for (peer, answer) in peers.into_iter().zip(answers) {
            let Some(answer) = answer else { continue };
            if let Some(list) = answer.list {
                self.take_list(list);
            }
            if let Some(root) = answer.root {
                offers.push((root, self.peer_shards(peer)));
            }
        }
        (offers, answered)
    }

    /// each second: one peer is asked; watchers read the list as well
    async fn ask_peers(&self) {
        let mut watcher_heard = clock::now();
        loop {
            sleep(PERIOD).await;
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
                watcher_heard = clock::now();
            } else {
                self.sync_with_any().await;
            }
            if clock::elapsed(watcher_heard) > WATCHER_PATIENCE {
                log::warn!("config: no watcher answers, the platform is read");
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
                sleep(PERIOD).await;
            } else if !self.read_root(WATCH_WAIT).await {
                sleep(WATCH_PAUSE).await;
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
        if let Some(peer) = self.some_peers(1).first() {
            self.sync(*peer).await;
        }
    }

    async fn sync(&self, peer: SocketAddr) -> bool {
        let Some(answer) = self.ask(peer).await else {
            return false;
        };
        if let Some(list) = answer.list {
            self.take_list(list);
        }
        if let Some(root) = answer.root {
            self.offer(root, self.peer_shards(peer).as_ref()).await;
        }
        true
    }

    async fn ask(&self, peer: SocketAddr) -> Option<SyncResponse> {
        let ask = SyncRequest {
            from: self.shared.settings.name.clone(),
            generation: self.active_config().generation(),
            list_version: self.active_config().list().version,
            from_sidecar: false,
        };
        let answer = self.peers.call(peer, path::SYNC, &ask, SYNC_TIMEOUT).await;
        if let Err(e) = &answer {
            log::debug!("config: peer did not answer: {e}");
        }
        answer.ok()
    }

    async fn read_list(&self) {
        match self.platform.boxes().await {
            Ok(list) => self.take_list(list),
            Err(e) => log::debug!("config: list not read: {e}"),
        }
    }

    async fn read_root(&self, wait: Duration) -> bool {
        let known = self.active_config().generation();
        match self.platform.watch_root(known, wait).await {
            Ok(Some(root)) => self.offer(root, self.platform_shards().as_ref()).await,
            Ok(None) => true,
            Err(e) => {
                log::debug!("config: root not read: {e}");
                false
            }
        }
    }

    async fn offer(&self, root: Root, source: &dyn ShardSource) -> bool {
        let generation = root.generation;
        match self.active_config().offer(root, source).await {
            Ok(OfferDecision::Accept) => {
                self.shared.on_configuration();
                true
            }
            Ok(OfferDecision::Stale { offered }) => {
                log::warn!("config: generation {offered} offered, a higher one is in force");
                false
            }
            Ok(OfferDecision::Unchanged | OfferDecision::Conflict) => true,
            Err(ConfigOfferError::Conflict(generation)) => {
                log::error!("config: another content under generation {generation} refused");
                false
            }
            Err(e) => {
                log::warn!("config: generation {generation} not taken: {e}");
                false
            }
        }
    }

    fn take_list(&self, list: FleetList) {
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

    fn some_peers(&self, count: usize) -> Vec<SocketAddr> {
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
