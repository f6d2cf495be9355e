use {
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
    thiserror::Error,
};

/// Whether a request without a complete response ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It did not run, and no copy of it will run.
    NotRun,
    MayHaveRun,
    /// It ran to completion.
    Ran,
}

/// The step at which a request failed.
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

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    BadRequest,
    NoTarget,
    Overloaded,
    Leaving,
    DeadlinePassed,
    Cancelled,
    /// The reserved id was never issued, or not for this request.
    UnknownId,
    /// The reserved id has expired.
    ExpiredId,
    /// The reserved id is older than those that the target still tracks.
    ForgottenId,
    /// The reserved id was issued by an earlier process of this target.
    EarlierIncarnation,
    /// A newer sidecar controls the target.
    Superseded,
    /// The engine or service is unreachable.
    Unreachable,
    LoadFailed,
    /// The engine ran a different adapter version than requested.
    WrongVersion,
    EngineFailed,
    /// The connection was lost while the request may have been running.
    Lost,
    /// The response was already delivered and is no longer stored.
    AnswerGone,
}

impl Reason {
    /// Returns the upper-case name used in the details of a gRPC status.
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

/// Final result of a request without a complete response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
#[error("{outcome} at {step} by {peer}: {reason:?} {detail}")]
pub struct Refusal {
    pub outcome: Outcome,
    pub step: Step,
    /// The box on which it occurred.
    pub peer: String,
    pub reason: Reason,
    pub detail: String,
    /// Delay before a retry, where one may succeed.
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
