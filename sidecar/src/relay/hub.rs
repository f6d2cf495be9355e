use {
    super::StoreCache,
    bytes::Bytes,
    chalkcart_coordination::relay::{RelaySettings, RelayState},
    chalkcart_protocol::{
        encode_frame,
        peer::{EngineStats, EngineView, RelayDemands, RelayUpdate},
        wire::WireEncoding,
    },
    chalkcart_state::backends::BackendId,
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

/// An update for several readers, encoded at most once per wire encoding.
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
    /// Updates of engines that this relay reads itself, for entries and relays of other zones.
    updates: broadcast::Sender<Arc<EncodedUpdate>>,
    /// Updates that relays of other zones sent, for entries.
    forwarded_updates: broadcast::Sender<Arc<EncodedUpdate>>,
    /// Wakes the relay task.
    pub changed: Notify,
    /// Whether the next update is sent without waiting for the update interval.
    is_urgent: AtomicBool,
    /// Whether the set of watched engines has changed.
    have_engines_changed: AtomicBool,
}

impl RelayHub {
    pub fn new(settings: RelaySettings, store_cache: Arc<StoreCache>) -> Self {
        Self {
            state: Mutex::new(RelayState::new(settings)),
            store_cache,
            updates: broadcast::Sender::new(MAX_UPDATES_BEHIND),
            forwarded_updates: broadcast::Sender::new(MAX_UPDATES_BEHIND),
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

    /// Removes unresponsive readers. Returns whether the links may have to change since the last
    /// call.
    pub fn expire_readers(&self, now: Instant) -> bool {
        let expired = self.state().expire(now);
        self.have_engines_changed.swap(false, Ordering::Relaxed) || expired
    }

    /// Returns whether there was an urgent change since the last call.
    pub fn take_urgent(&self) -> bool {
        self.is_urgent.swap(false, Ordering::Relaxed)
    }

    /// Sends the changes since the last update to all readers.
    pub fn broadcast_update(&self, now: Instant) {
        // Readers subscribe under the same lock, so that they miss no update.
        let mut relay = self.state();
        let update = EncodedUpdate::new(relay.take_update(now));
        // Sending fails only if no reader is subscribed.
        let _ = self.updates.send(Arc::new(update));
        let update = relay.take_forwarded_update(now);
        if !update.news.is_empty() {
            let update = EncodedUpdate::new(update);
            let _ = self.forwarded_updates.send(Arc::new(update));
        }
    }

    /// Returns a stream of the complete state and then the updates. It ends for a reader that
    /// is too far behind. A relay of another zone receives only the engines that this relay reads
    /// itself.
    pub fn updates(
        &self,
        now: Instant,
        is_for_relay: bool,
        encoding: WireEncoding,
    ) -> impl Stream<Item = Bytes> + Send {
        let relay = self.state();
        let full_update = match is_for_relay {
            true => relay.full_direct_update(now),
            false => relay.full_update(now),
        };
        let updates = BroadcastStream::new(self.updates.subscribe());
        let forwarded = (!is_for_relay).then(|| self.forwarded_updates.subscribe());
        drop(relay);
        let full_update = encode(&full_update, encoding);
        let forwarded = stream::iter(forwarded).flat_map(BroadcastStream::new);
        let updates = stream::select(updates, forwarded);
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
