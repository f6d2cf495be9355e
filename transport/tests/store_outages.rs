//! A change was confirmed by the store, and an entry went on answering by the former
//! configuration for 2.8 s. The store had been silent for 8 s; it had come back 2.9 s
//! before, and all four entries read it again within 0.07 s of each other. Each had a
//! call open that had begun while the store was silent, and waited for the whole limit
//! of that call. The list of targets, whose calls ran on another beat, was read 2 s
//! earlier: so neither the store nor the connections were still at fault.
//!
//! Time is simulated: no test here waits.

use {
    async_trait::async_trait,
    chalkcart_coordination::watch::{WatchPacing, WatchTimes},
    chalkcart_state::published::{Snapshot, Topic},
    chalkcart_transport::{
        client::{ClientError, ClientStep},
        metadata::{
            MetadataSource, RecordSink, SourceError, StoreWatcher, WatchOutcome, WatchUpdate,
        },
    },
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc, Mutex,
        },
        time::Duration,
    },
    tokio::time::{sleep, Instant},
};

/// a change is in force everywhere after this time
const KNOWN_WITHIN: Duration = Duration::from_millis(2_000);
const STEP: Duration = Duration::from_millis(5);
/// a slow answer of a store that is sound
const ANSWER: Duration = Duration::from_millis(240);
const BEFORE: u64 = 1;
const AFTER: u64 = 2;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// a store that answers nothing for a while, and has a change when it comes back
struct SilentStore {
    silent_from: Instant,
    silent_to: Instant,
    calls: AtomicU64,
}

impl SilentStore {
    fn is_silent(&self) -> bool {
        let now = Instant::now();
        now >= self.silent_from && now < self.silent_to
    }
    fn revision(&self) -> u64 {
        match Instant::now() >= self.silent_to {
            true => AFTER,
            false => BEFORE,
        }
    }
    /// an answer of this call is lost, also of one that the store already had
    async fn is_lost(&self, began: Instant) -> bool {
        self.is_silent() || began < self.silent_from && Instant::now() >= self.silent_from
    }
    fn heard(&self, at: u64) -> WatchUpdate {
        let records = Vec::new();
        WatchUpdate {
            snapshot: Snapshot { records, at },
            current_at: std::time::Instant::now(),
        }
    }
}

async fn time_out(began: Instant, limit: Duration) -> SourceError {
    tokio::time::sleep_until(began + limit).await;
    let peer = SocketAddr::from(([10, 0, 0, 1], 80));
    SourceError::Call(ClientError::new(ClientStep::Send, peer, "no answer"))
}

#[async_trait]
impl MetadataSource for SilentStore {
    fn set_addr(&self, _addr: SocketAddr) {}

    async fn snapshot(&self, _topic: Topic) -> Result<WatchUpdate, SourceError> {
        let began = Instant::now();
        self.calls.fetch_add(1, Ordering::Relaxed);
        sleep(ANSWER).await;
        match self.is_lost(began).await {
            true => Err(time_out(began, ms(800)).await),
            false => Ok(self.heard(self.revision())),
        }
    }

    async fn watch(
        &self,
        _topic: Topic,
        after: u64,
        times: WatchTimes,
    ) -> Result<WatchOutcome, SourceError> {
        let began = Instant::now();
        self.calls.fetch_add(1, Ordering::Relaxed);
        loop {
            if self.is_lost(began).await {
                return Err(time_out(began, times.timeout()).await);
            }
            if self.revision() > after || began.elapsed() >= times.hold {
                sleep(ANSWER).await;
                return match self.is_lost(began).await {
                    true => Err(time_out(began, times.timeout()).await),
                    false => Ok(WatchOutcome::Records(self.heard(self.revision()))),
                };
            }
            sleep(STEP).await;
        }
    }
}

/// when each revision was heard first
#[derive(Default)]
struct HeardAt(Mutex<Vec<(u64, Instant)>>);

impl RecordSink for HeardAt {
    fn apply(&self, _topic: Topic, heard: WatchUpdate, _is_full: bool) {
        let mut rows = self.0.lock().unwrap();
        rows.push((heard.snapshot.at, Instant::now()));
    }
    fn pause_after_change(&self, _topic: Topic) -> Duration {
        Duration::ZERO
    }
}

impl HeardAt {
    fn first(&self, revision: u64) -> Option<Instant> {
        let rows = self.0.lock().unwrap();
        rows.iter().find(|(at, _)| *at >= revision).map(|(_, t)| *t)
    }
}

/// time from the store's return until the follower knows its change, and calls made
async fn outage(begins: Duration, lasts: Duration) -> (Duration, u64) {
    let start = Instant::now();
    let store = Arc::new(SilentStore {
        silent_from: start + begins,
        silent_to: start + begins + lasts,
        calls: AtomicU64::new(0),
    });
    let sink = Arc::new(HeardAt::default());
    let pacing = WatchPacing::default();
    let follower = StoreWatcher::new(store.clone(), sink.clone(), Topic::Configuration, pacing);
    let task = tokio::spawn(follower.run());
    let back = store.silent_to;
    let known = loop {
        if let Some(known) = sink.first(AFTER) {
            break known;
        }
        sleep(STEP).await;
    };
    task.abort();
    (known - back, store.calls.load(Ordering::Relaxed))
}

#[tokio::test(start_paused = true)]
async fn a_change_is_known_in_time_after_the_store_was_silent() {
    // connections that fall silent at once are an outage of one step
    for lasts in [5, 300, 1_500, 3_300, 8_140] {
        for begins in (3_000..7_000).step_by(50) {
            let (late, _) = outage(ms(begins), ms(lasts)).await;
            assert!(
                late <= KNOWN_WITHIN,
                "silent at {begins} ms for {lasts} ms: known {late:?} after its return"
            );
        }
    }
}
