use {
    super::{relay_outbox::RelayOutbox, ViewSink},
    crate::{
        client::{ClientError, ClientStep, HttpClient, MessageStream, PeerClient},
        clock,
        supervision::supervised,
    },
    bytes::Bytes,
    chalkcart_coordination::relay::{RelayCandidate, RelaySelector, RelayedEvent, RelayedViews},
    chalkcart_protocol::peer::{path, AdapterDemand, RelayRequest, RelayUpdate},
    chalkcart_state::ids::{BoxName, ZoneName},
    futures::StreamExt,
    http::Method,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
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

/// Identity of a reader and the relays that it uses.
#[derive(Debug, Clone)]
pub struct RelayLinkSettings {
    /// The name of the reader's box.
    pub reader: BoxName,
    /// Whether the reader is a relay itself.
    pub is_relay: bool,
    /// The zone whose relays are used.
    pub zone: ZoneName,
    /// Sidecars listen on this port at the addresses of their engines.
    pub sidecar_port: u16,
    /// Time without an update of any relay after which all engines are reported as unresponsive;
    /// `None` to keep what was reported last.
    pub lost_after: Option<Duration>,
}

/// The link of an entry, or of a relay, to the relay that it uses. Its task is aborted on drop.
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
    pub fn open(runtime: &Handle, settings: RelayLinkSettings, sink: Arc<dyn ViewSink>) -> Self {
        let outbox = RelayOutbox::new(settings.reader.clone(), settings.is_relay);
        let outbox = Arc::new(outbox);
        let used = outbox.clone();
        let read = move || {
            let reader = RelayReader {
                selector: RelaySelector::new(&settings.reader, &settings.zone),
                settings: settings.clone(),
                sink: sink.clone(),
                peers: PeerClient::new(),
                http: HttpClient::new(),
                outbox: used.clone(),
                views: RelayedViews::default(),
                updated_at: clock::now(),
            };
            reader.run()
        };
        let task = runtime.spawn(supervised("relay link", read));
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
    settings: RelayLinkSettings,
    sink: Arc<dyn ViewSink>,
    peers: PeerClient,
    http: HttpClient,
    outbox: Arc<RelayOutbox>,
    selector: RelaySelector,
    views: RelayedViews,
    /// The time of the last update of any relay.
    updated_at: Instant,
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
                self.forget_lost();
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
        let mut is_complete = false;
        self.views.on_relay_changed();
        loop {
            let update = match next_update(&mut updates, relay).await {
                Ok(update) => update,
                Err(e) => return RelayEnd::Failed(e),
            };
            self.apply(update);
            if !is_complete && clock::elapsed(opened_at) >= COMPLETE_AFTER {
                is_complete = true;
                let outbox = &self.outbox;
                let lost = self.views.forget_unreported(|e| outbox.is_candidate(e));
                self.pass_on(lost);
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
            entry: self.settings.reader.clone(),
            is_relay: self.settings.is_relay,
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
                log::info!(relay = chosen.to_string().as_str(), cause = e.to_string().as_str();
                    "links: preferred relay does not respond");
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

    fn apply(&mut self, update: RelayUpdate) {
        let now = clock::now();
        self.updated_at = now;
        let outbox = self.outbox.clone();
        let news = update.news.into_iter();
        let events = news.filter_map(|update| {
            let is_watched = outbox.is_candidate(&update.engine);
            self.views.apply(update, is_watched, now)
        });
        let events: Vec<RelayedEvent> = events.collect();
        self.pass_on(events);
    }

    /// Reports all engines as unresponsive if no relay has sent an update for too long.
    fn forget_lost(&mut self) {
        let silence = clock::elapsed(self.updated_at);
        if self
            .settings
            .lost_after
            .is_some_and(|limit| silence >= limit)
        {
            let outbox = &self.outbox;
            let lost = self.views.forget_all(|e| outbox.is_candidate(e));
            self.pass_on(lost);
        }
    }

    fn pass_on(&self, events: Vec<RelayedEvent>) {
        for event in events {
            match event {
                RelayedEvent::View(engine, view) => self.sink.on_view(engine, *view),
                RelayedEvent::Stats(engine, backend, stats) => {
                    self.sink.on_stats(engine, &backend, stats);
                }
                RelayedEvent::Lost(engine, backend) => self.sink.on_unresponsive(engine, &backend),
            }
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
