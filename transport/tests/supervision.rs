//! Guards against a task that ends with its first panic, while its process goes on without it: a
//! list that is read no more, engines that are reported no more, clients that are accepted no more.

use {
    async_trait::async_trait,
    chalkcart_coordination::{
        recovery::{AfterFault, FaultSettings, FaultWindow},
        watch::{WatchPacing, WatchTimes},
    },
    chalkcart_state::published::{Record, Snapshot, StorePosition, Topic},
    chalkcart_transport::{
        metadata::{
            KnownEra, MetadataSource, RecordSink, SourceError, StoreWatcher, WatchOutcome,
            WatchUpdate,
        },
        supervision::{contained, supervised, thread_end},
    },
    quickcheck::{Arbitrary, Gen},
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicU32, Ordering},
            Arc,
        },
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

const SEED: u64 = 93;
const PATIENCE: Duration = Duration::from_secs(600);

/// Guards against a task that starts again only once, or after it has ended by itself.
#[tokio::test(start_paused = true)]
async fn a_task_goes_on_after_any_number_of_panics() {
    let mut g = Gen::from_size_and_seed(20, SEED);
    for _ in 0..20 {
        let panics = u32::arbitrary(&mut g) % 9;
        let starts = Arc::new(AtomicU32::new(0));
        let counted = starts.clone();
        let task = supervised("test", move || {
            let start = counted.fetch_add(1, Ordering::Relaxed);
            async move {
                sleep(Duration::from_millis(5)).await;
                assert!(start >= panics, "a fault");
            }
        });
        assert!(timeout(PATIENCE, task).await.is_ok());
        assert_eq!(starts.load(Ordering::Relaxed), panics + 1);
    }
}

#[tokio::test]
async fn a_part_that_panics_ends_alone() {
    assert_eq!(contained("test", async { 3 }).await, Some(3));
    assert_eq!(
        contained::<()>("test", async { panic!("a fault") }).await,
        None
    );
}

/// Guards against a thread whose end nobody learns of, as it ended by a panic.
#[tokio::test]
async fn the_end_of_a_thread_is_told_however_it_ends() {
    for panics in [false, true] {
        let (held, end) = thread_end();
        assert!(!end.has_ended());
        let thread = std::thread::spawn(move || {
            let _held = held;
            assert!(!panics, "a fault");
        });
        assert!(timeout(PATIENCE, end.wait()).await.is_ok());
        assert!(end.has_ended());
        assert_eq!(thread.join().is_err(), panics);
    }
}

/// Guards against a thread that gives up for faults that lie far apart, or goes on however many.
#[test]
fn a_thread_gives_up_only_for_many_faults_within_the_window() {
    let settings = FaultSettings {
        max_faults: 4,
        window: Duration::from_secs(10),
    };
    let mut g = Gen::from_size_and_seed(20, SEED);
    for _ in 0..200 {
        let mut faults = FaultWindow::new(settings);
        let mut at: Vec<Instant> = Vec::new();
        let mut now = Instant::now();
        for _ in 0..30 {
            now += Duration::from_millis(u64::from(u16::arbitrary(&mut g) % 6_000));
            at.push(now);
            let recent = at.iter().filter(|at| now - **at < settings.window).count();
            let expected = match recent >= settings.max_faults {
                true => AfterFault::GiveUp,
                false => AfterFault::GoOn,
            };
            assert_eq!(faults.on_fault(now), expected);
        }
    }
}

/// A store with one record, which says that it is gone in each further call.
struct OneRecord;

fn update() -> WatchUpdate {
    WatchUpdate {
        snapshot: Snapshot {
            records: vec![Record::BackendGone("x".to_string())],
            at: StorePosition::new(1, 1),
        },
        current_at: chalkcart_transport::clock::now(),
    }
}

#[async_trait]
impl MetadataSource for OneRecord {
    fn set_addr(&self, _addr: SocketAddr) {}
    fn known_era(&self) -> Arc<KnownEra> {
        Arc::default()
    }
    async fn snapshot(&self, _topic: Topic) -> Result<WatchUpdate, SourceError> {
        Ok(update())
    }
    async fn watch(
        &self,
        _topic: Topic,
        _after: StorePosition,
        _times: WatchTimes,
    ) -> Result<WatchOutcome, SourceError> {
        sleep(Duration::from_millis(100)).await;
        Ok(WatchOutcome::Records(update()))
    }
}

/// Fails with the first two updates that it is given.
#[derive(Default)]
struct FailingSink(AtomicU32);

impl RecordSink for FailingSink {
    fn apply(&self, _topic: Topic, _update: WatchUpdate, _is_full: bool) {
        assert!(self.0.fetch_add(1, Ordering::Relaxed) >= 2, "a fault");
    }
    fn pause_after_change(&self, _topic: Topic) -> Duration {
        Duration::ZERO
    }
}

/// Guards against a list that is read no more after a record that its reader can't bear.
#[tokio::test(start_paused = true)]
async fn a_store_is_read_again_after_a_fault_of_its_reader() {
    let sink = Arc::new(FailingSink::default());
    let applied = sink.clone();
    let watch = move || {
        let pacing = WatchPacing::default();
        StoreWatcher::new(Arc::new(OneRecord), sink.clone(), Topic::Backends, pacing).run()
    };
    let task = tokio::spawn(supervised("store watch", watch));
    let read = async {
        while applied.0.load(Ordering::Relaxed) < 5 {
            sleep(Duration::from_millis(100)).await;
        }
    };
    assert!(timeout(PATIENCE, read).await.is_ok());
    task.abort();
}
