use {crate::crashes::RequestVerdict, std::time::Instant};

/// Maximum sends to continue after one cut, including those that did not run the request.
pub const MAX_SENDS_PER_CUT: u32 = 4;

/// Why a stream is not resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotResumed {
    /// The route allows no further engine.
    Attempts,
    /// Too many engines rejected the request.
    Sends,
    /// The deadline passed.
    Deadline,
    /// The request is blocked because it crashes engines.
    Blocked,
    /// Its engine crashed before it had sent an event, so the request may be the cause.
    Suspected,
    /// An event has no id, or one that is not a number.
    EventWithoutId,
    /// An event has the id of an earlier one.
    IdNotRising,
    /// The continuation doesn't start right after the last event.
    IdsSkipped,
    /// An event exceeds the bytes that are held back.
    EventTooLarge,
}

impl NotResumed {
    /// Returns the code in logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Attempts => "attempts",
            Self::Sends => "sends",
            Self::Deadline => "deadline",
            Self::Blocked => "blocked",
            Self::Suspected => "suspected",
            Self::EventWithoutId => "event_without_id",
            Self::IdNotRising => "id_not_rising",
            Self::IdsSkipped => "ids_skipped",
            Self::EventTooLarge => "event_too_large",
        }
    }
}

/// What the decision to resume a cut stream depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecoveryInputs {
    /// Sends of this request after which it may have run, including the one that was cut.
    pub runs: u32,
    /// Maximum number of engines for one request of the route.
    pub max_attempts: u32,
    /// Sends since the cut.
    pub sends: u32,
    /// Whether the engine that was cut had sent an event.
    pub has_progress: bool,
    pub verdict: RequestVerdict,
    pub deadline: Instant,
}

impl RecoveryInputs {
    /// Checks whether the request may be sent to a further engine.
    ///
    /// A request that was running when its engine crashed is repeated only if the engine had
    /// sent events: a request that crashes engines usually does so at its start.
    ///
    /// # Errors
    /// Returns why it may not.
    pub fn check(&self, now: Instant) -> Result<(), NotResumed> {
        if now >= self.deadline {
            return Err(NotResumed::Deadline);
        }
        if self.runs >= self.max_attempts {
            return Err(NotResumed::Attempts);
        }
        if self.sends >= MAX_SENDS_PER_CUT {
            return Err(NotResumed::Sends);
        }
        match self.verdict {
            RequestVerdict::Blocked { .. } => Err(NotResumed::Blocked),
            RequestVerdict::Suspected { .. } if !self.has_progress => Err(NotResumed::Suspected),
            RequestVerdict::Suspected { .. } | RequestVerdict::Clear => Ok(()),
        }
    }
}
