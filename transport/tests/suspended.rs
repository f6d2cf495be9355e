//! Guards against leases, ages and deadlines that ignore the time for which the machine was
//! suspended, as the monotonic clock and the runtime's timers do. Time is simulated.

use {
    async_trait::async_trait,
    chalkcart_coordination::{
        config::ConfigLease,
        crashes::{CrashRegistry, RequestVerdict},
        watch::{WatchPacing, WatchTimes},
    },
    chalkcart_state::{
        ingress::RequestDigest,
        published::{Snapshot, StorePosition, Topic},
    },
    chalkcart_transport::{
        clock::{self, before_deadline, sleep_until_deadline, Clock, DeadlineElapsed},
        metadata::{
            KnownEra, MetadataSource, RecordSink, SourceError, StoreWatcher, WatchOutcome,
            WatchUpdate,
        },
    },
    std::{
        cell::Cell,
        net::SocketAddr,
        sync::{Arc, Mutex, Once},
        time::{Duration, Instant},
    },
    tokio::time::{sleep, Instant as Timer},
};

const SUSPENDED: Duration = Duration::from_secs(10);
const CONFIG_LEASE: Duration = Duration::from_secs(5);

thread_local! {
    /// The total time for which this test's machine was suspended.
    static SUSPENDED_TIME: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// A boot clock that adds the suspended time to the runtime's clock.
struct SimulatedBootClock;

impl Clock for SimulatedBootClock {
    fn now(&self) -> Instant {
        Timer::now().into_std() + SUSPENDED_TIME.get()
    }
}

/// Installs the simulated clock for the tests of this file.
fn install_clock() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| clock::install(Box::new(SimulatedBootClock)).expect("the first clock"));
}

/// Suspends the machine, which no timer notices.
fn suspend(time: Duration) {
    SUSPENDED_TIME.set(SUSPENDED_TIME.get() + time);
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[tokio::test(start_paused = true)]
async fn a_deadline_that_passed_during_a_suspension_is_noticed_after_the_resume() {
    install_clock();
    let deadline = clock::now() + SUSPENDED;
    let waiting = tokio::spawn(async move {
        sleep_until_deadline(deadline).await;
        Timer::now()
    });
    sleep(ms(100)).await;
    suspend(SUSPENDED);
    let resumed_at = Timer::now();
    let noticed_at = waiting.await.expect("the sleep ends");
    let delay = noticed_at - resumed_at;
    assert!(delay <= ms(1_000), "{delay:?} after the resume");
}

#[tokio::test(start_paused = true)]
async fn after_a_deadline_a_ready_value_is_returned_and_a_pending_one_is_an_error() {
    install_clock();
    let deadline = clock::now() + ms(500);
    suspend(SUSPENDED);
    assert_eq!(before_deadline(deadline, async { 7 }).await, Ok(7));
    let never = std::future::pending::<u32>();
    assert_eq!(before_deadline(deadline, never).await, Err(DeadlineElapsed));
}

/// A store without changes, on a machine that is suspended during each watch call.
struct Store;

#[async_trait]
impl MetadataSource for Store {
    fn set_addr(&self, _addr: SocketAddr) {}

    fn known_era(&self) -> Arc<KnownEra> {
        Arc::default()
    }

    async fn snapshot(&self, _topic: Topic) -> Result<WatchUpdate, SourceError> {
        Ok(no_changes(clock::now()))
    }

    /// The response arrives before the suspension and is read after it.
    async fn watch(
        &self,
        _: Topic,
        _: StorePosition,
        times: WatchTimes,
    ) -> Result<WatchOutcome, SourceError> {
        let called_at = clock::now();
        sleep(times.hold).await;
        suspend(SUSPENDED);
        Ok(WatchOutcome::Records(no_changes(called_at)))
    }
}

fn no_changes(current_at: Instant) -> WatchUpdate {
    let records = Vec::new();
    WatchUpdate {
        snapshot: Snapshot {
            records,
            at: StorePosition::new(1, 1),
        },
        current_at,
    }
}

/// An entry's lease on its configuration, and the number of watch responses.
struct Entry(Mutex<(ConfigLease, u32)>);

impl RecordSink for Entry {
    fn apply(&self, _topic: Topic, update: WatchUpdate, is_full: bool) {
        let mut entry = self.0.lock().expect("no holder panics");
        entry.0.on_current(update.current_at);
        entry.1 += u32::from(!is_full);
    }
    fn pause_after_change(&self, _topic: Topic) -> Duration {
        Duration::ZERO
    }
}

/// A response from before a suspension must not renew the lease when it is read after it.
#[tokio::test(start_paused = true)]
async fn a_lease_is_not_renewed_by_a_response_from_before_a_suspension() {
    install_clock();
    let lease = ConfigLease::new(Some(CONFIG_LEASE));
    let entry = Arc::new(Entry(Mutex::new((lease, 0))));
    let pacing = WatchPacing::for_change_delay(ms(2_000));
    let watcher = StoreWatcher::new(Arc::new(Store), entry.clone(), Topic::Configuration, pacing);
    let watching = tokio::spawn(watcher.run());
    let lease_state = || {
        let entry = entry.0.lock().expect("no holder panics");
        (entry.0.is_valid(clock::now()), entry.1)
    };
    sleep(ms(1)).await;
    assert_eq!(lease_state(), (true, 0), "the snapshot is current");
    while lease_state().1 < 3 {
        sleep(ms(50)).await;
        let (is_valid, responses) = lease_state();
        assert!(!is_valid || responses == 0, "after {responses} responses");
    }
    watching.abort();
}

/// A crash reported before a suspension is older than a completion reported after it.
#[tokio::test(start_paused = true)]
async fn ages_in_reports_include_the_time_of_a_suspension() {
    install_clock();
    let digest = RequestDigest::of("POST", "/", "", b"any");
    let mut registry = CrashRegistry::default();
    let now = clock::now();
    registry.on_engine_ended(digest, 1, now, now);
    suspend(SUSPENDED);
    // another entry completed the request 4 s ago and reports it now
    let mut other = CrashRegistry::default();
    other.on_engine_ended(digest, 2, clock::now() - ms(9_000), clock::now());
    other.on_completed(digest, clock::now() - ms(4_000));
    let (reports, _) = other.reports_since(0, clock::now());
    registry.merge(&reports, clock::now());
    assert_eq!(
        registry.verdict(&digest, clock::now()),
        RequestVerdict::Clear
    );
}
