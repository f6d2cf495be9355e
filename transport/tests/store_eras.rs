//! A store that begins a new era: a watcher reads its topic in full at once, and never goes back
//! to an earlier era. Time is simulated.

use {
    async_trait::async_trait,
    chalkcart_coordination::watch::{WatchPacing, WatchTimes},
    chalkcart_state::published::{Snapshot, StorePosition, Topic},
    chalkcart_transport::metadata::{
        KnownEra, MetadataSource, RecordSink, SourceError, StoreWatcher, WatchOutcome, WatchUpdate,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        task::JoinHandle,
        time::{sleep, Instant},
    },
};

/// Time for the watcher to make its calls, well below the hold of one.
const SHORTLY: Duration = Duration::from_millis(50);
const RESPONSE_TIME: Duration = Duration::from_millis(4);

/// A store whose watches are held although its state changes, as if the change were on its way.
#[derive(Default)]
struct Store {
    at: Mutex<StorePosition>,
    era: Arc<KnownEra>,
}

impl Store {
    fn set(&self, at: StorePosition) {
        *self.at.lock().unwrap() = at;
    }
    fn update(&self) -> WatchUpdate {
        let at = *self.at.lock().unwrap();
        let records = Vec::new();
        WatchUpdate {
            snapshot: Snapshot { records, at },
            current_at: std::time::Instant::now(),
        }
    }
}

#[async_trait]
impl MetadataSource for Store {
    fn set_addr(&self, _addr: SocketAddr) {}

    fn known_era(&self) -> Arc<KnownEra> {
        self.era.clone()
    }

    async fn snapshot(&self, _topic: Topic) -> Result<WatchUpdate, SourceError> {
        sleep(RESPONSE_TIME).await;
        Ok(self.update())
    }

    async fn watch(
        &self,
        _topic: Topic,
        after: StorePosition,
        times: WatchTimes,
    ) -> Result<WatchOutcome, SourceError> {
        sleep(times.hold).await;
        let update = self.update();
        match update.snapshot.at.era == after.era {
            true => Ok(WatchOutcome::Records(update)),
            false => Ok(WatchOutcome::HistoryLost),
        }
    }
}

/// The positions that a watcher applied, and whether as a full list.
#[derive(Default)]
struct Applied(Mutex<Vec<(StorePosition, bool)>>);

impl Applied {
    fn last(&self) -> Option<(StorePosition, bool)> {
        self.0.lock().unwrap().last().copied()
    }
}

impl RecordSink for Applied {
    fn apply(&self, _topic: Topic, update: WatchUpdate, is_full: bool) {
        let mut rows = self.0.lock().unwrap();
        rows.push((update.snapshot.at, is_full));
    }
    fn pause_after_change(&self, _topic: Topic) -> Duration {
        Duration::ZERO
    }
}

struct Watched {
    store: Arc<Store>,
    applied: Arc<Applied>,
    task: JoinHandle<()>,
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn watch_from(at: StorePosition) -> Watched {
    let (store, applied) = (Arc::new(Store::default()), Arc::new(Applied::default()));
    store.set(at);
    let pacing = WatchPacing::default();
    let watcher = StoreWatcher::new(store.clone(), applied.clone(), Topic::Backends, pacing);
    let task = tokio::spawn(watcher.run());
    sleep(SHORTLY).await;
    assert_eq!(applied.last(), Some((at, true)));
    Watched {
        store,
        applied,
        task,
    }
}

/// Guards against a list that stays that of the former era until a held watch ends, while the
/// other topic already knows of the new one.
#[tokio::test(start_paused = true)]
async fn a_new_era_is_read_in_full_without_waiting_for_a_held_watch() {
    let watched = watch_from(StorePosition::new(1, 306)).await;
    let restored = StorePosition::new(2, 171);
    watched.store.set(restored);
    let began_at = Instant::now();
    watched.store.era.raise(restored.era);
    sleep(SHORTLY).await;
    assert_eq!(watched.applied.last(), Some((restored, true)));
    assert!(began_at.elapsed() < WatchPacing::default().next_call(0).hold);
}

/// Guards against the records of an era that is over, as a relay may still have them.
#[tokio::test(start_paused = true)]
async fn records_of_an_earlier_era_are_not_applied() {
    let newer = StorePosition::new(2, 171);
    let watched = watch_from(newer).await;
    watched.store.set(StorePosition::new(1, 306));
    sleep(Duration::from_secs(10)).await;
    assert_eq!(watched.applied.last(), Some((newer, true)));
    let later = StorePosition::new(2, 180);
    watched.store.set(later);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(watched.applied.last().map(|(at, _)| at), Some(later));
}
