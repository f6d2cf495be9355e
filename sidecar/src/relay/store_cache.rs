use {
    bytes::Bytes,
    chalkcart_coordination::relay::{PublishedCache, RelayPacing},
    chalkcart_protocol::{
        encode_response,
        peer::{PublishedRequest, PublishedResponse},
        wire::WireEncoding,
        CodecError,
    },
    chalkcart_state::published::{StorePosition, Topic},
    chalkcart_transport::{
        clock,
        metadata::{self as store, MetadataSource, RecordSink, StoreWatcher},
        supervision::supervised,
    },
    std::{
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc, Mutex, MutexGuard,
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::watch,
        task::JoinHandle,
        time::{timeout, Instant as Deadline},
    },
};

/// How long a response to a caller that can't be told that the first read is under way waits for
/// it; such callers wait 300 ms for a response.
const FIRST_READ_WAIT: Duration = Duration::from_millis(200);
/// Time from which on a first read counts as failed.
const MAX_FIRST_READ: Duration = Duration::from_secs(5);
/// Number of failed calls from which on a first read counts as failed.
const MAX_FIRST_READ_FAILURES: u32 = 3;
/// The store is watched for this long after the last request; entries send one each second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which a held request is checked again, since the cache may become stale.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How long an encoded response with all records is used again. Entries that start together
/// request the same records, which are the largest message of a relay.
const FULL_RESPONSE_LIFETIME: Duration = Duration::from_millis(100);

/// A response with all records of a topic, as it is sent to several callers.
struct FullResponse {
    encoding: WireEncoding,
    valid_until: Instant,
    bytes: Bytes,
}

/// Cache of the platform's store for the entries that use this relay.
pub struct StoreCache {
    store: Option<Arc<dyn MetadataSource>>,
    pacing: RelayPacing,
    configuration: PublishedTopic,
    backends: PublishedTopic,
    /// Tasks that watch the store, one per topic; empty while no entry uses the cache.
    watchers: Mutex<Vec<JoinHandle<()>>>,
    /// Time of the last request of an entry.
    requested_at: Mutex<Option<Instant>>,
}

struct PublishedTopic {
    cache: Mutex<PublishedCache>,
    /// Number of updates from the store.
    changed: watch::Sender<u64>,
    /// The read of all records that starts a watch or an era, until it is complete.
    first_read: Mutex<Option<FirstRead>>,
    /// The last encoded response with all records, until the topic changes.
    full_response: Mutex<Option<FullResponse>>,
    /// Number of requests of callers that knew a later position than the cache has.
    requests_ahead: AtomicU64,
}

#[derive(Debug, Clone, Copy)]
struct FirstRead {
    started_at: Instant,
    failures: u32,
}

impl PublishedTopic {
    fn new(stale_after: Duration) -> Self {
        Self {
            cache: Mutex::new(PublishedCache::new(stale_after)),
            changed: watch::Sender::new(0),
            first_read: Mutex::default(),
            full_response: Mutex::default(),
            requests_ahead: AtomicU64::new(0),
        }
    }

    fn cache(&self) -> MutexGuard<'_, PublishedCache> {
        // No holder panics in the middle of an update.
        self.cache.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn first_read(&self) -> MutexGuard<'_, Option<FirstRead>> {
        // No holder panics in the middle of an update.
        self.first_read.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn full_response(&self) -> MutexGuard<'_, Option<FullResponse>> {
        // No holder panics in the middle of an update.
        self.full_response.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Logs the first, second, fourth and so on request whose caller knows more than the cache.
    fn log_request_ahead(&self, request: &PublishedRequest) {
        let at = self.cache().position();
        let Some(after) = request.after.filter(|after| *after > at) else {
            return;
        };
        let times = self.requests_ahead.fetch_add(1, Ordering::Relaxed) + 1;
        if times.is_power_of_two() {
            log::info!(
                topic = request.topic.code(),
                after:%,
                at:%,
                times;
                "relay: caller knows a later position"
            );
        }
    }

