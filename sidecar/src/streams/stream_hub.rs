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

/// how long an ended answer of repeatable work is kept for a resume
const KEEP_REPEATABLE: Duration = Duration::from_secs(5);
/// how long an ended answer under a reserved id is kept for repeats
const KEEP_RESERVED: Duration = Duration::from_secs(60);
/// how long repeatable work runs on without a reader
const UNREAD_LIMIT: Duration = Duration::from_secs(5);

/// one request's answer, shared between its run and its readers
#[derive(Debug)]
pub struct SharedStream {
    pub request: RequestId,
    pub reserved: bool,
    buffer: Mutex<StreamBuffer>,
    /// frames that the buffer holds
    count: watch::Sender<usize>,
    readers: AtomicUsize,
    /// since when the stream has had no reader, or has been ended
    idle_since: Mutex<Instant>,
}

impl SharedStream {
    fn new(request: RequestId, reserved: bool) -> Self {
        Self {
            request,
            reserved,
            buffer: Mutex::new(StreamBuffer::new()),
            count: watch::Sender::new(0),
            readers: AtomicUsize::new(0),
            idle_since: Mutex::new(clock::now()),
        }
    }
    pub fn push(&self, body: FrameBody) {
        let mut buffer = lock(&self.buffer);
        if buffer.push(body) {
            let count = buffer.len();
            drop(buffer);
            *lock(&self.idle_since) = clock::now();
            self.count.send_replace(count);
        }
    }
    pub fn frame(&self, sequence: Sequence) -> Option<FrameBody> {
        lock(&self.buffer).get(sequence).cloned()
    }
    pub fn is_ended(&self) -> bool {
        lock(&self.buffer).is_ended()
    }
    pub fn watch(&self) -> watch::Receiver<usize> {
        self.count.subscribe()
    }
    pub fn readers(&self) -> usize {
        self.readers.load(Ordering::Relaxed)
    }
    pub fn add_reader(&self) {
        self.readers.fetch_add(1, Ordering::Relaxed);
    }
    pub fn remove_reader(&self) {
        *lock(&self.idle_since) = clock::now();
        self.readers.fetch_sub(1, Ordering::Relaxed);
    }
    fn bytes(&self) -> usize {
        lock(&self.buffer).bytes()
    }
    fn idle_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(*lock(&self.idle_since))
    }
    fn is_old(&self, now: Instant) -> bool {
        let keep = match self.reserved {
            true => KEEP_RESERVED,
            false => KEEP_REPEATABLE,
        };
        self.readers() == 0 && self.is_ended() && self.idle_for(now) >= keep
    }
    fn is_abandoned(&self, now: Instant) -> bool {
        let unread = self.readers() == 0 && self.idle_for(now) >= UNREAD_LIMIT;
        unread && !self.reserved && !self.is_ended()
    }
}

/// the answers that a sidecar holds
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
    /// the stream of a request, and whether it is new
    pub fn open(&self, request: &RequestId, reserved: bool) -> (Arc<SharedStream>, bool) {
        let mut streams = lock(&self.streams);
        if let Some(stream) = streams.get(request) {
            return (stream.clone(), false);
        }
        let stream = Arc::new(SharedStream::new(request.clone(), reserved));
        streams.insert(request.clone(), stream.clone());
        (stream, true)
    }
    pub fn get(&self, request: &str) -> Option<Arc<SharedStream>> {
        lock(&self.streams).get(request).cloned()
    }
    /// streams that are read and not at their end
    pub fn unread(&self) -> usize {
        let streams = lock(&self.streams);
        streams.values().filter(|s| s.readers() > 0).count()
    }
    /// drop what was kept long enough, and the oldest over the bound; give
    /// the requests that nobody reads
    pub fn sweep(&self, now: Instant) -> Vec<RequestId> {
        let mut streams = lock(&self.streams);
        streams.retain(|_, stream| !stream.is_old(now));
        drop_over_bound(&mut streams, self.max_bytes, now);
        let abandoned = streams.values().filter(|s| s.is_abandoned(now));
        abandoned.map(|s| s.request.clone()).collect()
    }
}

fn drop_over_bound(
    streams: &mut HashMap<RequestId, Arc<SharedStream>>,
    max_bytes: usize,
    now: Instant,
) {
    let mut bytes: usize = streams.values().map(|s| s.bytes()).sum();
    if bytes <= max_bytes {
        return;
    }
    let mut ended: Vec<Arc<SharedStream>> = streams
        .values()
        .filter(|s| s.is_ended() && s.readers() == 0)
        .cloned()
        .collect();
    ended.sort_by_key(|s| std::cmp::Reverse(s.idle_for(now)));
    for stream in ended {
        if bytes <= max_bytes {
            return;
        }
        bytes -= stream.bytes();
        streams.remove(&stream.request);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
