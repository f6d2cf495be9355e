use {
    super::{prefill_ratio::PrefillRatio, PublishedStep, RunObserver, RunProgress},
    crate::placement::EngineRun,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Time that a sample covers at least. A step with a full chunk takes some 0.1 s on a usual engine
/// and 0.6 s on the slowest; a sample ends with a step, and errs by one read interval.
const MIN_SAMPLE_TIME: Duration = Duration::from_millis(300);
/// Events of all runs from which a sample ends after the minimum time; fewer are too coarse.
const MIN_SAMPLE_EVENTS: u64 = 20;
/// Time from which a sample may end with fewer events.
const MAX_SAMPLE_TIME: Duration = Duration::from_millis(500);
/// Minimum time of a sample with prefill where reports don't show its progress: a prompt counts in
/// full when its first event appears, long after most of it was prefilled.
const MIN_HIDDEN_PREFILL_TIME: Duration = Duration::from_millis(1_200);
/// Half-life of a sample's weight in the median, which follows a lasting change after one
/// half-life: a slow phase of 600 ms has a third of the weight and changes nothing, and a slow
/// engine is known within 2 s.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Half-life of a sample in the mean of those near the median, which evens out their scatter.
const MEAN_HALF_LIFE: Duration = Duration::from_secs(6);
/// Age from which a sample is dropped, so that an engine without requests becomes unknown.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(30);
/// Number of samples kept; they cover 9.6 s at least.
const MAX_SAMPLES: usize = 32;
/// Time that samples must cover before figures are published.
const MIN_COVERED_TIME: Duration = Duration::from_millis(600);
/// Ratio to the median up to which samples are averaged. It excludes slow phases of 2.5 times; with
/// 1.3, the scatter of short samples changed which were included, and the mean with it.
const MAX_DEVIATION: f64 = 1.5;
/// Events that take as long as the longest usual step, which prefills a full chunk: 3.4 for the
/// 2,048 tokens of docs/design/uneven-load.md. A busy engine without progress for longer is
/// slower than estimated, which is known before its step ends.
const LONGEST_STEP_EVENTS: f64 = 4.0;
/// Idle time after which an incomplete sample is dropped; otherwise it continues, so that an engine
/// that only runs single short streams is measured.
const MAX_SAMPLE_GAP: Duration = Duration::from_secs(5);
/// Factor from which a change of the published interval is logged.
const LOGGED_FACTOR: f64 = 1.25;
/// Minimum interval between two changes that are logged.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// One measurement of the event interval.
#[derive(Debug, Clone, Copy)]
struct Sample {
    started_at: Instant,
    /// Time of the sample, in ms.
    ms: f64,
    /// Events that one run would have generated in this time without prefill.
    events: f64,
}

impl Sample {
    fn interval_ms(&self) -> f64 {
        self.ms / self.events
    }
    /// Returns the weight of its time, which decays with its age.
    fn weight(&self, half_life: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started_at).as_secs_f64();
        let decay = |age: f64| 0.5f64.powf(age / half_life.as_secs_f64());
        decay((age - self.ms / 1_000.0).max(0.0)) - decay(age)
    }
}

/// Figures of an engine as its sidecar publishes them, rounded to steps.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PublishedPerformance {
    pub event_interval_us: Option<u32>,
    pub prefill_tokens_per_s: Option<u32>,
}

/// A change of published figures that is worth a log line, with what it was measured from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PerformanceChange {
    pub before: PublishedPerformance,
    pub after: PublishedPerformance,
    /// Number of samples that the estimate is based on.
    pub samples: usize,
    /// Age of the oldest sample.
    pub oldest_sample_age: Duration,
    /// Whether prompt tokens were converted to events by a measured ratio rather than the initial
    /// one.
    pub is_ratio_measured: bool,
}

/// Measures how fast one incarnation of an engine is, from the progress of its runs.
///
/// In a sample without prefill the event interval is its time divided by the events of a run. With
/// prefill, each prompt token counts as the fraction of an event that takes as long
/// ([`PrefillRatio`]), since a loaded engine may prefill all the time. The estimate is the median
/// of the samples, weighted by time and age, averaged with the samples near it; a wrong sample has
/// no effect.
#[derive(Debug, Default)]
pub struct PerformanceEstimator {
    observer: RunObserver,
    /// Progress since the last sample.
    open: RunProgress,
    open_until: Option<Instant>,
    /// Whether reports don't show the progress of prefill.
    is_prefill_hidden: bool,
    /// Time since the last step that made progress, while the engine was busy.
    since_step: Duration,
    samples: VecDeque<Sample>,
    ratio: PrefillRatio,
    interval: PublishedStep,
    /// Prompt tokens that take as long as an event.
    tokens_per_event: PublishedStep,
    /// Figures at the last change that was logged.
    logged: PublishedPerformance,
    logged_at: Option<Instant>,
}