    /// Returns the response with all records, encoded once for the callers of a short time.
    fn encoded_full_response(
        &self,
        encoding: WireEncoding,
        now: Instant,
    ) -> Result<Bytes, CodecError> {
        let mut known = self.full_response();
        let usable = known
            .as_ref()
            .filter(|known| known.encoding == encoding && now < known.valid_until);
        if let Some(known) = usable {
            return Ok(known.bytes.clone());
        }
        // The response states its age as for the last caller that may receive it, which is never
        // less than for an earlier one.
        let valid_until = now + FULL_RESPONSE_LIFETIME;
        let response = self.cache().response(None, valid_until, now);
        let response = response.unwrap_or(PublishedResponse::Stale);
        let bytes = encode_response(&response, encoding)?;
        if matches!(response, PublishedResponse::Records { .. }) {
            *known = Some(FullResponse {
                encoding,
                valid_until,
                bytes: bytes.clone(),
            });
        }
        Ok(bytes)
    }

    fn start_first_read(&self, now: Instant) {
        *self.first_read() = Some(FirstRead {
            started_at: now,
            failures: 0,
        });
    }

    /// Returns the duration of the first read, or `None` if it is complete or has failed.
    fn first_read_duration(&self, now: Instant) -> Option<Duration> {
        let read = (*self.first_read())?;
        let duration = now.saturating_duration_since(read.started_at);
        let has_failed = duration >= MAX_FIRST_READ || read.failures >= MAX_FIRST_READ_FAILURES;
        (!has_failed).then_some(duration)
    }

    /// Returns the records that changed after a position, as soon as there are any.
    async fn changes(
        &self,
        after: Option<StorePosition>,
        requested_at: Instant,
        until: Deadline,
        changes: &mut watch::Receiver<u64>,
    ) -> PublishedResponse {
        loop {
            changes.mark_unchanged();
            let response = self.cache().response(after, requested_at, clock::now());
            if let Some(response) = response {
                return response;
            }
            let remaining = until.saturating_duration_since(Deadline::now());
            if remaining.is_zero() {
                return self.cache().empty_response(after, requested_at);
            }
            // After a timeout the cache is checked again.
            let _ = timeout(remaining.min(CHECK_INTERVAL), changes.changed()).await;
        }
    }

    /// Waits until the first read is complete or has failed, at most until `until`. Returns its
    /// duration if it is still under way.
    async fn wait_for_first_read(
        &self,
        changes: &mut watch::Receiver<u64>,
        until: Deadline,
    ) -> Option<Duration> {
        loop {
            let duration = self.first_read_duration(clock::now())?;
            let remaining = until.saturating_duration_since(Deadline::now());
            if remaining.is_zero() {
                return Some(duration);
            }
            // After a timeout the read is checked again.
            let _ = timeout(remaining.min(CHECK_INTERVAL), changes.changed()).await;
        }
    }
}

impl StoreCache {
    /// Without a store, each response is stale.
    pub fn new(store: Option<Arc<dyn MetadataSource>>, pacing: RelayPacing) -> Self {
        Self {
            store,
            pacing,
            configuration: PublishedTopic::new(pacing.stale_after()),
            backends: PublishedTopic::new(pacing.stale_after()),
            watchers: Mutex::default(),
            requested_at: Mutex::default(),
        }
    }

    /// Starts to watch the store at the request of an entry, unless it is watched already.
    pub fn on_request(self: &Arc<Self>, now: Instant) {
        *self.requested_at.lock().unwrap_or_else(|e| e.into_inner()) = Some(now);
        let mut watchers = self.watchers.lock().unwrap_or_else(|e| e.into_inner());
        let Some(store) = self.store.as_ref().filter(|_| watchers.is_empty()) else {
            return;
        };
        self.configuration.start_first_read(now);
        self.backends.start_first_read(now);
        watchers.extend([Topic::Configuration, Topic::Backends].map(|topic| {
            let pacing = self.pacing.watch_pacing();
            let (store, sink) = (store.clone(), self.clone());
            let watch =
                move || StoreWatcher::new(store.clone(), sink.clone(), topic, pacing.clone()).run();
            tokio::spawn(supervised("store watch", watch))
        }));
    }

