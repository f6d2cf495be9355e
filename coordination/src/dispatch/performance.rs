//! How fast the engines of a service are, compared with each other.

use {
    super::{
        dispatcher::Dispatcher, service_performance::MedianFigures, BackendState, MeasuredEngines,
    },
    crate::backend_performance::{EnginePerformance, RelativeRate},
    chalkcart_protocol::peer::EngineStats,
    chalkcart_state::{backends::BackendId, ids::ServiceName},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Age from which the figures of a view are no longer used. Sidecars repeat a view each 400 ms and
/// relays forward it within 200 ms, so an older view means that its path is interrupted.
const MAX_FIGURES_AGE: Duration = Duration::from_secs(3);
/// Relative rate up to which an engine counts as slow in the metrics.
const SLOW_RATE: f64 = 0.5;

impl Dispatcher {
    /// Returns how fast an engine is: by its own figures, else by the median of the engines of its
    /// service that report them, else `None`.
    ///
    /// An engine that reports no prefill rate is assumed to prefill at the rate that this entry
    /// observed in the service, scaled like its event interval: an engine that is slow in one is
    /// as slow in the other.
    pub(super) fn performance(&self, state: &BackendState) -> Option<EnginePerformance> {
        let median = self.median_figures(&state.listed.service)?;
        let own = self.own_stats(state);
        let own_interval = own.and_then(|s| s.event_interval_us);
        let interval = own_interval.or(median.event_interval_us)?;
        let reported = own.and_then(|s| s.prefill_tokens_per_s);
        let reported = reported.or(median
            .prefill_tokens_per_s
            .filter(|_| own_interval.is_none()));
        let prefill_tokens_per_ms = match reported {
            Some(per_s) => f64::from(per_s) / 1e3,
            None => self.tokens_per_ms_of(state),
        };
        Some(EnginePerformance {
            prefill_tokens_per_ms,
            event_interval_ms: f64::from(interval) / 1e3,
        })
    }

    /// Returns the prefill rate of an engine in tokens per ms: the rate observed in its service,
    /// scaled by its relative rate.
    pub(super) fn tokens_per_ms_of(&self, state: &BackendState) -> f64 {
        self.tokens_per_ms(&state.listed.service) * state.relative_rate.value()
    }

    /// Returns the numbers of engines that are measured and slow.
    pub fn measured_engines(&self) -> MeasuredEngines {
        let states = self.backends.values().filter(|b| b.may_be_current());
        let measured = states.filter(|b| {
            let stats = self.own_stats(b);
            stats.is_some_and(|s| s.event_interval_us.is_some())
        });
        measured.fold(MeasuredEngines::default(), |counts, state| {
            MeasuredEngines {
                measured: counts.measured + 1,
                slow: counts.slow + u32::from(state.relative_rate.value() <= SLOW_RATE),
            }
        })
    }

    /// Handles the change of an engine's figures from those of `before`.
    pub(super) fn on_figures(&mut self, id: &BackendId, before: Option<EngineStats>) {
        let figures = |s: &EngineStats| (s.event_interval_us, s.prefill_tokens_per_s);
        let Some(state) = self.backends.get(id) else {
            return;
        };
        let stats = state.view.as_ref().map(|v| &v.figures);
        if stats.map(figures) == before.as_ref().map(figures) {
            return;
        }
        self.performance.invalidate();
        let rate = self.measured_rate(state);
        if let Some(state) = self.backends.get_mut(id) {
            state.relative_rate = rate;
        }
    }

    /// Computes the medians and relative rates again if figures changed or may have become too
    /// old.
    pub(super) fn refresh_performance(&mut self, now: Instant) {
        if !self.performance.is_refresh_due(now) {
            return;
        }
        self.performance.is_outdated = false;
        self.performance.refreshed_at = Some(now);
        let mut figures: HashMap<&ServiceName, (Vec<u32>, Vec<u32>)> = HashMap::new();
        let states = self.backends.values().filter(|b| b.may_be_current());
        for state in states.filter(|b| !b.is_unlisted) {
            let Some(stats) = self.own_stats(state) else {
                continue;
            };
            if stats.event_interval_us.is_none() && stats.prefill_tokens_per_s.is_none() {
                continue;
            }
            let (intervals, rates) = figures.entry(&state.listed.service).or_default();
            intervals.extend(stats.event_interval_us);
            rates.extend(stats.prefill_tokens_per_s);
        }
        let medians = figures.into_iter().map(|(service, (intervals, rates))| {
            let median = MedianFigures {
                event_interval_us: median(intervals),
                prefill_tokens_per_s: median(rates),
            };
            (service.clone(), median)
        });
        self.performance.medians = medians.collect();
        let rates = self.backends.values().map(|b| self.measured_rate(b));
        let rates: Vec<RelativeRate> = rates.collect();
        for (state, rate) in self.backends.values_mut().zip(rates) {
            state.relative_rate = rate;
            if state.view.is_some() {
                state.home_rate.update(rate, now);
            }
        }
    }

    /// Returns the rate of an engine relative to the median of its service; 1 if it is unknown.
    fn measured_rate(&self, state: &BackendState) -> RelativeRate {
        let Some(own) = self.own_stats(state).and_then(|s| s.event_interval_us) else {
            return RelativeRate::default();
        };
        let median = self.median_figures(&state.listed.service);
        match median.and_then(|m| m.event_interval_us) {
            Some(median) => RelativeRate::of_intervals(own, median),
            None => RelativeRate::default(),
        }
    }

    fn median_figures(&self, service: &ServiceName) -> Option<MedianFigures> {
        if !self.settings.features.engine_performance {
            return None;
        }
        self.performance.medians.get(service).copied()
    }

    /// Returns the stats of an engine's view unless they are too old.
    fn own_stats<'b>(&self, state: &'b BackendState) -> Option<&'b EngineStats> {
        let checked_at = self.performance.refreshed_at?;
        let is_recent = state.view_age(checked_at)? < MAX_FIGURES_AGE;
        state
            .view
            .as_ref()
            .map(|v| &v.figures)
            .filter(|_| is_recent)
    }
}

/// Returns the lower median, which is a reported value, so that equal engines have a relative rate
/// of exactly 1.
fn median(mut values: Vec<u32>) -> Option<u32> {
    let middle = values.len().checked_sub(1)? / 2;
    let (_, median, _) = values.select_nth_unstable(middle);
    Some(*median)
}
