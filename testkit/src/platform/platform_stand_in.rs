use {
    super::{routes::new_router, PlatformCalls},
    crate::{
        configs::Documents,
        serving::{lock, serve_router, Serving},
    },
    anyhow::Result,
    chalkcart_state::{
        fleet::{BoxState, FleetBox, FleetList},
        ids::Generation,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// the platform's services, with their faults
#[derive(Debug)]
pub struct PlatformStandIn {
    pub state: Arc<PlatformState>,
    serving: Serving,
}

/// what the stand-in serves
#[derive(Debug)]
pub struct PlatformState {
    pub calls: PlatformCalls,
    documents: Mutex<Documents>,
    /// served instead of `documents` while set
    stale: Mutex<Option<Documents>>,
    generation: watch::Sender<Generation>,
    down: Mutex<bool>,
    list: Mutex<FleetList>,
    /// lists with the time from which each is seen
    seen: Mutex<Vec<(Instant, FleetList)>>,
    lag: Mutex<Duration>,
}

impl PlatformStandIn {
    pub async fn start(documents: Documents) -> Result<Self> {
        let state = Arc::new(PlatformState {
            calls: PlatformCalls::default(),
            generation: watch::Sender::new(documents.root.generation),
            documents: Mutex::new(documents),
            stale: Mutex::new(None),
            down: Mutex::new(false),
            list: Mutex::new(FleetList::default()),
            seen: Mutex::new(Vec::new()),
            lag: Mutex::new(Duration::ZERO),
        });
        let serving = serve_router(new_router(state.clone())).await?;
        Ok(Self { state, serving })
    }

    pub fn addr(&self) -> SocketAddr {
        self.serving.addr
    }
    pub fn documents(&self) -> Documents {
        lock(&self.state.documents).clone()
    }
    /// what an operator does with new documents
    pub fn publish(&self, documents: Documents) {
        let generation = documents.root.generation;
        *lock(&self.state.documents) = documents;
        self.state.generation.send_replace(generation);
    }
    /// answer nothing but errors
    pub fn set_down(&self, down: bool) {
        *lock(&self.state.down) = down;
    }
    /// serve an earlier state of the configuration
    pub fn set_stale(&self, stale: Option<Documents>) {
        *lock(&self.state.stale) = stale;
    }
    /// show changes of the list only after this time
    pub fn set_list_lag(&self, lag: Duration) {
        *lock(&self.state.lag) = lag;
    }
    pub fn add_box(&self, added: FleetBox) {
        self.state.change_list(|boxes| {
            boxes.retain(|b| b.name != added.name);
            boxes.push(added);
        });
    }
    pub fn remove_box(&self, name: &str) {
        self.state
            .change_list(|boxes| boxes.retain(|b| b.name != name));
    }
    pub fn set_leaving(&self, name: &str) {
        self.state.change_list(|boxes| {
            let found = boxes.iter_mut().find(|b| b.name == name);
            if let Some(found) = found {
                found.state = BoxState::Leaving;
            }
        });
    }
    pub fn list(&self) -> FleetList {
        lock(&self.state.list).clone()
    }
}

impl PlatformState {
    pub fn is_down(&self) -> bool {
        *lock(&self.down)
    }
    pub fn served(&self) -> Documents {
        let stale = lock(&self.stale).clone();
        stale.unwrap_or_else(|| lock(&self.documents).clone())
    }
    /// wait until the served root is newer
    pub async fn wait_newer(&self, known: Generation, wait: Duration) {
        let mut generation = self.generation.subscribe();
        let newer = async {
            // the sender lives as long as this state
            let _ = generation.wait_for(|g| *g > known).await;
        };
        let _ = tokio::time::timeout(wait, newer).await;
    }
    pub fn seen_list(&self) -> FleetList {
        let now = Instant::now();
        let mut seen = lock(&self.seen);
        let last = seen.iter().rposition(|(from, _)| *from <= now);
        match last {
            Some(index) => {
                seen.drain(..index);
                seen[0].1.clone()
            }
            None => FleetList::default(),
        }
    }
    fn change_list(&self, change: impl FnOnce(&mut Vec<FleetBox>)) {
        let mut list = lock(&self.list);
        change(&mut list.boxes);
        list.version += 1;
        let from = Instant::now() + *lock(&self.lag);
        lock(&self.seen).push((from, list.clone()));
    }
}
