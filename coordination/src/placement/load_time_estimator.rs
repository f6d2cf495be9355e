use {
    super::EngineReport,
    chalkcart_state::backends::AdapterRef,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

const INITIAL_LOAD_TIME: Duration = Duration::from_millis(300);
const INITIAL_RELOAD_TIME: Duration = Duration::from_millis(40);
/// The number of concurrent loads is lowered by one for each multiple of this ratio of
/// the mean load time to the fastest one.
const SLOWDOWN_PER_LOAD: f64 = 1.25;
/// Growth of the fastest load time per load, so that the estimate follows a store that
/// has become slower.
const FASTEST_TIME_GROWTH: f64 = 1.02;
/// Lower bound of the fastest load time; a shorter load did not come from the store.
const MIN_LOAD_TIME: Duration = Duration::from_millis(100);
/// Weight of the latest load in the moving average.
const LATEST_LOAD_WEIGHT: f64 = 0.3;

/// Estimates how long an engine takes to load an adapter, from the order to the first
/// report that lists the adapter as held.
#[derive(Debug)]
pub struct LoadTimeEstimator {
    ordered: HashMap<AdapterRef, OrderedLoad>,
    /// Mean time of loads from the weight store.
    load_time: Duration,
    /// Shortest recent load from the weight store.
    fastest_load_time: Duration,
    /// Mean time of reloads of recently held adapters.
    reload_time: Duration,
}

/// A load that was ordered and has not ended.
#[derive(Debug, Clone, Copy)]
struct OrderedLoad {
    ordered_at: Instant,
    /// Whether the engine held the adapter recently.
    is_reload: bool,
}

impl Default for LoadTimeEstimator {
    fn default() -> Self {
        Self {
            ordered: HashMap::new(),
            load_time: INITIAL_LOAD_TIME,
            fastest_load_time: INITIAL_LOAD_TIME,
            reload_time: INITIAL_RELOAD_TIME,
        }
    }
}

impl LoadTimeEstimator {
    /// Records that the engine accepted a load.
    pub fn on_load_ordered(&mut self, adapter: &AdapterRef, is_reload: bool, now: Instant) {
        let load = OrderedLoad {
            ordered_at: now,
            is_reload,
        };
        self.ordered.insert(adapter.clone(), load);
    }
    /// Drops the pending loads, which will not complete.
    pub fn clear_ordered(&mut self) {
        self.ordered.clear();
    }
    /// Updates the estimates from the loads that have ended.
    pub fn on_report(&mut self, report: &EngineReport, now: Instant) {
        let (mut load_time, mut reload_time) = (self.load_time, self.reload_time);
        let mut fastest = self.fastest_load_time;
        self.ordered.retain(|adapter, ordered| {
            let is_held = report.held.iter().any(|h| h.adapter == *adapter);
            let is_loading = report.loading.contains(adapter);
            if is_held && !is_loading {
                let elapsed = now.saturating_duration_since(ordered.ordered_at);
                match ordered.is_reload {
                    true => reload_time = moving_average(reload_time, elapsed),
                    false => {
                        load_time = moving_average(load_time, elapsed);
                        fastest = fastest
                            .mul_f64(FASTEST_TIME_GROWTH)
                            .min(elapsed)
                            .max(MIN_LOAD_TIME);
                    }
                }
            }
            is_loading
        });
        (self.load_time, self.fastest_load_time, self.reload_time) =
            (load_time, fastest, reload_time);
    }

    /// Returns the mean time of a load from the weight store.
    pub fn load_time(&self) -> Duration {
        self.load_time
    }
    /// Returns the mean time of a reload of a recently held adapter.
    pub fn reload_time(&self) -> Duration {
        self.reload_time
    }
    /// Returns how many loads should run at a time, at most `limit`. The weight store
    /// slows down when the fleet runs too many loads; load times above the fastest
    /// recent one indicate this.
    pub fn max_concurrent_loads(&self, limit: usize) -> usize {
        let slowdown = self.load_time.as_secs_f64() / self.fastest_load_time.as_secs_f64();
        let reduction = (slowdown / SLOWDOWN_PER_LOAD) as usize;
        limit.saturating_sub(reduction).max(1)
    }
}

/// Adds a load time to an exponential moving average.
fn moving_average(mean: Duration, latest: Duration) -> Duration {
    let mean = mean.as_secs_f64();
    Duration::from_secs_f64(mean + (latest.as_secs_f64() - mean) * LATEST_LOAD_WEIGHT)
}
