use {
    super::{
        control::ControlHandle, fleet_links::LinkSettings, relay_outbox::RelayOutbox,
        store_relays::StoreRelays,
    },
    chalkcart_coordination::relay::{RelayCandidate, RelaySelector},
    chalkcart_protocol::peer::{
        path, AdapterDemand, EngineUpdate, EngineView, EngineViewState, RelayRequest, RelayUpdate,
        ViewUpdate,
    },
    chalkcart_transport::{
        client::{ClientError, ClientStep, MessageStream, PeerClient},
        clock,
        links::ViewSink,
    },
    futures::StreamExt,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        runtime::Handle,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// a relay speaks each 200 ms at least
const SILENCE: Duration = Duration::from_millis(700);
/// pause before the next relay is tried
const RETRY: Duration = Duration::from_millis(20);
/// time between two looks whether another relay is to be used
const REVIEW: Duration = Duration::from_secs(2);
/// a relay that has not heard a sidecar for this long will not
const ALL_HEARD_AFTER: Duration = Duration::from_millis(1_500);

/// an entry's link to the relay that it uses; its task ends when it is dropped
pub struct RelayLink {
    outbox: Arc<RelayOutbox>,
    store_relays: Arc<StoreRelays>,
    task: JoinHandle<()>,
}

impl Drop for RelayLink {
    fn drop(&mut self) {
        self.task.abort();
        self.store_relays.set(Vec::new());
    }
}

impl RelayLink {
    pub fn open(runtime: &Handle, settings: &LinkSettings, control: ControlHandle) -> Self {
        let outbox = Arc::new(RelayOutbox::new(settings.entry.clone()));
        let reader = RelayReader {
            settings: settings.clone(),
            control,
            peers: PeerClient::new(),
            outbox: outbox.clone(),
            choice: RelaySelector::new(&settings.entry, &settings.zone),
            views: HashMap::new(),
        };
        let task = runtime.spawn(reader.run());
        Self {
            outbox,
            store_relays: settings.store_relays.clone(),
            task,
        }
    }

    /// hear the sidecars of these engines, and of no other
    pub fn set_engines(&self, engines: Vec<RelayCandidate>) {
        self.outbox.set_candidates(engines);
    }
    pub fn send(&self, engine: SocketAddr, demand: AdapterDemand) {
        self.outbox.set_demand(engine, demand);
    }
}

/// why a relay is no longer used
enum End {
    Failed(ClientError),
    /// another one is to be used
    Outranked,
}

/// reads the news of one relay after the other
struct RelayReader {
    settings: LinkSettings,
    control: ControlHandle,
    peers: PeerClient,
    outbox: Arc<RelayOutbox>,
    choice: RelaySelector,
    /// what is known of each engine
    views: HashMap<SocketAddr, EngineView>,
}

impl RelayReader {
    async fn run(mut self) {
        let mut present = None;
        loop {
            let now = clock::now();
            let candidates = self.outbox.candidates();
            let chosen = self.choice.select(&candidates, present, now);
            let Some(engine) = chosen else {
                sleep(REVIEW).await;
                continue;
            };
            present = Some(engine);
            let relay = SocketAddr::new(engine.ip(), self.settings.sidecar_port);
            log::info!(relay = relay.to_string().as_str(), engines = candidates.len();
                "links: relay taken");
            let end = self.use_relay(engine, relay).await;
            if let End::Failed(e) = end {
                log::warn!(relay = relay.to_string().as_str(), cause = e.to_string().as_str();
                    "links: relay lost");
                self.choice.on_failure(engine, clock::now());
                present = None;
                sleep(RETRY).await;
            }
        }
    }

    async fn use_relay(&mut self, engine: SocketAddr, relay: SocketAddr) -> End {
        let (peers, outbox) = (self.peers.clone(), self.outbox.clone());
        tokio::select! {
            e = outbox.run(&peers, relay) => End::Failed(e),
            end = self.read_from(engine, relay) => end,
        }
    }

    async fn read_from(&mut self, engine: SocketAddr, relay: SocketAddr) -> End {
        let mut updates = match self.open(relay).await {
            Ok(updates) => updates,
            Err(e) => return End::Failed(e),
        };
        let (since, mut reviewed) = (clock::now(), clock::now());
        let (mut heard, mut is_first) = (Some(HashSet::new()), true);
        loop {
            let update = match next_update(&mut updates, relay).await {
                Ok(update) => update,
                Err(e) => return End::Failed(e),
            };
            if is_first {
                is_first = false;
                self.set_store_relays(relay);
            }
            if let Some(heard) = &mut heard {
                heard.extend(update.news.iter().map(|news| news.engine));
            }
            update.news.into_iter().for_each(|news| self.take_in(news));
            if clock::elapsed(since) >= ALL_HEARD_AFTER {
                heard
                    .take()
                    .into_iter()
                    .for_each(|heard| self.forget_but(&heard));
            }
            if clock::elapsed(reviewed) >= REVIEW {
                reviewed = clock::now();
                self.set_store_relays(relay);
                if self.is_outranked(engine) {
                    return End::Outranked;
                }
            }
        }
    }

    async fn open(&self, relay: SocketAddr) -> Result<MessageStream<RelayUpdate>, ClientError> {
        let ask = RelayRequest {
            entry: self.settings.entry.clone(),
        };
        let stream = self.peers.stream(relay, path::RELAY_VIEWS, &ask);
        timeout(SILENCE, stream).await.map_err(|_| silent(relay))?
    }

    /// the zone's reader of the store first, then the relay that is heard anyway
    fn set_store_relays(&mut self, relay: SocketAddr) {
        let candidates = self.outbox.candidates();
        let reader = self.choice.select_store_reader(&candidates, clock::now());
        let port = self.settings.sidecar_port;
        let reader = reader.map(|engine| SocketAddr::new(engine.ip(), port));
        let mut ranked: Vec<SocketAddr> = reader.into_iter().collect();
        if !ranked.contains(&relay) {
            ranked.push(relay);
        }
        self.settings.store_relays.set(ranked);
    }

    fn is_outranked(&mut self, engine: SocketAddr) -> bool {
        let candidates = self.outbox.candidates();
        let chosen = self.choice.select(&candidates, Some(engine), clock::now());
        chosen != Some(engine)
    }

    fn take_in(&mut self, news: EngineUpdate) {
        let (engine, age_ms) = (news.engine, news.age_ms);
        match news.word {
            EngineViewState::Silent => self.forget(engine),
            EngineViewState::Unknown | EngineViewState::View(ViewUpdate::Unknown) => {}
            EngineViewState::View(ViewUpdate::Figures(mut figures)) => {
                figures.age_ms = age_ms;
                if let Some(view) = self.views.get(&engine) {
                    self.control.on_stats(engine, &view.backend, figures);
                }
            }
            EngineViewState::View(update) => {
                let view = self.views.entry(engine).or_default();
                view.apply(update);
                view.figures.age_ms = age_ms;
                let told = view.clone();
                // told once; the dispatcher remembers
                view.lately.clear();
                self.control.on_view(engine, told);
            }
        }
    }

    /// forget engines of which this relay has heard nothing
    fn forget_but(&mut self, heard: &HashSet<SocketAddr>) {
        let unheard = self.views.keys().filter(|engine| !heard.contains(engine));
        let unheard: Vec<SocketAddr> = unheard.copied().collect();
        unheard.into_iter().for_each(|engine| self.forget(engine));
    }

    fn forget(&mut self, engine: SocketAddr) {
        if let Some(view) = self.views.remove(&engine) {
            self.control.on_unresponsive(engine, &view.backend);
        }
    }
}

async fn next_update(
    updates: &mut MessageStream<RelayUpdate>,
    relay: SocketAddr,
) -> Result<RelayUpdate, ClientError> {
    let next = timeout(SILENCE, updates.next()).await;
    match next.ok().flatten() {
        Some(update) => update,
        None => Err(silent(relay)),
    }
}

fn silent(relay: SocketAddr) -> ClientError {
    ClientError::new(ClientStep::Receive, relay, "silent")
}
