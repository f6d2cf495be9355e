use {
    super::{request_rates::smooth, AdmissionTokens, RequestRates},
    std::time::{Duration, Instant},
};

/// Smoothing time of the rate outside of overloads.
const USUAL_TIME: Duration = Duration::from_secs(10);
/// Smoothing time of the utilization.
const UTILIZATION_TIME: Duration = Duration::from_millis(300);
/// Part of the rate that is kept when an overload is found, as the requests that were read before
/// bring work for some time.
const FIRST_CUT: f64 = 0.5;
/// Part of the limit that is kept while the delay does not fall.
const CUT: f64 = 0.85;
/// Part of the requests that end below which the limit is not cut: the process carries those.
const LEAST_OF_ENDED: f64 = 0.6;
/// A delay falls if it is below this part of the previous one.
const FALLING: f64 = 0.8;
/// Least and longest time for which a cut takes effect before the next one; between them, half of
/// the time that a request takes.
const MIN_CUT_INTERVAL: Duration = Duration::from_millis(200);
const MAX_CUT_INTERVAL: Duration = Duration::from_millis(600);
/// Least and largest part of itself by which the limit grows each second without a delay; between
/// them, what the utilization leaves.
const MIN_PART_PER_S: f64 = 0.1;
const MAX_PART_PER_S: f64 = 1.0;
/// Requests per second by which the limit grows at least each second.
const MIN_GROWTH_PER_S: f64 = 1.0;
/// Least part of the limit that may be read while the delay is too long to wait for the next cut.
const MIN_PACE: f64 = 0.05;
/// The limit grows up to this many times what is read, as more than that is not tried out.
const MAX_UNUSED: f64 = 1.5;
/// The limit is lifted once it is this many times the requests that would be read without it.
const ROOM: f64 = 1.3;

/// Settings of an [`AdmissionLimit`].
#[derive(Debug, Clone)]
pub struct AdmissionLimitSettings {
    /// Standing delay from which on the process is overloaded; a request meets it several times.
    pub target_delay: Duration,
    /// Utilization from which on the process is about to be overloaded, if it has more requests than
    /// usual: what was read brings more work later.
    pub max_utilization: f64,
    /// Utilization up to which the limit grows.
    pub target_utilization: f64,
    /// Requests read, as a multiple of the usual ones, that are more than usual.
    pub unusual: f64,
    /// Standing delay from which on less than the limit is read.
    pub max_delay: Duration,
    /// Maximum time between two new connections that are served, if clients open any.
    pub max_pause: Duration,
}

impl Default for AdmissionLimitSettings {
    fn default() -> Self {
        Self {
            target_delay: Duration::from_millis(10),
            max_utilization: 0.92,
            target_utilization: 0.85,
            unusual: 2.0,
            max_delay: Duration::from_millis(30),
            max_pause: Duration::from_millis(500),
        }
    }
}

/// What was measured in a window; the delays are standing ones.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadSample {
    /// Standing delay of the event loop.
    pub loop_delay: Duration,
    /// Standing delay of handshakes, by the link.
    pub connect_delay: Duration,
    /// Part of the time for which the event loop was busy.
    pub utilization: f64,
}

/// Limits the requests that a process reads to what it carries, which it learns from the delays that
/// it measures of itself: the limit falls while they stand and rises slowly without them.
#[derive(Debug)]
pub struct AdmissionLimit {
    settings: AdmissionLimitSettings,
    rates: RequestRates,
    /// Requests read per second outside of overloads.
    usual_rate: f64,
    /// The longer delay of the last window.
    delay: Duration,
    utilization: f64,
    /// When a new connection was served last.
    served_at: Option<Instant>,
    /// `None` while the process is not overloaded.
    overload: Option<Overload>,
}

#[derive(Debug)]
struct Overload {
    /// Requests per second.
    limit: f64,
    tokens: AdmissionTokens,
    cut_at: Instant,
}

impl AdmissionLimit {
    pub fn new(settings: AdmissionLimitSettings, now: Instant) -> Self {
        Self {
            settings,
            rates: RequestRates::new(now),
            usual_rate: 0.0,
            delay: Duration::ZERO,
            utilization: 0.0,
            served_at: None,
            overload: None,
        }
    }

    /// Returns the limit in requests per second, or `None` if there is none now.
    pub fn limit(&self) -> Option<f64> {
        self.overload.as_ref().map(|overload| overload.limit)
    }

    /// Decides whether a new connection is served; nothing was read from it.
    pub fn admits(&mut self, now: Instant) -> bool {
        let is_due = self.is_due(now);
        let admits = match &mut self.overload {
            None => true,
            Some(overload) if is_due => {
                overload.tokens.read();
                true
            }
            Some(overload) => overload.tokens.try_read(now),
        };
        match admits {
            true => {
                self.served_at = Some(now);
                self.rates.on_read();
            }
            false => self.on_closed_unread(),
        }
        admits
    }

    /// Counts a connection that is closed unread.
    pub fn on_closed_unread(&mut self) {
        self.rates.on_closed_unread();
        if let Some(overload) = &mut self.overload {
            overload.tokens.close();
        }
    }

