use {
    super::ViewSink,
    crate::client::{ClientError, ClientStep, MessageStream, PeerClient},
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

/// a sidecar sends a view at least each 400 ms
const SILENCE: Duration = Duration::from_millis(1_000);
const RETRY: Duration = Duration::from_millis(150);
/// pause while nothing of a sidecar can be read, which grows to this
const LONGEST_RETRY: Duration = Duration::from_secs(5);
/// a sidecar forgets an entry or a relay that is silent for 3 s
const SIGN_OF_LIFE: Duration = Duration::from_millis(900);
const POST_LIMIT: Duration = Duration::from_millis(400);

/// the connections to the sidecars of engines
pub struct SidecarLinks {
    runtime: Handle,
    sink: Arc<dyn ViewSink>,
    peers: PeerClient,
    sidecar_port: u16,
    links: HashMap<SocketAddr, Link>,
}

/// one sidecar's; its tasks end when it is dropped
struct Link {
    demand: watch::Sender<Option<AdapterDemand>>,
    sent_at: Option<Instant>,
    tasks: [JoinHandle<()>; 2],
}

impl Link {
    /// whether a sign of life is due
    fn is_due(&self, now: Instant) -> bool {
        let sent = self.sent_at;
        sent.is_none_or(|at| now.saturating_duration_since(at) >= SIGN_OF_LIFE)
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

    /// hold a link to the sidecar of each of these engines, and no other
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

    /// tell the sidecar of an engine what is needed of it, unless it knows
    pub fn send_demand(&mut self, engine: SocketAddr, demand: AdapterDemand, now: Instant) {
        let Some(link) = self.links.get_mut(&engine) else {
            return;
        };
        let told = link.demand.borrow();
        let is_known = told
            .as_ref()
            .is_some_and(|told| told.is_equivalent_to(&demand));
        drop(told);
        if !is_known || link.is_due(now) {
            link.sent_at = Some(now);
            link.demand.send_replace(Some(demand));
        }
    }

    /// repeat what sidecars know already, as a sign of life
    pub fn send_keep_alives(&mut self, now: Instant) {
        let due = self.links.values_mut().filter(|link| link.is_due(now));
        for link in due.filter(|link| link.demand.borrow().is_some()) {
            link.sent_at = Some(now);
            link.demand.send_modify(|_| {});
        }
    }

    fn open(&self, engine: SocketAddr) -> Link {
        let sidecar = SocketAddr::new(engine.ip(), self.sidecar_port);
        let (demand, demands) = watch::channel(None);
        let views = read_views(self.peers.clone(), engine, sidecar, self.sink.clone());
        let sink = self.sink.clone();
        let posts = post_demands(self.peers.clone(), engine, sidecar, sink, demands);
        let tasks = [self.runtime.spawn(views), self.runtime.spawn(posts)];
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
    let mut pause = RETRY;
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
        let is_read = !backend.is_empty() || e.step != ClientStep::Decode;
        pause = match is_read {
            true => RETRY,
            false => (pause * 2).min(LONGEST_RETRY),
        };
        if !is_read && pause == RETRY * 2 {
            // once: it goes on until one of both is replaced
            log::warn!("links: sidecar {sidecar} not understood: {e}");
        }
        sleep(pause).await;
    }
}

async fn read_until_error(
    peers: &PeerClient,
    engine: SocketAddr,
    sidecar: SocketAddr,
    sink: &dyn ViewSink,
    backend: &mut BackendId,
) -> Result<(), ClientError> {
    let opened = timeout(SILENCE, peers.stream(sidecar, path::VIEWS, &()));
    let silent = |_| ClientError::new(ClientStep::Receive, sidecar, "silent");
    let mut updates: MessageStream<ViewUpdate> = opened.await.map_err(silent)??;
    let mut view = EngineView::default();
    loop {
        let Some(update) = timeout(SILENCE, updates.next()).await.map_err(silent)? else {
            return Ok(());
        };
        let update = update?;
        match update {
            ViewUpdate::Figures(figures) => {
                sink.on_stats(engine, backend, figures);
                continue;
            }
            ViewUpdate::Unknown => continue,
            ViewUpdate::Whole(_) | ViewUpdate::Changed(_) => {}
        }
        view.apply(update);
        if backend.is_empty() && !view.backend.is_empty() {
            let version = peers.version(sidecar).map_or(0, |version| version.0);
            log::info!(peer_version = version; "links: sidecar {sidecar} speaks of {}", view.backend);
        }
        backend.clone_from(&view.backend);
        let told = view.clone();
        // told once; the sink remembers
        view.lately.clear();
        sink.on_view(engine, told);
    }
}

async fn post_demands(
    peers: PeerClient,
    engine: SocketAddr,
    sidecar: SocketAddr,
    sink: Arc<dyn ViewSink>,
    mut demands: watch::Receiver<Option<AdapterDemand>>,
) {
    // it is taken to hear until a call has failed
    let mut was_taken = true;
    // an error says that the link was closed
    while demands.changed().await.is_ok() {
        let Some(demand) = demands.borrow_and_update().clone() else {
            continue;
        };
        let posted: Result<bool, _> = peers.call(sidecar, path::DEMAND, &demand, POST_LIMIT).await;
        match posted {
            Ok(_) if was_taken => {}
            Ok(_) => {
                log::info!("links: sidecar {sidecar} takes demands again");
                was_taken = true;
                sink.on_demand_result(engine, true);
            }
            Err(e) => {
                if was_taken {
                    log::warn!("links: sidecar {sidecar} takes no demands: {e}");
                }
                was_taken = false;
                // each failure is told: the engine may be another one by then
                sink.on_demand_result(engine, false);
                sleep(RETRY).await;
                demands.mark_changed();
            }
        }
    }
}
