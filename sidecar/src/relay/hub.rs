use {
    super::StoreCache,
    bytes::Bytes,
    chalkcart_coordination::relay::RelayState,
    chalkcart_protocol::{
        encode_frame,
        peer::{EngineStats, EngineView, RelayDemands, RelayUpdate},
        wire::WireEncoding,
    },
    chalkcart_state::{backends::BackendId, ids::BoxName},
    chalkcart_transport::{clock, links::ViewSink},
    futures::{stream, Stream, StreamExt},
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex, MutexGuard, OnceLock,
        },
        time::Instant,
    },
    tokio::sync::{broadcast, Notify},
    tokio_stream::wrappers::BroadcastStream,
};

/// An entry that is more updates behind is disconnected; it reconnects and receives the
/// complete state.
const MAX_UPDATES_BEHIND: usize = 64;

/// An update for all entries, encoded at most once per wire encoding.
#[derive(Debug)]
struct EncodedUpdate {
    update: RelayUpdate,
    frames: [OnceLock<Option<Bytes>>; WireEncoding::ALL.len()],
}

impl EncodedUpdate {
    fn new(update: RelayUpdate) -> Self {
        Self {
            update,
            frames: Default::default(),
        }
    }
    fn frame(&self, encoding: WireEncoding) -> Option<Bytes> {
        let frame = &self.frames[encoding.index()];
        frame.get_or_init(|| encode(&self.update, encoding)).clone()
    }
}

/// State that the handlers, the links to sidecars and the relay task share.
pub struct RelayHub {
    state: Mutex<RelayState>,
    pub store_cache: Arc<StoreCache>,
    updates: broadcast::Sender<Arc<EncodedUpdate>>,
    /// Wakes the relay task.
    pub changed: Notify,
    /// Whether the next update is sent without waiting for the update interval.
    is_urgent: AtomicBool,
    /// Whether the set of watched engines has changed.
    have_engines_changed: AtomicBool,
}

impl RelayHub {
    /// `name` is the name of the relay's box.
    pub fn new(name: BoxName, store_cache: Arc<StoreCache>) -> Self {
        Self {
            state: Mutex::new(RelayState::new(name)),
            store_cache,
            updates: broadcast::Sender::new(MAX_UPDATES_BEHIND),
            changed: Notify::new(),
            is_urgent: AtomicBool::new(false),
            have_engines_changed: AtomicBool::new(false),
        }
    }

    pub fn state(&self) -> MutexGuard<'_, RelayState> {
        // No holder panics in the middle of an update.
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Applies the demands of an entry.
    pub fn on_demands(&self, message: RelayDemands) {
        if self.state().on_demands(message, clock::now()) {
            self.have_engines_changed.store(true, Ordering::Relaxed);
        }
        self.changed.notify_one();
    }

    /// Removes unresponsive entries. Returns whether the set of watched engines has changed
    /// since the last call.
    pub fn expire_entries(&self, now: Instant) -> bool {
        let expired = self.state().expire(now);
        self.have_engines_changed.swap(false, Ordering::Relaxed) || expired
    }

    /// Returns whether there was an urgent change since the last call.
    pub fn take_urgent(&self) -> bool {
        self.is_urgent.swap(false, Ordering::Relaxed)
    }

    /// Sends the changes since the last update to all entries.
    pub fn broadcast_update(&self, now: Instant) {
        // Entries subscribe under the same lock, so that they miss no update.
        let mut relay = self.state();
        let update = EncodedUpdate::new(relay.take_update(now));
        // Sending fails only if no entry is subscribed.
        let _ = self.updates.send(Arc::new(update));
    }

    /// Returns a stream of the complete state and then the updates. It ends for an entry that
    /// is too far behind.
    pub fn updates(
        &self,
        now: Instant,
        encoding: WireEncoding,
    ) -> impl Stream<Item = Bytes> + Send {
        let relay = self.state();
        let full_update = encode(&relay.full_update(now), encoding);
        let updates = BroadcastStream::new(self.updates.subscribe());
        drop(relay);
        let updates = updates.take_while(|update| {
            let is_received = update.is_ok();
            async move { is_received }
        });
        let frames = updates.filter_map(move |update| async move { update.ok()?.frame(encoding) });
        stream::iter(full_update).chain(frames)
    }

    fn wake(&self, is_urgent: bool) {
        if is_urgent {
            self.is_urgent.store(true, Ordering::Relaxed);
            self.changed.notify_one();
        }
    }
}

impl ViewSink for RelayHub {
    fn on_view(&self, engine: SocketAddr, view: EngineView) {
        let is_urgent = self.state().on_view(engine, view, clock::now());
        self.wake(is_urgent);
    }
    fn on_stats(&self, engine: SocketAddr, backend: &BackendId, stats: EngineStats) {
        let now = clock::now();
        let is_urgent = self.state().on_stats(engine, backend, stats, now);
        self.wake(is_urgent);
    }
    fn on_unresponsive(&self, engine: SocketAddr, _backend: &BackendId) {
        self.state().on_unresponsive(engine, clock::now());
        self.wake(true);
    }
    /// Ignored: entries that use a relay learn it from the engines' responses.
    fn on_demand_result(&self, _engine: SocketAddr, _is_accepted: bool) {}
}

fn encode(update: &RelayUpdate, encoding: WireEncoding) -> Option<Bytes> {
    match encode_frame(update, encoding) {
        Ok(frame) => Some(frame),
        Err(e) => {
            log::error!("relay: update could not be encoded: {e}");
            None
        }
    }
}
