use {
    super::ViewSink,
    crate::{
        client::{ClientError, ClientStep, MessageStream, PeerClient},
        supervision::supervised,
    },
    chalkcart_protocol::peer::{path, AdapterDemand, EngineView, ViewUpdate},
    chalkcart_state::backends::BackendId,
    futures::StreamExt,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        runtime::Handle,
        sync::watch,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// A sidecar sends a view at least every 400 ms.
const VIEW_TIMEOUT: Duration = Duration::from_millis(1_000);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// The limit of the growing delay while a sidecar's messages can't be decoded.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// A sidecar drops the demand of an entry or a relay that sends nothing for 3 s.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(900);
const POST_TIMEOUT: Duration = Duration::from_millis(400);

/// The connections to the sidecars of engines.
pub struct SidecarLinks {
    runtime: Handle,
    sink: Arc<dyn ViewSink>,
    peers: PeerClient,
    sidecar_port: u16,
    links: HashMap<SocketAddr, Link>,
}

/// The connection to one sidecar; dropping it aborts its tasks.
struct Link {
    demand: watch::Sender<Option<AdapterDemand>>,
    sent_at: Option<Instant>,
    tasks: [JoinHandle<()>; 2],
}

impl Link {
    /// Returns whether a keep-alive is due.
    fn is_keep_alive_due(&self, now: Instant) -> bool {
        let sent = self.sent_at;
        sent.is_none_or(|at| now.saturating_duration_since(at) >= KEEP_ALIVE_INTERVAL)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl SidecarLinks {
    pub fn new(runtime: Handle, sink: Arc<dyn ViewSink>, sidecar_port: u16) -> Self {
        Self {
            runtime,
            sink,
            peers: PeerClient::new(),
            sidecar_port,
            links: HashMap::new(),
        }
    }

    /// Opens links to the sidecars of these engines and closes all others.
    pub fn set_engines(&mut self, engines: impl Iterator<Item = SocketAddr>) {
        let addrs: HashSet<SocketAddr> = engines.collect();
        self.links.retain(|addr, _| addrs.contains(addr));
        for addr in addrs {
            if !self.links.contains_key(&addr) {
                let link = self.open(addr);
                self.links.insert(addr, link);
            }
        }
    }

    /// Sends an engine's demand to its sidecar, unless an equivalent one was sent recently.
    pub fn send_demand(&mut self, engine: SocketAddr, demand: AdapterDemand, now: Instant) {
        let Some(link) = self.links.get_mut(&engine) else {
            return;
        };
        let last_demand = link.demand.borrow();
        let is_known = last_demand
            .as_ref()
            .is_some_and(|last| last.is_equivalent_to(&demand));
        drop(last_demand);
        if !is_known || link.is_keep_alive_due(now) {
            link.sent_at = Some(now);
            link.demand.send_replace(Some(demand));
        }
    }

    /// Repeats the last demand to each sidecar that has been sent nothing recently.
    pub fn send_keep_alives(&mut self, now: Instant) {
        let due = self
            .links
            .values_mut()
            .filter(|link| link.is_keep_alive_due(now));
        for link in due.filter(|link| link.demand.borrow().is_some()) {
            link.sent_at = Some(now);
            link.demand.send_modify(|_| {});
        }
    }

    fn open(&self, engine: SocketAddr) -> Link {
        let sidecar = SocketAddr::new(engine.ip(), self.sidecar_port);
        let (demand, demands) = watch::channel(None);
        let (peers, sink) = (self.peers.clone(), self.sink.clone());
        let views = move || read_views(peers.clone(), engine, sidecar, sink.clone());
        let (peers, sink) = (self.peers.clone(), self.sink.clone());
        let posts = move || {
            post_demands(
                peers.clone(),
                engine,
                sidecar,
                sink.clone(),
                demands.clone(),
            )
        };
        let tasks = [
            self.runtime.spawn(supervised("views", views)),
            self.runtime.spawn(supervised("demands", posts)),
        ];
        Link {
            demand,
            sent_at: None,
            tasks,
        }
    }
}

async fn read_views(
    peers: PeerClient,
    engine: SocketAddr,
    sidecar: SocketAddr,
    sink: Arc<dyn ViewSink>,
) {
    let mut delay = MIN_RETRY_DELAY;
    loop {
        let mut backend = BackendId::default();
        let e = match read_until_error(&peers, engine, sidecar, sink.as_ref(), &mut backend).await {
            Ok(()) => ClientError::new(ClientStep::Receive, sidecar, "the stream ended"),
            Err(e) => e,
        };
        if !backend.is_empty() {
            log::warn!("links: sidecar {sidecar} lost: {e}");
            sink.on_unresponsive(engine, &backend);
        }
        let is_decoded = !backend.is_empty() || e.step != ClientStep::Decode;
        delay = match is_decoded {
            true => MIN_RETRY_DELAY,
            false => (delay * 2).min(MAX_RETRY_DELAY),
        };
        if !is_decoded && delay == MIN_RETRY_DELAY * 2 {
            // Logged once, as it lasts until one of the two processes is replaced.
            log::warn!("links: messages of sidecar {sidecar} can't be decoded: {e}");
        }
        sleep(delay).await;
    }
}

async fn read_until_error(
    peers: &PeerClient,
    engine: SocketAddr,
    sidecar: SocketAddr,
    sink: &dyn ViewSink,
    backend: &mut BackendId,
) -> Result<(), ClientError> {
    let opened = timeout(VIEW_TIMEOUT, peers.stream(sidecar, path::VIEWS, &()));
    let timed_out = |_| {
        let detail = "no update in time";
        ClientError::new(ClientStep::Receive, sidecar, detail)
    };
    let mut updates: MessageStream<ViewUpdate> = opened.await.map_err(timed_out)??;
    let mut view = EngineView::default();
    loop {
        let Some(update) = timeout(VIEW_TIMEOUT, updates.next())
            .await
            .map_err(timed_out)?
        else {
            return Ok(());
        };
        let update = update?;
        match update {
            ViewUpdate::Figures(stats) => {
                sink.on_stats(engine, backend, stats);
                continue;
            }
            ViewUpdate::Unknown => continue,
            ViewUpdate::Whole(_) | ViewUpdate::Changed(_) => {}
        }
        view.apply(update);
        if backend.is_empty() && !view.backend.is_empty() {
            let version = peers.version(sidecar).map_or(0, |version| version.0);
            log::info!(peer_version = version; "links: sidecar {sidecar} reports {}", view.backend);
        }
        backend.clone_from(&view.backend);
        let reported = view.clone();
        // Recently held adapters are passed on once, as the sink remembers them.
        view.lately.clear();
        sink.on_view(engine, reported);
    }
}

async fn post_demands(
    peers: PeerClient,
    engine: SocketAddr,
    sidecar: SocketAddr,
    sink: Arc<dyn ViewSink>,
    mut demands: watch::Receiver<Option<AdapterDemand>>,
) {
    let mut was_accepted = true;
    // An error means that the link was closed.
    while demands.changed().await.is_ok() {
        let Some(demand) = demands.borrow_and_update().clone() else {
            continue;
        };
        let posted: Result<bool, _> = peers
            .call(sidecar, path::DEMAND, &demand, POST_TIMEOUT)
            .await;
        match posted {
            Ok(_) if was_accepted => {}
            Ok(_) => {
                log::info!("links: sidecar {sidecar} takes demands again");
                was_accepted = true;
                sink.on_demand_result(engine, true);
            }
            Err(e) => {
                if was_accepted {
                    log::warn!("links: sidecar {sidecar} takes no demands: {e}");
                }
                was_accepted = false;
                // Each failure is reported, as the engine may have been replaced.
                sink.on_demand_result(engine, false);
                sleep(MIN_RETRY_DELAY).await;
                demands.mark_changed();
            }
        }
    }
}
