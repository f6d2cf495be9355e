use {
    super::{control::ControlHandle, fleet_links::LinkSettings, relay_outbox::RelayOutbox},
    bytes::Bytes,
    chalkcart_coordination::relay::{RelayCandidate, RelaySelector},
    chalkcart_protocol::peer::{
        path, AdapterDemand, EngineUpdate, EngineView, EngineViewState, RelayRequest, RelayUpdate,
        ViewUpdate,
    },
    chalkcart_transport::{
        client::{ClientError, ClientStep, HttpClient, MessageStream, PeerClient},
        clock,
        links::ViewSink,
    },
    futures::StreamExt,
    http::Method,
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

/// A relay sends an update at least every 200 ms.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for a relay to show that it responds; the updates of the current one wait meanwhile.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay before the next relay is tried.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time between two checks whether another relay should be used.
const SELECTION_INTERVAL: Duration = Duration::from_secs(2);
/// After this time on a new relay, engines that it has not reported are forgotten.
const COMPLETE_AFTER: Duration = Duration::from_millis(1_500);

/// An entry's link to the relay that it uses. Its task is aborted on drop.
pub struct RelayLink {
    outbox: Arc<RelayOutbox>,
    task: JoinHandle<()>,
}

impl Drop for RelayLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RelayLink {
    pub fn open(runtime: &Handle, settings: &LinkSettings, control: ControlHandle) -> Self {
        let outbox = Arc::new(RelayOutbox::new(settings.entry.clone()));
        let reader = RelayReader {
            settings: settings.clone(),
            control,
            peers: PeerClient::new(),
            http: HttpClient::new(),
            outbox: outbox.clone(),
            selector: RelaySelector::new(&settings.entry, &settings.zone),
            views: HashMap::new(),
        };
        let task = runtime.spawn(reader.run());
        Self { outbox, task }
    }

    /// Sets the engines that the relay is used for.
    pub fn set_engines(&self, engines: Vec<RelayCandidate>) {
        self.outbox.set_candidates(engines);
    }

    /// Sends the demand of an engine through the relay.
    pub fn send_demand(&self, engine: SocketAddr, demand: AdapterDemand) {
        self.outbox.set_demand(engine, demand);
    }
}

/// The reason why a relay is no longer used.
enum RelayEnd {
    Failed(ClientError),
    /// Another relay is preferred.
    Outranked,
}

/// Selects relays and reads their updates.
struct RelayReader {
    settings: LinkSettings,
    control: ControlHandle,
    peers: PeerClient,
    http: HttpClient,
    outbox: Arc<RelayOutbox>,
    selector: RelaySelector,
    /// The latest view of each engine.
    views: HashMap<SocketAddr, EngineView>,
}

impl RelayReader {
    async fn run(mut self) {
        let mut current = None;
        loop {
            let now = clock::now();
            let candidates = self.outbox.candidates();
            let chosen = self.selector.select(&candidates, current, now);
            let Some(engine) = chosen else {
                sleep(SELECTION_INTERVAL).await;
                continue;
            };
            current = Some(engine);
            let relay = SocketAddr::new(engine.ip(), self.settings.sidecar_port);
            log::info!(relay = relay.to_string().as_str(), engines = candidates.len();
                "links: relay selected");
            let end = self.use_relay(engine, relay).await;
            if let RelayEnd::Failed(e) = end {
                log::warn!(relay = relay.to_string().as_str(), cause = e.to_string().as_str();
                    "links: relay failed");
                self.on_relay_failed(engine, &e);
                current = None;
                sleep(RETRY_DELAY).await;
            }
        }
    }

    fn on_relay_failed(&mut self, engine: SocketAddr, e: &ClientError) {
        match e.step {
            ClientStep::Refused => self.selector.on_refusal(engine, clock::now()),
            _ => self.selector.on_failure(engine, clock::now()),
        }
    }

    async fn use_relay(&mut self, engine: SocketAddr, relay: SocketAddr) -> RelayEnd {
        let (peers, outbox) = (self.peers.clone(), self.outbox.clone());
        tokio::select! {
            e = outbox.run(&peers, relay) => RelayEnd::Failed(e),
            end = self.read_from(engine, relay) => end,
        }
    }

    async fn read_from(&mut self, engine: SocketAddr, relay: SocketAddr) -> RelayEnd {
        let mut updates = match self.open(relay).await {
            Ok(updates) => updates,
            Err(e) => return RelayEnd::Failed(e),
        };
        let (opened_at, mut selected_at) = (clock::now(), clock::now());
        let mut reported = Some(HashSet::new());
        loop {
            let update = match next_update(&mut updates, relay).await {
                Ok(update) => update,
                Err(e) => return RelayEnd::Failed(e),
            };
            if let Some(reported) = &mut reported {
                reported.extend(update.news.iter().map(|update| update.engine));
            }
            let updates = update.news.into_iter();
            updates.for_each(|update| self.apply(update));
            if clock::elapsed(opened_at) >= COMPLETE_AFTER {
                reported
                    .take()
                    .into_iter()
                    .for_each(|reported| self.retain_engines(&reported));
            }
            if clock::elapsed(selected_at) >= SELECTION_INTERVAL {
                selected_at = clock::now();
                if self.is_outranked(engine).await {
                    return RelayEnd::Outranked;
                }
            }
        }
    }

    async fn open(&self, relay: SocketAddr) -> Result<MessageStream<RelayUpdate>, ClientError> {
        let request = RelayRequest {
            entry: self.settings.entry.clone(),
        };
        let stream = self.peers.stream(relay, path::RELAY_VIEWS, &request);
        timeout(UPDATE_TIMEOUT, stream)
            .await
            .map_err(|_| timeout_error(relay))?
    }

    /// Returns whether another relay is preferred and responds. The current one is not left for
    /// a relay that is known from the list alone, as whole zones may be silent.
    async fn is_outranked(&mut self, engine: SocketAddr) -> bool {
        let candidates = self.outbox.candidates();
        let chosen = self
            .selector
            .select(&candidates, Some(engine), clock::now());
        let Some(chosen) = chosen.filter(|chosen| *chosen != engine) else {
            return false;
        };
        match self.check_health(chosen).await {
            Ok(_) => true,
            Err(e) => {
                self.on_relay_failed(chosen, &e);
                false
            }
        }
    }

    async fn check_health(&self, engine: SocketAddr) -> Result<(), ClientError> {
        let relay = SocketAddr::new(engine.ip(), self.settings.sidecar_port);
        let (method, path) = (Method::GET, "/healthz");
        let call = self.http.exchange(
            relay,
            method,
            path,
            "text/plain",
            Bytes::new(),
            HEALTH_TIMEOUT,
        );
        call.await.map(|_| ())
    }

    fn apply(&mut self, update: EngineUpdate) {
        let (engine, age_ms) = (update.engine, update.age_ms);
        match update.word {
            EngineViewState::Silent => self.forget(engine),
            EngineViewState::Unknown | EngineViewState::View(ViewUpdate::Unknown) => {}
            EngineViewState::View(ViewUpdate::Figures(mut stats)) => {
                stats.age_ms = age_ms;
                if let Some(view) = self.views.get(&engine) {
                    self.control.on_stats(engine, &view.backend, stats);
                }
            }
            EngineViewState::View(update) => {
                let view = self.views.entry(engine).or_default();
                view.apply(update);
                view.figures.age_ms = age_ms;
                let reported = view.clone();
                // The dispatcher keeps the recently held adapters, so they are reported only once.
                view.lately.clear();
                self.control.on_view(engine, reported);
            }
        }
    }

    /// Forgets the engines that are not in `reported`.
    fn retain_engines(&mut self, reported: &HashSet<SocketAddr>) {
        let views = self.views.keys();
        let missing = views.filter(|engine| !reported.contains(engine));
        let missing: Vec<SocketAddr> = missing.copied().collect();
        missing.into_iter().for_each(|engine| self.forget(engine));
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
    let next = timeout(UPDATE_TIMEOUT, updates.next()).await;
    match next.ok().flatten() {
        Some(update) => update,
        None => Err(timeout_error(relay)),
    }
}

fn timeout_error(relay: SocketAddr) -> ClientError {
    ClientError::new(ClientStep::Receive, relay, "silent")
}
