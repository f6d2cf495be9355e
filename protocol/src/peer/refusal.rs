use {
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
    thiserror::Error,
};

/// what is known of a request that gave no whole answer
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// it did not run, and no copy of it will
    NotRun,
    MayHaveRun,
    /// it ran to its end
    Ran,
}

/// where on its way a request failed
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    Admission,
    Routing,
    Connect,
    Send,
    Reserve,
    Queue,
    Load,
    Run,
    Stream,
}

/// why a request failed
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    BadRequest,
    NoTarget,
    Overloaded,
    Leaving,
    DeadlinePassed,
    Cancelled,
    /// a reserved id that was never given, or not for this work
    UnknownId,
    /// a reserved id whose time is over
    ExpiredId,
    /// a reserved id older than what the target still remembers
    ForgottenId,
    /// a reserved id of an earlier process at this target
    EarlierIncarnation,
    /// a newer sidecar drives the target
    Superseded,
    /// the engine or service can't be reached
    Unreachable,
    LoadFailed,
    /// the engine ran something else than what was asked
    WrongVersion,
    EngineFailed,
    /// contact was lost while the request may have been running
    Lost,
    /// the answer was given once and is no longer held
    AnswerGone,
}

impl Reason {
    /// upper-case name, as it stands in the details of a gRPC status
    pub fn code(self) -> &'static str {
        match self {
            Self::BadRequest => "BAD_REQUEST",
            Self::NoTarget => "NO_TARGET",
            Self::Overloaded => "OVERLOADED",
            Self::Leaving => "LEAVING",
            Self::DeadlinePassed => "DEADLINE_PASSED",
            Self::Cancelled => "CANCELLED",
            Self::UnknownId => "UNKNOWN_ID",
            Self::ExpiredId => "EXPIRED_ID",
            Self::ForgottenId => "FORGOTTEN_ID",
            Self::EarlierIncarnation => "EARLIER_INCARNATION",
            Self::Superseded => "SUPERSEDED",
            Self::Unreachable => "UNREACHABLE",
            Self::LoadFailed => "LOAD_FAILED",
            Self::WrongVersion => "WRONG_VERSION",
            Self::EngineFailed => "ENGINE_FAILED",
            Self::Lost => "LOST",
            Self::AnswerGone => "ANSWER_GONE",
        }
    }
}

/// the final word on a request that gave no whole answer
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
#[error("{outcome} at {step} by {peer}: {reason:?} {detail}")]
pub struct Refusal {
    pub outcome: Outcome,
    pub step: Step,
    /// the box at which it arose
    pub peer: String,
    pub reason: Reason,
    pub detail: String,
    /// when to come back, where that helps
    pub retry_after: Option<Duration>,
}

impl Refusal {
    pub fn new(outcome: Outcome, step: Step, peer: impl Into<String>, reason: Reason) -> Self {
        Self {
            outcome,
            step,
            peer: peer.into(),
            reason,
            detail: String::new(),
            retry_after: None,
        }
    }
    pub fn not_run(step: Step, peer: impl Into<String>, reason: Reason) -> Self {
        Self::new(Outcome::NotRun, step, peer, reason)
    }
    pub fn may_have_run(step: Step, peer: impl Into<String>, reason: Reason) -> Self {
        Self::new(Outcome::MayHaveRun, step, peer, reason)
    }
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "NOT_RUN",
            Self::MayHaveRun => "MAY_HAVE_RUN",
            Self::Ran => "RAN",
        })
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Admission => "admission",
            Self::Routing => "routing",
            Self::Connect => "connect",
            Self::Send => "send",
            Self::Reserve => "reserve",
            Self::Queue => "queue",
            Self::Load => "load",
            Self::Run => "run",
            Self::Stream => "stream",
        })
    }
}
