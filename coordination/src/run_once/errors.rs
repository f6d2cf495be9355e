use {
    chalkcart_protocol::peer::{Outcome, Reason},
    std::time::Duration,
    thiserror::Error,
};

/// Error of reserving or admitting an id.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RunOnceError {
    #[error("no room for {wanted} more ids")]
    Full { wanted: u32, retry_after: Duration },
    #[error("the id was given by an earlier process at this target")]
    EarlierIncarnation,
    #[error("the id was never given")]
    Unknown,
    #[error("the id is older than what is remembered")]
    Forgotten,
    #[error("the id was not used in time")]
    Expired,
    #[error("the request was stopped before it ran")]
    Cancelled,
}

impl RunOnceError {
    /// Returns whether the request may have run.
    pub fn outcome(&self) -> Outcome {
        match self {
            // a process of an earlier incarnation may have run it
            Self::EarlierIncarnation | Self::Forgotten => Outcome::MayHaveRun,
            Self::Full { .. } | Self::Unknown | Self::Expired | Self::Cancelled => Outcome::NotRun,
        }
    }
    pub fn reason(&self) -> Reason {
        match self {
            Self::Full { .. } => Reason::Overloaded,
            Self::EarlierIncarnation => Reason::EarlierIncarnation,
            Self::Unknown => Reason::UnknownId,
            Self::Forgotten => Reason::ForgottenId,
            Self::Expired => Reason::ExpiredId,
            Self::Cancelled => Reason::Cancelled,
        }
    }
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Full { retry_after, .. } => Some(*retry_after),
            _ => None,
        }
    }
}