    /// Counts a request that was read; the first of a connection was admitted with it.
    pub fn on_request_began(&mut self, is_first: bool) {
        self.rates.on_request_began();
        if is_first {
            return;
        }
        self.rates.on_read();
        if let Some(overload) = &mut self.overload {
            overload.tokens.read();
        }
    }

    pub fn on_request_ended(&mut self) {
        self.rates.on_request_ended();
    }

    /// Returns whether open connections alone bring more requests than the limit.
    pub fn is_overdrawn(&self) -> bool {
        let overload = self.overload.as_ref();
        overload.is_some_and(|overload| overload.tokens.is_overdrawn())
    }

    /// Returns how many connections may be taken from the queue of the socket now, or `None` if
    /// all may.
    pub fn acceptable(&mut self, now: Instant) -> Option<usize> {
        let is_due = self.is_due(now);
        let overload = self.overload.as_mut()?;
        Some(overload.tokens.acceptable(now).max(usize::from(is_due)))
    }

    /// Returns whether the next new connection is served in any case.
    fn is_due(&self, now: Instant) -> bool {
        let has_paused = |at| now.saturating_duration_since(at) >= self.settings.max_pause;
        self.served_at.is_none_or(has_paused)
    }

    /// Returns how many connections may wait in the queue of the socket, or `None` if there is no
    /// limit.
    pub fn queue_length(&self) -> Option<usize> {
        let overload = self.overload.as_ref()?;
        Some(overload.tokens.queue_length())
    }

    /// Updates the limit at the end of a window.
    pub fn on_window(&mut self, now: Instant, sample: LoadSample) {
        let window = self.rates.end_window(now);
        let before = self.delay;
        self.delay = sample.loop_delay.max(sample.connect_delay);
        let latest = sample.utilization;
        smooth(&mut self.utilization, latest, window, UTILIZATION_TIME);
        match (self.is_overloaded(), self.overload.is_some()) {
            (true, false) => self.begin_overload(now, sample),
            (true, true) => self.cut(now, before, sample),
            (false, true) => self.grow(window),
            (false, false) => smooth(&mut self.usual_rate, self.rates.read(), window, USUAL_TIME),
        }
        self.set_pace(now);
    }

    fn is_overloaded(&self) -> bool {
        let is_delayed = self.delay > self.settings.target_delay;
        let has_crowd = self.rates.wished() > self.usual_rate * self.settings.unusual;
        is_delayed || (has_crowd && self.utilization > self.settings.max_utilization)
    }

    fn begin_overload(&mut self, now: Instant, sample: LoadSample) {
        let limit = self.rates.rising_read() * FIRST_CUT;
        let limit = limit.max(self.least_limit(sample));
        self.overload = Some(Overload {
            limit,
            tokens: AdmissionTokens::new(limit, now),
            cut_at: now,
        });
    }

    fn cut(&mut self, now: Instant, before: Duration, sample: LoadSample) {
        let interval = self.rates.mean_duration() / 2;
        let interval = interval.clamp(MIN_CUT_INTERVAL, MAX_CUT_INTERVAL);
        let is_falling =
            self.delay > self.settings.target_delay && self.delay < before.mul_f64(FALLING);
        let least = self.least_limit(sample);
        let Some(overload) = &mut self.overload else {
            return;
        };
        if is_falling || now.saturating_duration_since(overload.cut_at) < interval {
            return;
        }
        overload.limit = (overload.limit * CUT).max(least);
        overload.cut_at = now;
    }

    /// Returns the limit below which cuts do not go. Other things than this process's requests
    /// may fill its link, so what it usually reads stays allowed then.
    fn least_limit(&self, sample: LoadSample) -> f64 {
        let is_own = sample.loop_delay > self.settings.target_delay
            || self.utilization > self.settings.max_utilization;
        let usual = if is_own { 0.0 } else { self.usual_rate };
        let least = 1.0 / self.settings.max_pause.as_secs_f64();
        least.max(usual).max(self.rates.ended() * LEAST_OF_ENDED)
    }

    fn grow(&mut self, window: Duration) {
        if self.utilization > self.settings.target_utilization {
            return;
        }
        let Some(overload) = &mut self.overload else {
            return;
        };
        let room = self.settings.target_utilization / self.utilization.max(f64::EPSILON) - 1.0;
        let part = room.clamp(MIN_PART_PER_S, MAX_PART_PER_S);
        let growth = (overload.limit * part).max(MIN_GROWTH_PER_S);
        let tried_out = overload.limit.max(self.rates.read() * MAX_UNUSED);
        overload.limit = (overload.limit + growth * window.as_secs_f64()).min(tried_out);
        if overload.limit >= self.rates.wished() * ROOM {
            self.overload = None;
        }
    }

    fn set_pace(&mut self, now: Instant) {
        let max_delay = self.settings.max_delay.as_secs_f64();
        let pace = max_delay / self.delay.as_secs_f64().max(max_delay);
        let pace = pace.max(MIN_PACE);
        if let Some(overload) = &mut self.overload {
            overload.tokens.set_rate(overload.limit * pace, now);
        }
    }
}
