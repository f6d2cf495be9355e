use {
    super::Holdings,
    chalkcart_coordination::overload::{HolderId, NoRoom, Stage, WayGiven},
    std::sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    tokio::sync::Notify,
};

/// One that holds something for a client; it is free again when this is dropped.
#[derive(Debug)]
struct Holding {
    holdings: Arc<Holdings>,
    id: HolderId,
    told: Arc<Notify>,
}

impl Holding {
    async fn gives_way(&self) -> WayGiven {
        loop {
            self.told.notified().await;
            // it may have been told before a request arrived
            if let Some(cause) = self.holdings.gives_way(self.id) {
                return cause;
            }
        }
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.holdings.end(self.id);
    }
}

/// A client's connection, which holds a place.
#[derive(Debug, Clone)]
pub struct Connection(Arc<ConnectionParts>);

#[derive(Debug)]
struct ConnectionParts {
    holding: Holding,
    /// Requests that are being handled.
    requests: AtomicUsize,
}

impl Connection {
    pub(super) fn new(holdings: Arc<Holdings>, id: HolderId, told: Arc<Notify>) -> Self {
        Self(Arc::new(ConnectionParts {
            holding: Holding { holdings, id, told },
            requests: AtomicUsize::new(0),
        }))
    }

    /// Holds bytes of a head that arrives.
    ///
    /// # Errors
    /// Fails if there is no room for them.
    pub fn on_read(&self, bytes: usize) -> Result<(), NoRoom> {
        let holding = &self.0.holding;
        holding.holdings.hold(holding.id, bytes)
    }

    /// Begins to handle a request whose head has arrived.
    pub fn begin(&self) -> BusyGuard {
        if self.0.requests.fetch_add(1, Ordering::Relaxed) == 0 {
            self.enter(Stage::Busy);
        }
        BusyGuard(self.clone())
    }

    /// Begins to hold a request; `None` if the connection has ended.
    pub fn request(&self) -> Option<HeldRequest> {
        let holding = &self.0.holding;
        holding.holdings.request(holding.id)
    }

    /// Waits until it is told to give way.
    pub async fn gives_way(&self) -> WayGiven {
        self.0.holding.gives_way().await
    }

    /// Returns whether a response may still be on its way to the client.
    pub fn may_be_answered(&self) -> bool {
        let holding = &self.0.holding;
        let stage = holding.holdings.stage(holding.id);
        // the end of a response may not have been written yet when its connection is idle
        matches!(stage, Some(Stage::Busy | Stage::Idle))
    }

    fn enter(&self, stage: Stage) {
        let holding = &self.0.holding;
        holding.holdings.enter(holding.id, stage);
    }
}

/// A request that is being handled, until its response has ended.
#[derive(Debug)]
pub struct BusyGuard(Connection);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        if self.0 .0.requests.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.enter(Stage::Idle);
        }
    }
}

/// A request with its body. All parts of the process that keep something of it share this.
#[derive(Debug, Clone)]
pub struct HeldRequest(Arc<Holding>);

impl HeldRequest {
    pub(super) fn new(holdings: Arc<Holdings>, id: HolderId, told: Arc<Notify>) -> Self {
        Self(Arc::new(Holding { holdings, id, told }))
    }

    /// Holds bytes of its body.
    ///
    /// # Errors
    /// Fails if there is no room for them, or if it was told to give way.
    pub fn hold(&self, bytes: usize) -> Result<(), NoRoom> {
        self.0.holdings.hold(self.0.id, bytes)
    }

    /// Keeps it until it is dropped: it has arrived whole.
    pub fn complete(&self) {
        self.0.holdings.enter(self.0.id, Stage::Whole);
    }

    /// Waits until it is told to give way.
    pub async fn gives_way(&self) -> WayGiven {
        self.0.gives_way().await
    }
}
