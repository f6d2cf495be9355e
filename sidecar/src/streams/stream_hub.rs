use {
    chalkcart_coordination::stream::StreamBuffer,
    chalkcart_protocol::peer::FrameBody,
    chalkcart_state::ids::{RequestId, Sequence},
    chalkcart_transport::clock,
    std::{
        collections::HashMap,
        sync::{
            atomic::{AtomicUsize, Ordering},
            Arc, Mutex, MutexGuard, PoisonError,
        },
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// How long the ended response to repeatable work is kept for a resume.
const REPEATABLE_RETENTION: Duration = Duration::from_secs(5);
/// How long the ended response under a reserved id is kept for repeated requests.
const RESERVED_RETENTION: Duration = Duration::from_secs(60);
/// How long repeatable work continues without a reader.
const MAX_UNREAD_TIME: Duration = Duration::from_secs(5);

/// The response to one request, shared between its run and its readers.
#[derive(Debug)]
pub struct SharedStream {
    pub request: RequestId,
    pub is_reserved: bool,
    buffer: Mutex<StreamBuffer>,
    frame_count: watch::Sender<usize>,
    reader_count: AtomicUsize,
    /// Time of the last frame or of the last disconnect of a reader.
    idle_since: Mutex<Instant>,
}

impl SharedStream {
    fn new(request: RequestId, is_reserved: bool) -> Self {
        Self {
            request,
            is_reserved,
            buffer: Mutex::new(StreamBuffer::new()),
            frame_count: watch::Sender::new(0),
            reader_count: AtomicUsize::new(0),
            idle_since: Mutex::new(clock::now()),
        }
    }
    pub fn push(&self, body: FrameBody) {
        let mut buffer = lock(&self.buffer);
        if buffer.push(body) {
            let count = buffer.len();
            drop(buffer);
            *lock(&self.idle_since) = clock::now();
            self.frame_count.send_replace(count);
        }
    }
    pub fn frame(&self, sequence: Sequence) -> Option<FrameBody> {
        lock(&self.buffer).get(sequence).cloned()
    }
    pub fn is_ended(&self) -> bool {
        lock(&self.buffer).is_ended()
    }
    pub fn subscribe(&self) -> watch::Receiver<usize> {
        self.frame_count.subscribe()
    }
    pub fn reader_count(&self) -> usize {
        self.reader_count.load(Ordering::Relaxed)
    }
    pub fn add_reader(&self) {
        self.reader_count.fetch_add(1, Ordering::Relaxed);
    }
    pub fn remove_reader(&self) {
        *lock(&self.idle_since) = clock::now();
        self.reader_count.fetch_sub(1, Ordering::Relaxed);
    }
    fn size_bytes(&self) -> usize {
        lock(&self.buffer).bytes()
    }
    fn idle_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(*lock(&self.idle_since))
    }
    fn is_expired(&self, now: Instant) -> bool {
        let retention = match self.is_reserved {
            true => RESERVED_RETENTION,
            false => REPEATABLE_RETENTION,
        };
        self.reader_count() == 0 && self.is_ended() && self.idle_for(now) >= retention
    }
    fn is_abandoned(&self, now: Instant) -> bool {
        let is_unread = self.reader_count() == 0 && self.idle_for(now) >= MAX_UNREAD_TIME;
        is_unread && !self.is_reserved && !self.is_ended()
    }
}

/// The streams of all requests of a sidecar.
#[derive(Debug)]
pub struct StreamHub {
    streams: Mutex<HashMap<RequestId, Arc<SharedStream>>>,
    max_bytes: usize,
}

impl StreamHub {
    pub fn new(max_bytes: usize) -> Self {
        Self {
            streams: Mutex::new(HashMap::new()),
            max_bytes,
        }
    }
    /// Returns the stream of a request, and whether it is new.
    pub fn open(&self, request: &RequestId, is_reserved: bool) -> (Arc<SharedStream>, bool) {
        let mut streams = lock(&self.streams);
        if let Some(stream) = streams.get(request) {
            return (stream.clone(), false);
        }
        let stream = Arc::new(SharedStream::new(request.clone(), is_reserved));
        streams.insert(request.clone(), stream.clone());
        (stream, true)
    }
    pub fn get(&self, request: &str) -> Option<Arc<SharedStream>> {
        lock(&self.streams).get(request).cloned()
    }
    /// Returns the number of streams that have readers.
    pub fn count_with_readers(&self) -> usize {
        let streams = lock(&self.streams);
        streams.values().filter(|s| s.reader_count() > 0).count()
    }
    /// Removes expired streams, and the oldest ended ones above the memory limit. Returns the
    /// requests that run without a reader.
    pub fn sweep(&self, now: Instant) -> Vec<RequestId> {
        let mut streams = lock(&self.streams);
        streams.retain(|_, stream| !stream.is_expired(now));
        evict_over_limit(&mut streams, self.max_bytes, now);
        let abandoned = streams.values().filter(|s| s.is_abandoned(now));
        abandoned.map(|s| s.request.clone()).collect()
    }
}

fn evict_over_limit(
    streams: &mut HashMap<RequestId, Arc<SharedStream>>,
    max_bytes: usize,
    now: Instant,
) {
    let mut total_bytes: usize = streams.values().map(|s| s.size_bytes()).sum();
    if total_bytes <= max_bytes {
        return;
    }
    let mut ended: Vec<Arc<SharedStream>> = streams
        .values()
        .filter(|s| s.is_ended() && s.reader_count() == 0)
        .cloned()
        .collect();
    ended.sort_by_key(|s| std::cmp::Reverse(s.idle_for(now)));
    for stream in ended {
        if total_bytes <= max_bytes {
            return;
        }
        total_bytes -= stream.size_bytes();
        streams.remove(&stream.request);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
