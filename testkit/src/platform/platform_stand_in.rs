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

/// Stand-in for the platform's configuration and fleet list.
#[derive(Debug)]
pub struct PlatformStandIn {
    pub state: Arc<PlatformState>,
    serving: Serving,
}

#[derive(Debug)]
pub struct PlatformState {
    pub calls: PlatformCalls,
    documents: Mutex<Documents>,
    /// Served instead of `documents` if set.
    stale: Mutex<Option<Documents>>,
    generation: watch::Sender<Generation>,
    is_down: Mutex<bool>,
    list: Mutex<FleetList>,
    /// Fleet lists with the time from which each one is visible.
    visible_lists: Mutex<Vec<(Instant, FleetList)>>,
    list_lag: Mutex<Duration>,
}

impl PlatformStandIn {
    pub async fn start(documents: Documents) -> Result<Self> {
        let state = Arc::new(PlatformState {
            calls: PlatformCalls::default(),
            generation: watch::Sender::new(documents.root.generation),
            documents: Mutex::new(documents),
            stale: Mutex::new(None),
            is_down: Mutex::new(false),
            list: Mutex::new(FleetList::default()),
            visible_lists: Mutex::new(Vec::new()),
            list_lag: Mutex::new(Duration::ZERO),
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
    /// Publishes new documents.
    pub fn publish(&self, documents: Documents) {
        let generation = documents.root.generation;
        *lock(&self.state.documents) = documents;
        self.state.generation.send_replace(generation);
    }
    /// Makes all routes respond with 503.
    pub fn set_down(&self, is_down: bool) {
        *lock(&self.state.is_down) = is_down;
    }
    /// Serves these documents instead of the published ones.
    pub fn set_stale(&self, stale: Option<Documents>) {
        *lock(&self.state.stale) = stale;
    }
    /// Delays the visibility of later changes to the fleet list.
    pub fn set_list_lag(&self, list_lag: Duration) {
        *lock(&self.state.list_lag) = list_lag;
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
        *lock(&self.is_down)
    }
    pub fn served_documents(&self) -> Documents {
        let stale = lock(&self.stale).clone();
        stale.unwrap_or_else(|| lock(&self.documents).clone())
    }
    /// Waits until a generation newer than the known one is published.
    pub async fn wait_for_newer(&self, known: Generation, wait: Duration) {
        let mut generation = self.generation.subscribe();
        let newer = async {
            // the sender lives as long as this state
            let _ = generation.wait_for(|g| *g > known).await;
        };
        let _ = tokio::time::timeout(wait, newer).await;
    }
    pub fn visible_list(&self) -> FleetList {
        let now = Instant::now();
        let mut visible_lists = lock(&self.visible_lists);
        let last = visible_lists.iter().rposition(|(from, _)| *from <= now);
        match last {
            Some(index) => {
                visible_lists.drain(..index);
                visible_lists[0].1.clone()
            }
            None => FleetList::default(),
        }
    }
    fn change_list(&self, change: impl FnOnce(&mut Vec<FleetBox>)) {
        let mut list = lock(&self.list);
        change(&mut list.boxes);
        list.version += 1;
        let from = Instant::now() + *lock(&self.list_lag);
        lock(&self.visible_lists).push((from, list.clone()));
    }
}
