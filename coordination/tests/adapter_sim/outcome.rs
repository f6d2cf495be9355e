//! Counts of a simulation.

use {
    super::SimTime,
    std::{
        collections::{BTreeMap, HashMap},
        fmt::{self, Display, Formatter},
    },
};

/// Longest pause between two events that is in time, in ms.
const MAX_GAP_MS: SimTime = 400;

/// A stream from the client's first attempt on.
#[derive(Debug, Default, Clone)]
pub struct StreamRecord {
    pub requested_at: SimTime,
    pub objective_ms: SimTime,
    pub sent_at: Option<SimTime>,
    pub first_event_at: Option<SimTime>,
    pub last_event_at: SimTime,
    pub longest_gap_ms: SimTime,
    pub is_complete: bool,
}

impl StreamRecord {
    pub fn is_in_time(&self) -> bool {
        let first = self.first_event_at.map(|at| at - self.requested_at);
        self.is_complete
            && first.is_some_and(|first| first <= self.objective_ms)
            && self.longest_gap_ms <= MAX_GAP_MS
    }
}

#[derive(Debug, Default)]
pub struct Outcome {
    /// Loads from the weight store, by adapter.
    pub store_loads: BTreeMap<String, u32>,
    /// These loads by where else the adapter was, and why an entry requested it there.
    pub repeats: BTreeMap<(&'static str, &'static str), u32>,
    pub reloads: u32,
    pub evictions: u32,
    /// Adapters that streams requested.
    pub requested_adapters: usize,
    /// Loads requested by entries, by cause.
    pub requested_loads: HashMap<&'static str, u32>,
    pub streams: Vec<StreamRecord>,
    pub rejections: HashMap<&'static str, u32>,
    /// Requests that came to an engine without the adapter.
    pub misdirected: u32,
}

impl Outcome {
    pub fn store_load_count(&self) -> u32 {
        self.store_loads.values().sum()
    }
    /// Returns the loads from the weight store for each adapter that was requested.
    pub fn loads_per_adapter(&self) -> f64 {
        f64::from(self.store_load_count()) / self.requested_adapters.max(1) as f64
    }
    pub fn in_time_ratio(&self) -> f64 {
        let in_time = self.streams.iter().filter(|s| s.is_in_time()).count();
        in_time as f64 / self.streams.len().max(1) as f64
    }
    pub fn complete_ratio(&self) -> f64 {
        let complete = self.streams.iter().filter(|s| s.is_complete).count();
        complete as f64 / self.streams.len().max(1) as f64
    }
    /// Returns the ratio of streams whose first event was in time.
    pub fn first_in_time_ratio(&self) -> f64 {
        let prompt = self.streams.iter().filter(|s| {
            let first = s.first_event_at.map(|at| at - s.requested_at);
            first.is_some_and(|first| first <= s.objective_ms)
        });
        prompt.count() as f64 / self.streams.len().max(1) as f64
    }
    /// Returns a quantile of the time from a client's first attempt to the last send.
    pub fn wait_ms(&self, quantile: f64) -> SimTime {
        quantile_of(&self.streams, quantile, |s| s.sent_at)
    }
    /// Returns a quantile of the time to the first event.
    pub fn first_event_ms(&self, quantile: f64) -> SimTime {
        quantile_of(&self.streams, quantile, |s| s.first_event_at)
    }
}

fn quantile_of(
    streams: &[StreamRecord],
    quantile: f64,
    at: impl Fn(&StreamRecord) -> Option<SimTime>,
) -> SimTime {
    let times = streams.iter().filter_map(|s| Some(at(s)? - s.requested_at));
    let mut times: Vec<SimTime> = times.collect();
    times.sort_unstable();
    let rank = (times.len() as f64 * quantile) as usize;
    times.get(rank).copied().unwrap_or(0)
}

impl Display for Outcome {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let mut requested: Vec<_> = self.requested_loads.iter().collect();
        requested.sort();
        let mut rejections: Vec<_> = self.rejections.iter().collect();
        rejections.sort();
        write!(
            f,
            "{:.2} loads for each of {} adapters ({} loads, most {}), reloads {}, evictions {}, \
             misdirected {}, streams {}, in time {:.3}, first event in time {:.3}, complete \
             {:.3}, wait p50 {} p90 {} p99 {} ms, first event p50 {} p90 {} p99 {} ms, requested \
             {requested:?}, rejected {rejections:?}, loads by place of the adapter {:?}",
            self.loads_per_adapter(),
            self.requested_adapters,
            self.store_load_count(),
            self.store_loads.values().max().unwrap_or(&0),
            self.reloads,
            self.evictions,
            self.misdirected,
            self.streams.len(),
            self.in_time_ratio(),
            self.first_in_time_ratio(),
            self.complete_ratio(),
            self.wait_ms(0.5),
            self.wait_ms(0.9),
            self.wait_ms(0.99),
            self.first_event_ms(0.5),
            self.first_event_ms(0.9),
            self.first_event_ms(0.99),
            self.repeats,
        )
    }
}
