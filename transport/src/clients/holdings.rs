use {
    super::holding::{Connection, HeldRequest},
    crate::{clock, metrics::ClientMetrics},
    chalkcart_coordination::overload::{
        ClientHoldings, Door, HolderId, HoldingLimits, NoRoom, Stage, WayGiven,
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
};

/// Time between two log lines about holders that gave way.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What the clients of a process hold, shared by all its doors.
#[derive(Debug)]
pub struct Holdings {
    state: Mutex<State>,
    pub metrics: ClientMetrics,
}

#[derive(Debug)]
struct State {
    holdings: ClientHoldings,
    /// Wakes those that are told to give way.
    told: HashMap<HolderId, Arc<Notify>>,
    logged_at: Option<Instant>,
    /// Number that gave way since the last log line.
    unlogged: u64,
}

impl Holdings {
    pub fn new(limits: HoldingLimits) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                holdings: ClientHoldings::new(limits),
                told: HashMap::new(),
                logged_at: None,
                unlogged: 0,
            }),
            metrics: ClientMetrics::default(),
        })
    }

    /// Takes a place for a new connection; `None` if it is to be closed unread.
    pub fn connect(self: &Arc<Self>, door: Door) -> Option<Connection> {
        let mut state = self.state();
        match state.holdings.connect(door, clock::now()) {
            Ok((id, leaving)) => {
                self.tell(&mut state, &leaving);
                Some(Connection::new(self.clone(), id, state.add(id)))
            }
            Err(NoRoom) => {
                self.metrics.on_closed_unread(door.name);
                None
            }
        }
    }

    /// Begins to hold a request of a connection.
    pub(super) fn request(self: &Arc<Self>, connection: HolderId) -> Option<HeldRequest> {
        let mut state = self.state();
        let id = state.holdings.request(connection, clock::now())?;
        Some(HeldRequest::new(self.clone(), id, state.add(id)))
    }

    /// Closes connections whose heads take longer than this.
    pub fn expire_heads(&self, limit: Duration) {
        let mut state = self.state();
        let late = state.holdings.expire_heads(limit, clock::now());
        self.tell(&mut state, &late);
    }

    /// Closes the connections of a door that have no whole head, as the process stops.
    pub fn stop(&self, door: Door) {
        let mut state = self.state();
        let leaving = state.holdings.stop(door);
        self.tell(&mut state, &leaving);
    }

    pub(super) fn enter(&self, id: HolderId, stage: Stage) {
        let mut state = self.state();
        state.holdings.enter(id, stage, clock::now());
        self.metrics.held.set(state.holdings.bytes() as i64);
    }

    pub(super) fn hold(&self, id: HolderId, bytes: usize) -> Result<(), NoRoom> {
        let mut state = self.state();
        let leaving = state.holdings.hold(id, bytes, clock::now());
        if leaving.is_err() {
            self.metrics.on_gave_way("no room");
        }
        self.tell(&mut state, &leaving?);
        self.metrics.held.set(state.holdings.bytes() as i64);
        Ok(())
    }

    pub(super) fn gives_way(&self, id: HolderId) -> Option<WayGiven> {
        self.state().holdings.gives_way(id)
    }

    pub(super) fn stage(&self, id: HolderId) -> Option<Stage> {
        self.state().holdings.holder(id).map(|(_, stage)| stage)
    }

    pub(super) fn end(&self, id: HolderId) {
        let mut state = self.state();
        state.told.remove(&id);
        state.holdings.end(id);
        self.metrics.held.set(state.holdings.bytes() as i64);
    }

    fn tell(&self, state: &mut State, leaving: &[HolderId]) {
        for id in leaving {
            if let Some(told) = state.told.get(id) {
                told.notify_one();
            }
            let cause = state.holdings.gives_way(*id);
            self.metrics.on_gave_way(cause.map_or("", WayGiven::code));
            self.log_way_given(state, *id);
        }
    }

    /// Logs one of those that gave way since the last line, which bounds the rate of lines.
    fn log_way_given(&self, state: &mut State, id: HolderId) {
        state.unlogged += 1;
        let is_due = state
            .logged_at
            .is_none_or(|at| clock::elapsed(at) >= LOG_INTERVAL);
        if !is_due {
            return;
        }
        state.logged_at = Some(clock::now());
        let cause = state.holdings.gives_way(id).map_or("", WayGiven::code);
        let (bytes, stage) = state.holdings.holder(id).unwrap_or((0, Stage::Unused));
        log::warn!(
            cause = cause,
            stage = stage.code(),
            bytes = bytes,
            held = state.holdings.bytes(),
            gave_way = std::mem::take(&mut state.unlogged);
            "clients: gave way"
        );
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // No holder panics in the middle of an update.
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl State {
    fn add(&mut self, id: HolderId) -> Arc<Notify> {
        let told = Arc::new(Notify::new());
        self.told.insert(id, told.clone());
        told
    }
}
