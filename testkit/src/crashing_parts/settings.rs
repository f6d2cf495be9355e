use {crate::users_platform::CrashMoment, std::time::Duration};

/// What happens to the processes meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    None,
    /// Entries are killed and started again, one after the other.
    EntriesKilled {
        every: Duration,
    },
    /// Entries stand still for some time, one after the other.
    EntriesPaused {
        every: Duration,
        pause: Duration,
    },
    SidecarsKilled {
        every: Duration,
    },
    /// Engines crash by themselves.
    EnginesCrash {
        every: Duration,
    },
}

/// A fleet, its requests, and the parts that crash engines.
#[derive(Debug, Clone)]
pub struct ScenarioSettings {
    pub entries: u8,
    pub engines: u8,
    /// Time from a crash until the engine is back.
    pub restart: Duration,
    /// Number of parts that crash engines; requests have each of them in turn.
    pub causes: u8,
    /// Whether these parts are the first ones of their prompts.
    pub is_cause_first: bool,
    pub moment: CrashMoment,
    /// Events of a crashing response before the crash.
    pub events_before_crash: u32,
    /// Requests with a crashing part a second, over all entries.
    pub crashing_rate: f64,
    /// Whether all entries get theirs at one moment.
    pub is_at_one_moment: bool,
    /// Sound requests a second, over all entries.
    pub sound_rate: f64,
    /// Events of a sound stream, one each 50 ms.
    pub sound_events: u32,
    pub sound_deadline: Duration,
    /// Time after which clients leave their sound streams, if they do.
    pub sound_leaves: Option<Duration>,
    /// Time without crashing requests before and between them.
    pub calm: Duration,
    /// Time from the first crashing request to the end.
    pub span: Duration,
    /// Time after the begin of the span from which and to which none are sent.
    pub quiet: Option<(Duration, Duration)>,
    pub stream_attempts: u32,
    pub disturbance: Disturbance,
}

impl Default for ScenarioSettings {
    fn default() -> Self {
        Self {
            entries: 4,
            engines: 8,
            restart: Duration::from_secs(4),
            causes: 1,
            is_cause_first: false,
            moment: CrashMoment::default(),
            events_before_crash: 0,
            crashing_rate: 4.0,
            is_at_one_moment: false,
            sound_rate: 16.0,
            sound_events: 20,
            sound_deadline: Duration::from_secs(15),
            sound_leaves: None,
            calm: Duration::from_secs(4),
            span: Duration::from_secs(14),
            quiet: None,
            stream_attempts: 1,
            disturbance: Disturbance::None,
        }
    }
}
