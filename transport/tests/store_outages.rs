//! Guards against a watch call that was opened during an outage of the store and delays the
//! next read long after the store's recovery. Time is simulated.

use {
    async_trait::async_trait,
    chalkcart_coordination::watch::{WatchPacing, WatchTimes},
    chalkcart_state::published::{Snapshot, StorePosition, Topic},
    chalkcart_transport::{
        client::{ClientError, ClientStep},
        metadata::{
            KnownEra, MetadataSource, RecordSink, SourceError, StoreWatcher, WatchOutcome,
            WatchUpdate,
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

/// The time within which a change must be known everywhere.
const MAX_CHANGE_DELAY: Duration = Duration::from_millis(2_000);
const STEP: Duration = Duration::from_millis(5);
/// A slow response of a healthy store.
const RESPONSE_TIME: Duration = Duration::from_millis(240);
const OLD_REVISION: u64 = 1;
const NEW_REVISION: u64 = 2;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A store that does not respond during an outage, and has a change at its end.
struct FailingStore {
    outage_start: Instant,
    outage_end: Instant,
    calls: AtomicU64,
}

impl FailingStore {
    fn is_down(&self) -> bool {
        let now = Instant::now();
        now >= self.outage_start && now < self.outage_end
    }
    fn revision(&self) -> u64 {
        match Instant::now() >= self.outage_end {
            true => NEW_REVISION,
            false => OLD_REVISION,
        }
    }
    /// Whether the response to a call is lost, which includes calls open at the outage's start.
    async fn is_lost(&self, called_at: Instant) -> bool {
        self.is_down() || called_at < self.outage_start && Instant::now() >= self.outage_start
    }
    fn update(&self, at: u64) -> WatchUpdate {
        let records = Vec::new();
        WatchUpdate {
            snapshot: Snapshot {
                records,
                at: StorePosition::new(1, at),
            },
            current_at: std::time::Instant::now(),
        }
    }
}

async fn time_out(called_at: Instant, limit: Duration) -> SourceError {
    tokio::time::sleep_until(called_at + limit).await;
    let peer = SocketAddr::from(([10, 0, 0, 1], 80));
    SourceError::Call(ClientError::new(ClientStep::Send, peer, "no answer"))
}

#[async_trait]
impl MetadataSource for FailingStore {
    fn set_addr(&self, _addr: SocketAddr) {}

    fn known_era(&self) -> Arc<KnownEra> {
        Arc::default()
    }

    async fn snapshot(&self, _topic: Topic) -> Result<WatchUpdate, SourceError> {
        let called_at = Instant::now();
        self.calls.fetch_add(1, Ordering::Relaxed);
        sleep(RESPONSE_TIME).await;
        match self.is_lost(called_at).await {
            true => Err(time_out(called_at, ms(800)).await),
            false => Ok(self.update(self.revision())),
        }
    }

    async fn watch(
        &self,
        _topic: Topic,
        after: StorePosition,
        times: WatchTimes,
    ) -> Result<WatchOutcome, SourceError> {
        let called_at = Instant::now();
        self.calls.fetch_add(1, Ordering::Relaxed);
        loop {
            if self.is_lost(called_at).await {
                return Err(time_out(called_at, times.timeout()).await);
            }
            if self.revision() > after.revision || called_at.elapsed() >= times.hold {
                sleep(RESPONSE_TIME).await;
                return match self.is_lost(called_at).await {
                    true => Err(time_out(called_at, times.timeout()).await),
                    false => Ok(WatchOutcome::Records(self.update(self.revision()))),
                };
            }
            sleep(STEP).await;
        }
    }
}

/// The times at which revisions were received.
#[derive(Default)]
struct RevisionTimes(Mutex<Vec<(u64, Instant)>>);

impl RecordSink for RevisionTimes {
    fn apply(&self, _topic: Topic, update: WatchUpdate, _is_full: bool) {
        let mut rows = self.0.lock().unwrap();
        rows.push((update.snapshot.at.revision, Instant::now()));
    }
    fn pause_after_change(&self, _topic: Topic) -> Duration {
        Duration::ZERO
    }
}

impl RevisionTimes {
    fn received_at(&self, revision: u64) -> Option<Instant> {
        let rows = self.0.lock().unwrap();
        rows.iter().find(|(at, _)| *at >= revision).map(|(_, t)| *t)
    }
}

/// Simulates an outage, and returns the time from its end until the watcher has the change, and
/// the number of calls.
async fn run_outage(start_after: Duration, duration: Duration) -> (Duration, u64) {
    let start = Instant::now();
    let store = Arc::new(FailingStore {
        outage_start: start + start_after,
        outage_end: start + start_after + duration,
        calls: AtomicU64::new(0),
    });
    let sink = Arc::new(RevisionTimes::default());
    let pacing = WatchPacing::default();
    let watcher = StoreWatcher::new(store.clone(), sink.clone(), Topic::Configuration, pacing);
    let task = tokio::spawn(watcher.run());
    let outage_end = store.outage_end;
    let received_at = loop {
        if let Some(received_at) = sink.received_at(NEW_REVISION) {
            break received_at;
        }
        sleep(STEP).await;
    };
    task.abort();
    (
        received_at - outage_end,
        store.calls.load(Ordering::Relaxed),
    )
}

#[tokio::test(start_paused = true)]
async fn a_change_is_known_in_time_after_an_outage_of_the_store() {
    // an outage of one step is the loss of all open connections
    for duration in [5, 300, 1_500, 3_300, 8_140] {
        for start_after in (3_000..7_000).step_by(50) {
            let (delay, _) = run_outage(ms(start_after), ms(duration)).await;
            assert!(
                delay <= MAX_CHANGE_DELAY,
                "outage at {start_after} ms for {duration} ms: change known {delay:?} after its end"
            );
        }
    }
}