    /// Stops watching the store if no entry has sent a request recently. Returns whether the
    /// store is still watched.
    pub fn stop_if_unused(&self, now: Instant) -> bool {
        let requested_at = *self.requested_at.lock().unwrap_or_else(|e| e.into_inner());
        let is_used =
            requested_at.is_some_and(|at| now.saturating_duration_since(at) < IDLE_TIMEOUT);
        let mut watchers = self.watchers.lock().unwrap_or_else(|e| e.into_inner());
        if !is_used {
            watchers.drain(..).for_each(|task| task.abort());
        }
        !watchers.is_empty()
    }

    /// Returns a response as soon as there is a later position than the entry has, or when
    /// the request's wait time is over.
    ///
    /// `is_start_known` tells whether the caller knows the response that the first read is still
    /// under way.
    pub async fn response(
        &self,
        request: &PublishedRequest,
        is_start_known: bool,
        encoding: WireEncoding,
    ) -> Result<Bytes, CodecError> {
        let requested_at = clock::now();
        let topic = self.topic(request.topic);
        let mut changes = topic.changed.subscribe();
        let until = Deadline::now() + Duration::from_millis(request.wait_ms);
        let first_read_until = match is_start_known {
            true => until,
            false => until.max(Deadline::now() + FIRST_READ_WAIT),
        };
        let first_read = topic.wait_for_first_read(&mut changes, first_read_until);
        if let Some(duration) = first_read.await {
            let response = match is_start_known {
                true => PublishedResponse::Starting {
                    since_ms: duration.as_millis() as u32,
                },
                false => PublishedResponse::Stale,
            };
            return encode_response(&response, encoding);
        }
        if request.after.is_none() {
            return topic.encoded_full_response(encoding, clock::now());
        }
        topic.log_request_ahead(request);
        let response = topic.changes(request.after, requested_at, until, &mut changes);
        encode_response(&response.await, encoding)
    }

    fn topic(&self, topic: Topic) -> &PublishedTopic {
        match topic {
            Topic::Configuration => &self.configuration,
            Topic::Backends => &self.backends,
        }
    }
}

impl RecordSink for StoreCache {
    fn apply(&self, topic: Topic, update: store::WatchUpdate, is_full: bool) {
        let store::WatchUpdate {
            snapshot,
            current_at,
        } = update;
        let has_changes = is_full || !snapshot.records.is_empty();
        let (code, at) = (topic.code(), snapshot.at);
        let topic = self.topic(topic);
        let mut cache = topic.cache();
        let is_applied = cache.apply(snapshot, is_full, current_at, clock::now());
        let in_use = cache.position();
        drop(cache);
        if !is_applied {
            log::warn!(topic = code, at:%, in_use:%; "relay: older update not used");
        }
        *topic.first_read() = None;
        if has_changes {
            *topic.full_response() = None;
            topic.changed.send_modify(|count| *count += 1);
        }
    }
    fn on_read_failed(&self, topic: Topic) {
        if let Some(read) = self.topic(topic).first_read().as_mut() {
            read.failures += 1;
        }
    }

    /// Callers wait for the read of the restored store, instead of reading it themselves.
    fn on_new_era(&self, topic: Topic, jitter: f64) -> Duration {
        self.topic(topic).start_first_read(clock::now());
        match topic {
            Topic::Configuration => Duration::ZERO,
            Topic::Backends => self.pacing.pause_after_restore(jitter),
        }
    }

    fn pause_after_change(&self, topic: Topic) -> Duration {
        match topic {
            Topic::Configuration => Duration::ZERO,
            Topic::Backends => self.pacing.pause_after_change(),
        }
    }
}
