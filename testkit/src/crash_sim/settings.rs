use std::{ops::RangeInclusive, time::Duration};

/// Which first part prompts have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstParts {
    /// One for all.
    One,
    /// One for each of 40 client accounts, the k-th of which sends in proportion to 1 / k.
    OfAccounts,
}

/// When an engine crashes under a request that crashes it.
#[derive(Debug, Clone)]
pub struct SimMoment {
    /// Time from the first byte of the response, in ms; from the arrival where there is none.
    pub delay_ms: RangeInclusive<u64>,
    /// Part of such requests of whose responses nothing is written.
    pub silent: f64,
    /// Part of such requests that are served.
    pub spared: f64,
}

impl Default for SimMoment {
    fn default() -> Self {
        Self {
            delay_ms: 66..=119,
            silent: 0.0,
            spared: 0.0,
        }
    }
}

/// Durations of sound streams.
#[derive(Debug, Clone, Copy)]
pub struct StreamLengths {
    pub mean: Duration,
    /// One in ten streams is longer: its mean.
    pub long_mean: Duration,
    /// A stream ends at this time without being complete.
    pub deadline: Duration,
}

impl Default for StreamLengths {
    fn default() -> Self {
        Self {
            mean: Duration::from_secs(2),
            long_mean: Duration::from_secs(12),
            deadline: Duration::from_secs(30),
        }
    }
}

#[derive(Debug, Clone)]
pub struct SimSettings {
    pub entries: usize,
    pub engines: usize,
    /// Time from a crash until the engine is back.
    pub restart: Duration,
    pub first_parts: FirstParts,
    /// Number of parts that crash engines.
    pub causes: u64,
    /// Whether these parts are the first ones of their prompts.
    pub is_cause_first: bool,
    pub moment: SimMoment,
    /// Requests a second with each crashing part.
    pub crashing_rate: f64,
    /// Whether all entries get theirs at one moment.
    pub is_at_one_moment: bool,
    /// Sound requests a second for each engine.
    pub sound_rate: f64,
    pub lengths: StreamLengths,
    /// Engines that crash by themselves, a second.
    pub other_crashes: f64,
    /// Half of the engines crash at one moment, each such time.
    pub half_crashes_every: Option<Duration>,
    /// One entry after the other starts again, each such time.
    pub entry_starts_every: Option<Duration>,
    /// Time without crashing requests.
    pub calm: Duration,
    pub span: Duration,
    /// Time after the calm from which and to which no crashing requests come.
    pub quiet: Option<(Duration, Duration)>,
}

impl Default for SimSettings {
    fn default() -> Self {
        Self {
            entries: 4,
            engines: 12,
            restart: Duration::from_secs(4),
            first_parts: FirstParts::One,
            causes: 1,
            is_cause_first: false,
            moment: SimMoment::default(),
            crashing_rate: 3.0,
            is_at_one_moment: false,
            sound_rate: 4.0,
            lengths: StreamLengths::default(),
            other_crashes: 0.0,
            half_crashes_every: None,
            entry_starts_every: None,
            calm: Duration::from_secs(5),
            span: Duration::from_secs(30),
            quiet: None,
        }
    }
}