impl PerformanceEstimator {
    /// Handles a report of the engine. `runs` is `None` if the engine doesn't report them.
    pub fn on_report(&mut self, runs: Option<&[EngineRun]>, now: Instant) {
        self.drop_old_samples(now);
        let Some(progress) = self.observer.on_report(runs.unwrap_or_default(), now) else {
            self.since_step = Duration::ZERO;
            return;
        };
        if !self.is_prefill_hidden && !self.observer.is_prefill_visible() {
            // what was measured so far took prompts for prefilled as soon as they arrived
            self.is_prefill_hidden = true;
            self.samples.clear();
            self.open = RunProgress::default();
            self.ratio = PrefillRatio::default();
        }
        let last = self.open_until.replace(now);
        let gap = last.map(|at| now.saturating_duration_since(at));
        if gap.is_some_and(|gap| gap > progress.elapsed + MAX_SAMPLE_GAP) {
            self.open = RunProgress::default();
        }
        self.ratio.on_progress(&progress, now);
        self.open.add(progress);
        self.since_step = match progress.has_step() || self.is_prefill_hidden {
            true => Duration::ZERO,
            false => self.since_step + progress.elapsed,
        };
        if self.open.elapsed >= self.min_sample_time() && progress.has_step() {
            let sample = std::mem::take(&mut self.open);
            self.add_sample(sample, now);
            self.update(now);
        } else if self.sample_of_long_step(now).is_some() {
            self.update(now);
        }
    }
    fn min_sample_time(&self) -> Duration {
        if self.is_prefill_hidden && self.open.has_prefill {
            return MIN_HIDDEN_PREFILL_TIME;
        }
        match self.open.total_events >= MIN_SAMPLE_EVENTS {
            true => MIN_SAMPLE_TIME,
            false => MAX_SAMPLE_TIME,
        }
    }
    /// Returns the figures to publish, without values until they are measured.
    pub fn published(&self) -> PublishedPerformance {
        let interval_us = self.interval.value();
        let tokens = self.tokens_per_event.value();
        let rate = interval_us
            .zip(tokens)
            .map(|(interval_us, tokens)| tokens * 1e6 / interval_us);
        PublishedPerformance {
            event_interval_us: interval_us.map(|us| us.round() as u32),
            prefill_tokens_per_s: rate.map(|per_s| per_s.round() as u32),
        }
    }

    /// Returns the change since the last one returned, if the event interval became known or
    /// changed by more than a quarter.
    pub fn take_change(&mut self, now: Instant) -> Option<PerformanceChange> {
        let (before, after) = (self.logged, self.published());
        let after_us = f64::from(after.event_interval_us?);
        let is_small = before.event_interval_us.is_some_and(|before_us| {
            let ratio = after_us / f64::from(before_us);
            (1.0 / LOGGED_FACTOR..=LOGGED_FACTOR).contains(&ratio)
        });
        let is_too_soon = self
            .logged_at
            .is_some_and(|at| now.saturating_duration_since(at) < MIN_LOG_INTERVAL);
        if is_small || is_too_soon {
            return None;
        }
        self.logged = after;
        self.logged_at = Some(now);
        let oldest = self.samples.front();
        Some(PerformanceChange {
            before,
            after,
            samples: self.samples.len(),
            oldest_sample_age: oldest.map_or(Duration::ZERO, |s| {
                now.saturating_duration_since(s.started_at)
            }),
            is_ratio_measured: self.ratio.measured().is_some(),
        })
    }

    fn add_sample(&mut self, progress: RunProgress, now: Instant) {
        let prefill_events = progress.prompt_tokens as f64 / self.ratio.tokens_per_event();
        let events = progress.events + prefill_events;
        if events <= 0.0 {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            started_at: now.checked_sub(progress.elapsed).unwrap_or(now),
            ms: progress.elapsed.as_secs_f64() * 1_000.0,
            events,
        });
    }

    /// Updates the published figures.
    fn update(&mut self, now: Instant) {
        if let Some(interval_ms) = self.interval_ms(now) {
            self.interval.update(interval_ms * 1_000.0);
        }
        if let Some(tokens) = self.ratio.measured() {
            self.tokens_per_event.update(tokens);
        }
    }

    /// Returns the step in progress as a sample, if it alone shows that the engine is slower than
    /// published.
    fn sample_of_long_step(&self, now: Instant) -> Option<Sample> {
        let sample = Sample {
            started_at: now.checked_sub(self.since_step)?,
            ms: self.since_step.as_secs_f64() * 1_000.0,
            events: LONGEST_STEP_EVENTS,
        };
        let published_ms = self.interval.value()? / 1_000.0;
        (sample.interval_ms() > published_ms).then_some(sample)
    }

    fn drop_old_samples(&mut self, now: Instant) {
        let is_old = |s: &Sample| now.saturating_duration_since(s.started_at) > MAX_SAMPLE_AGE;
        while self.samples.front().is_some_and(is_old) {
            self.samples.pop_front();
        }
        if self.samples.is_empty() {
            self.interval = PublishedStep::default();
        }
    }

    /// Returns the estimated event interval in ms, once the samples cover enough time.
    fn interval_ms(&self, now: Instant) -> Option<f64> {
        let covered_ms: f64 = self.samples.iter().map(|s| s.ms).sum();
        if covered_ms < MIN_COVERED_TIME.as_secs_f64() * 1_000.0 {
            return None;
        }
        let long_step = self.sample_of_long_step(now);
        let samples = self.samples.iter().chain(&long_step);
        let mut weighted: Vec<(f64, f64, f64)> = samples
            .map(|s| {
                let level_weight = s.weight(HALF_LIFE, now);
                let mean_weight = s.weight(MEAN_HALF_LIFE, now);
                (s.interval_ms(), level_weight, mean_weight)
            })
            .collect();
        weighted.sort_by(|(a, ..), (b, ..)| a.total_cmp(b));
        let total: f64 = weighted.iter().map(|(_, weight, _)| weight).sum();
        let mut below = 0.0;
        let (median, ..) = *weighted.iter().find(|(_, weight, _)| {
            below += weight;
            below * 2.0 >= total
        })?;
        let range = median / MAX_DEVIATION..=median * MAX_DEVIATION;
        let near = weighted.iter().filter(|(ms, ..)| range.contains(ms));
        let (time, events) = near.fold((0.0, 0.0), |(time, events), (ms, _, weight)| {
            (time + weight, events + weight / ms)
        });
        Some(time / events)
    }
}
