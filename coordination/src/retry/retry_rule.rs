use {
    chalkcart_protocol::peer::{Outcome, Reason, Refusal},
    std::time::Duration,
};

/// an attempt that failed
#[derive(Debug, Clone)]
pub struct Attempt<'r> {
    pub refusal: &'r Refusal,
    /// the request carries a reserved id
    pub reserved: bool,
    /// time left to the caller's deadline
    pub remaining: Duration,
}

/// whether a failed attempt may be followed by another one.
///
/// A reserved id belongs to one target, which has given its final word.
/// Anything else is repeatable work.
pub fn may_retry(attempt: &Attempt) -> bool {
    if attempt.reserved || attempt.remaining.is_zero() {
        return false;
    }
    match attempt.refusal.reason {
        Reason::BadRequest
        | Reason::DeadlinePassed
        | Reason::Cancelled
        | Reason::UnknownId
        | Reason::ExpiredId
        | Reason::ForgottenId
        | Reason::EarlierIncarnation
        | Reason::AnswerGone => false,
        Reason::NoTarget | Reason::Overloaded => attempt.refusal.outcome == Outcome::NotRun,
        Reason::Leaving
        | Reason::Superseded
        | Reason::Unreachable
        | Reason::LoadFailed
        | Reason::WrongVersion
        | Reason::EngineFailed
        | Reason::Lost => true,
    }
}
