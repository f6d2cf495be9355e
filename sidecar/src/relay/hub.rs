use {
    super::Published,
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

/// messages that an entry may be behind before its stream is ended; it then
/// comes back and hears the whole
const MOST_BEHIND: usize = 64;

/// News for all entries, encoded once for each form in which one of them reads.
#[derive(Debug)]
struct News {
    update: RelayUpdate,
    frames: [OnceLock<Option<Bytes>>; WireEncoding::ALL.len()],
}

impl News {
    fn new(update: RelayUpdate) -> Self {
        Self {
            update,
            frames: Default::default(),
        }
    }
    fn frame(&self, form: WireEncoding) -> Option<Bytes> {
        let frame = &self.frames[form.index()];
        frame.get_or_init(|| encoded(&self.update, form)).clone()
    }
}

/// what the handlers, the links and the pump of a relay share
pub struct RelayHub {
    book: Mutex<RelayState>,
    pub published: Arc<Published>,
    news: broadcast::Sender<Arc<News>>,
    /// there is work for the pump
    pub changed: Notify,
    /// entries should hear the news at once
    is_urgent: AtomicBool,
    /// other engines than before are to be followed
    has_other_engines: AtomicBool,
}

impl RelayHub {
    /// `name` is that of the box
    pub fn new(name: BoxName, published: Arc<Published>) -> Self {
        Self {
            book: Mutex::new(RelayState::new(name)),
            published,
            news: broadcast::Sender::new(MOST_BEHIND),
            changed: Notify::new(),
            is_urgent: AtomicBool::new(false),
            has_other_engines: AtomicBool::new(false),
        }
    }

    pub fn book(&self) -> MutexGuard<'_, RelayState> {
        // no holder panics halfway through a change
        self.book.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// an entry says what it needs
    pub fn on_demands(&self, message: RelayDemands) {
        if self.book().on_demands(message, clock::now()) {
            self.has_other_engines.store(true, Ordering::Relaxed);
        }
        self.changed.notify_one();
    }

    /// forget silent entries; says whether other engines are to be followed
    pub fn review(&self, now: Instant) -> bool {
        let expired = self.book().expire(now);
        self.has_other_engines.swap(false, Ordering::Relaxed) || expired
    }

    /// whether entries should hear the news at once, since the last call
    pub fn take_urgency(&self) -> bool {
        self.is_urgent.swap(false, Ordering::Relaxed)
    }

    /// tell all entries what they have not heard
    pub fn tell_news(&self, now: Instant) {
        // readers come in under the same lock, so that they miss nothing
        let mut book = self.book();
        let news = News::new(book.take_update(now));
        // an error says that nobody reads
        let _ = self.news.send(Arc::new(news));
    }

    /// all that is known, then the news; ends for a reader that is too slow
    pub fn follow(&self, now: Instant, form: WireEncoding) -> impl Stream<Item = Bytes> + Send {
        let book = self.book();
        let whole = encoded(&book.full_update(now), form);
        let news = BroadcastStream::new(self.news.subscribe());
        drop(book);
        let news = news.take_while(|news| {
            let is_read = news.is_ok();
            async move { is_read }
        });
        let frames = news.filter_map(move |news| async move { news.ok()?.frame(form) });
        stream::iter(whole).chain(frames)
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
        let is_urgent = self.book().on_view(engine, view, clock::now());
        self.wake(is_urgent);
    }
    fn on_stats(&self, engine: SocketAddr, backend: &BackendId, figures: EngineStats) {
        let now = clock::now();
        let is_urgent = self.book().on_stats(engine, backend, figures, now);
        self.wake(is_urgent);
    }
    fn on_unresponsive(&self, engine: SocketAddr, _backend: &BackendId) {
        self.book().on_unresponsive(engine, clock::now());
        self.wake(true);
    }
    /// entries that hear by a relay learn it from what engines answer
    fn on_demand_result(&self, _engine: SocketAddr, _is_taken: bool) {}
}

fn encoded(update: &RelayUpdate, form: WireEncoding) -> Option<Bytes> {
    match encode_frame(update, form) {
        Ok(frame) => Some(frame),
        Err(e) => {
            log::error!("relay: news not encoded: {e}");
            None
        }
    }
}
