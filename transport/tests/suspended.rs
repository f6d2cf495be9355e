//! A machine that is suspended: its steady clock stands still, and so do the runtime's
//! timers, while the time that leases and deadlines are about goes on.
//!
//! Seen: nothing yet on a day; found by reading. Each lease, age and deadline was judged by
//! the steady clock, so an entry that woke after 10 s took a key that had been taken away
//! meanwhile for one that it had known to be good 0.1 s ago. Proof: with the steady clock in
//! place of the one installed here these tests fail.
//!
//! Time is simulated: no test here waits.

use {
    async_trait::async_trait,
    chalkcart_coordination::{
        config::ConfigLease,
        crashes::{CrashRegistry, RequestVerdict},
        watch::{WatchPacing, WatchTimes},
    },
    chalkcart_state::{
        ingress::RequestDigest,
        published::{Snapshot, Topic},
    },
    chalkcart_transport::{
        clock::{self, before_deadline, sleep_until_deadline, Clock, DeadlineElapsed},
        metadata::{
            MetadataSource, RecordSink, SourceError, StoreWatcher, WatchOutcome, WatchUpdate,
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
const REVOKED_WITHIN: Duration = Duration::from_secs(5);

thread_local! {
    /// time for which this test's machine was suspended
    static SUSPENSIONS: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// the boot clock of a machine whose steady clock is the runtime's
struct SuspendedClock;

impl Clock for SuspendedClock {
    fn now(&self) -> Instant {
        Timer::now().into_std() + SUSPENSIONS.get()
    }
}

/// have the tests of this file go by the simulated clock
fn set_up() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| clock::install(Box::new(SuspendedClock)).expect("the first clock"));
}

/// the machine is suspended: no timer counts it
fn suspend(time: Duration) {
    SUSPENSIONS.set(SUSPENSIONS.get() + time);
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[tokio::test(start_paused = true)]
async fn a_deadline_that_passed_meanwhile_is_seen_soon_after_the_wake() {
    set_up();
    let deadline = clock::now() + SUSPENDED;
    let waiting = tokio::spawn(async move {
        sleep_until_deadline(deadline).await;
        Timer::now()
    });
    sleep(ms(100)).await;
    suspend(SUSPENDED);
    let woken = Timer::now();
    let seen = waiting.await.expect("it ends");
    assert!(
        seen - woken <= ms(1_000),
        "{:?} after the wake",
        seen - woken
    );
}

#[tokio::test(start_paused = true)]
async fn what_is_there_is_given_and_what_is_not_is_late() {
    set_up();
    let deadline = clock::now() + ms(500);
    suspend(SUSPENDED);
    assert_eq!(before_deadline(deadline, async { 7 }).await, Ok(7));
    let never = std::future::pending::<u32>();
    assert_eq!(before_deadline(deadline, never).await, Err(DeadlineElapsed));
}

/// a store that knows nothing new, and a machine that is suspended while it is asked
struct Store;

#[async_trait]
impl MetadataSource for Store {
    fn set_addr(&self, _addr: SocketAddr) {}

    async fn snapshot(&self, _topic: Topic) -> Result<WatchUpdate, SourceError> {
        Ok(nothing_newer(clock::now()))
    }

    /// the answer comes before the machine is suspended, and is read after
    async fn watch(
        &self,
        _: Topic,
        _: u64,
        times: WatchTimes,
    ) -> Result<WatchOutcome, SourceError> {
        let asked = clock::now();
        sleep(times.hold).await;
        suspend(SUSPENDED);
        Ok(WatchOutcome::Records(nothing_newer(asked)))
    }
}

fn nothing_newer(current_at: Instant) -> WatchUpdate {
    let records = Vec::new();
    WatchUpdate {
        snapshot: Snapshot { records, at: 1 },
        current_at,
    }
}

/// an entry that admits callers while its lease on the configuration holds
struct Entry(Mutex<(ConfigLease, u32)>);

impl RecordSink for Entry {
    fn apply(&self, _topic: Topic, heard: WatchUpdate, is_full: bool) {
        let mut entry = self.0.lock().expect("no holder panics");
        entry.0.on_current(heard.current_at);
        entry.1 += u32::from(!is_full);
    }
    fn pause_after_change(&self, _topic: Topic) -> Duration {
        Duration::ZERO
    }
}

/// what it knew before it was suspended is as old as the suspension, whenever it reads it
#[tokio::test(start_paused = true)]
async fn no_lease_holds_after_a_wake_by_what_was_heard_before() {
    set_up();
    let lease = ConfigLease::new(Some(REVOKED_WITHIN));
    let entry = Arc::new(Entry(Mutex::new((lease, 0))));
    let pacing = WatchPacing::for_change_delay(ms(2_000));
    let follower = StoreWatcher::new(Arc::new(Store), entry.clone(), Topic::Configuration, pacing);
    let following = tokio::spawn(follower.run());
    let holds = || {
        let entry = entry.0.lock().expect("no holder panics");
        (entry.0.is_valid(clock::now()), entry.1)
    };
    sleep(ms(1)).await;
    assert_eq!(holds(), (true, 0), "the first answer is current");
    while holds().1 < 3 {
        sleep(ms(50)).await;
        let (is_held, answers) = holds();
        assert!(!is_held || answers == 0, "after {answers} answers");
    }
    following.abort();
}

/// an end that was heard of before is older than a run to its end that is told of after
#[tokio::test(start_paused = true)]
async fn words_of_others_are_dated_by_the_time_that_has_passed() {
    set_up();
    let digest = RequestDigest::of("POST", "/", "", b"any");
    let mut book = CrashRegistry::default();
    let now = clock::now();
    book.on_engine_ended(digest, 1, now, now);
    suspend(SUSPENDED);
    // another entry ran it to its end 4 s ago, and tells it now
    let mut other = CrashRegistry::default();
    other.on_engine_ended(digest, 2, clock::now() - ms(9_000), clock::now());
    other.on_completed(digest, clock::now() - ms(4_000));
    let (words, _) = other.reports_since(0, clock::now());
    book.merge(&words, clock::now());
    assert_eq!(book.verdict(&digest, clock::now()), RequestVerdict::Clear);
}
