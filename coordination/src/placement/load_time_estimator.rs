use {
    super::EngineReport,
    chalkcart_state::backends::AdapterRef,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// time of a load before any was seen
const LOAD_TIME_AT_FIRST: Duration = Duration::from_millis(300);
/// a load that takes this many times as long as the fastest is one too many
const SLOW_LOADS: f64 = 1.25;
/// with each load the fastest counts for this much slower, so that a store that
/// is slow for good is not held to it
const FORGET_FASTEST: f64 = 1.02;
/// no load is taken for faster than this: it was no load from the store
const FASTEST_LOAD: Duration = Duration::from_millis(100);
/// time to bring back what the engine held lately, before any was seen
const RETURN_TIME_AT_FIRST: Duration = Duration::from_millis(40);
/// weight of the latest load in the mean
const LATEST_LOAD: f64 = 0.3;

/// how long an engine's loads of adapters take, from the order to the report
/// that has the adapter
#[derive(Debug)]
pub struct LoadTimeEstimator {
    ordered: HashMap<AdapterRef, OrderedLoad>,
    /// mean time of loads from the weight store
    load: Duration,
    /// the shortest of them
    fastest: Duration,
    /// mean time of loads of what was held lately
    back: Duration,
}

/// an adapter on its way
#[derive(Debug, Clone, Copy)]
struct OrderedLoad {
    at: Instant,
    /// the engine has held it lately
    returns: bool,
}

impl Default for LoadTimeEstimator {
    fn default() -> Self {
        Self {
            ordered: HashMap::new(),
            load: LOAD_TIME_AT_FIRST,
            fastest: LOAD_TIME_AT_FIRST,
            back: RETURN_TIME_AT_FIRST,
        }
    }
}

impl LoadTimeEstimator {
    /// an order was taken
    pub fn on_load_ordered(&mut self, adapter: &AdapterRef, returns: bool, now: Instant) {
        let load = OrderedLoad { at: now, returns };
        self.ordered.insert(adapter.clone(), load);
    }
    /// what was on its way will not come
    pub fn clear_ordered(&mut self) {
        self.ordered.clear();
    }
    /// learn from the loads that have ended
    pub fn on_report(&mut self, report: &EngineReport, now: Instant) {
        let (mut load, mut back) = (self.load, self.back);
        let mut fastest = self.fastest;
        self.ordered.retain(|adapter, ordered| {
            let is_held = report.held.iter().any(|h| h.adapter == *adapter);
            let is_loading = report.loading.contains(adapter);
            if is_held && !is_loading {
                let took = now.saturating_duration_since(ordered.at);
                match ordered.returns {
                    true => back = mean_with(back, took),
                    false => {
                        load = mean_with(load, took);
                        fastest = fastest.mul_f64(FORGET_FASTEST).min(took).max(FASTEST_LOAD);
                    }
                }
            }
            is_loading
        });
        (self.load, self.fastest, self.back) = (load, fastest, back);
    }

    /// mean time of a load from the weight store
    pub fn load_time(&self) -> Duration {
        self.load
    }
    /// mean time of a load of what was held lately
    pub fn reload_time(&self) -> Duration {
        self.back
    }
    /// Loads that should be under way at once, of `most`. The weight store serves a
    /// number of loads at full speed, and more of them more slowly; so loads that
    /// take longer than the fastest lately say that the fleet has too many.
    pub fn max_concurrent_loads(&self, most: usize) -> usize {
        let slowness = self.load.as_secs_f64() / self.fastest.as_secs_f64();
        let fewer = (slowness / SLOW_LOADS) as usize;
        most.saturating_sub(fewer).max(1)
    }
}

/// a mean of load times with one more of them
fn mean_with(mean: Duration, took: Duration) -> Duration {
    let mean = mean.as_secs_f64();
    Duration::from_secs_f64(mean + (took.as_secs_f64() - mean) * LATEST_LOAD)
}
