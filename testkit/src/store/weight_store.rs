use {
    crate::serving::lock,
    std::{
        sync::{
            atomic::{AtomicU32, AtomicU64, Ordering},
            Mutex,
        },
        time::{Duration, Instant},
    },
    tokio::time::{sleep, sleep_until},
};

/// Interval at which a load accounts for its share of the bandwidth.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug, Clone)]
pub struct StoreSettings {
    /// Maximum number of loads started per second.
    pub loads_per_second: f64,
    /// Number of concurrent loads at full speed; more share that bandwidth.
    pub at_once: u32,
    /// Duration of a load at full speed.
    pub load_time: Duration,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            loads_per_second: 3.0,
            at_once: 2,
            load_time: Duration::from_millis(400),
        }
    }
}

/// Store from which all engines load adapter weights.
#[derive(Debug)]
pub struct WeightStore {
    settings: StoreSettings,
    /// Earliest start of the next load.
    next_start: Mutex<Instant>,
    running: AtomicU32,
    started: AtomicU64,
    /// Number of next loads that fail.
    loads_to_fail: AtomicU32,
}

impl WeightStore {
    pub fn new(settings: StoreSettings) -> Self {
        Self {
            settings,
            next_start: Mutex::new(Instant::now()),
            running: AtomicU32::new(0),
            started: AtomicU64::new(0),
            loads_to_fail: AtomicU32::new(0),
        }
    }
    pub fn fail_next(&self, count: u32) {
        self.loads_to_fail.store(count, Ordering::Relaxed);
    }
    pub fn started(&self) -> u64 {
        self.started.load(Ordering::Relaxed)
    }

    /// Loads one adapter's weights; returns false if the load failed.
    pub async fn load(&self) -> bool {
        sleep_until(self.reserve_start_time().into()).await;
        self.started.fetch_add(1, Ordering::Relaxed);
        self.running.fetch_add(1, Ordering::Relaxed);
        let guard = RunningLoad(&self.running);
        let mut left = self.settings.load_time.as_secs_f64();
        while left > 0.0 {
            sleep(PROGRESS_INTERVAL).await;
            let running = self.running.load(Ordering::Relaxed).max(1);
            let speed = f64::from(self.settings.at_once) / f64::from(running);
            left -= PROGRESS_INTERVAL.as_secs_f64() * speed.min(1.0);
        }
        drop(guard);
        let failed = self
            .loads_to_fail
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1));
        failed.is_err()
    }

    fn reserve_start_time(&self) -> Instant {
        let mut next = lock(&self.next_start);
        let start = (*next).max(Instant::now());
        *next = start + Duration::from_secs_f64(1.0 / self.settings.loads_per_second);
        start
    }
}

/// Counts a running load until it is dropped.
struct RunningLoad<'a>(&'a AtomicU32);

impl Drop for RunningLoad<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
