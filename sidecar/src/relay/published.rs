use {
    chalkcart_coordination::relay::{PublishedCache, RelayPacing},
    chalkcart_protocol::peer::{PublishedRequest, PublishedResponse},
    chalkcart_state::published::Topic,
    chalkcart_transport::{
        clock,
        metadata::{self as store, MetadataSource, RecordSink, StoreWatcher},
    },
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::{
        sync::watch,
        task::JoinHandle,
        time::{timeout, Instant as Deadline},
    },
};

/// time for the store's first answer to a relay that begins
const FIRST_ANSWER: Duration = Duration::from_millis(300);
/// entries that hear the store by this relay ask each second
const ASKED_LATELY: Duration = Duration::from_secs(3);
/// longest wait before an answer is looked at again, since it may become stale
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// what the platform's store publishes, for the entries that use a relay
pub struct Published {
    store: Option<Arc<dyn MetadataSource>>,
    pacing: RelayPacing,
    configuration: Heard,
    backends: Heard,
    followers: Mutex<Vec<JoinHandle<()>>>,
    /// when an entry asked last
    asked: Mutex<Option<Instant>>,
}

/// one topic
struct Heard {
    book: Mutex<PublishedCache>,
    /// counts what was heard
    changed: watch::Sender<u64>,
}

impl Heard {
    fn new(stale_after: Duration) -> Self {
        Self {
            book: Mutex::new(PublishedCache::new(stale_after)),
            changed: watch::Sender::new(0),
        }
    }
    fn book(&self) -> MutexGuard<'_, PublishedCache> {
        // no holder panics halfway through a change
        self.book.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Published {
    /// without a store it never speaks for one
    pub fn new(store: Option<Arc<dyn MetadataSource>>, pacing: RelayPacing) -> Self {
        Self {
            store,
            pacing,
            configuration: Heard::new(pacing.stale_after()),
            backends: Heard::new(pacing.stale_after()),
            followers: Mutex::default(),
            asked: Mutex::default(),
        }
    }

    /// an entry asks: the store is followed from now on
    pub fn on_asked(self: &Arc<Self>, now: Instant) {
        *self.asked.lock().unwrap_or_else(|e| e.into_inner()) = Some(now);
        let mut followers = self.followers.lock().unwrap_or_else(|e| e.into_inner());
        let Some(store) = self.store.as_ref().filter(|_| followers.is_empty()) else {
            return;
        };
        followers.extend([Topic::Configuration, Topic::Backends].map(|topic| {
            let pacing = self.pacing.watch_pacing();
            let follower = StoreWatcher::new(store.clone(), self.clone(), topic, pacing);
            tokio::spawn(follower.run())
        }));
    }

    /// the store is followed no more once no entry has asked for a while; says whether
    /// it is followed
    pub fn review(&self, now: Instant) -> bool {
        let asked = *self.asked.lock().unwrap_or_else(|e| e.into_inner());
        let is_asked = asked.is_some_and(|at| now.saturating_duration_since(at) < ASKED_LATELY);
        let mut followers = self.followers.lock().unwrap_or_else(|e| e.into_inner());
        if !is_asked {
            followers.drain(..).for_each(|task| task.abort());
        }
        !followers.is_empty()
    }

    /// answer an entry as soon as there is something newer than it knows
    pub async fn answer(&self, ask: &PublishedRequest) -> PublishedResponse {
        let asked = clock::now();
        let heard = self.heard(ask.topic);
        let mut changes = heard.changed.subscribe();
        if !heard.book().has_received() {
            // the relay has just begun; without an answer it is stale
            let _ = timeout(FIRST_ANSWER, changes.changed()).await;
        }
        let until = Deadline::now() + Duration::from_millis(ask.wait_ms);
        loop {
            changes.mark_unchanged();
            if let Some(answer) = heard.book().response(ask.after, asked, clock::now()) {
                return answer;
            }
            let left = until.saturating_duration_since(Deadline::now());
            if left.is_zero() {
                return heard.book().empty_response(ask.after, asked);
            }
            // a time without a change is looked at above
            let _ = timeout(left.min(LOOK_EVERY), changes.changed()).await;
        }
    }

    fn heard(&self, topic: Topic) -> &Heard {
        match topic {
            Topic::Configuration => &self.configuration,
            Topic::Backends => &self.backends,
        }
    }
}

impl RecordSink for Published {
    fn apply(&self, topic: Topic, heard: store::WatchUpdate, is_whole: bool) {
        let store::WatchUpdate {
            snapshot,
            current_at,
        } = heard;
        let has_news = is_whole || !snapshot.records.is_empty();
        let to = self.heard(topic);
        to.book()
            .apply(snapshot, is_whole, current_at, clock::now());
        if has_news {
            to.changed.send_modify(|count| *count += 1);
        }
    }
    fn pause_after_change(&self, topic: Topic) -> Duration {
        match topic {
            Topic::Configuration => Duration::ZERO,
            Topic::Backends => self.pacing.pause_after_change(),
        }
    }
}
