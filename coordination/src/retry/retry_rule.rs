use {
    chalkcart_protocol::peer::{Outcome, Reason, Refusal},
    std::time::Duration,
};

/// A failed attempt.
#[derive(Debug, Clone)]
pub struct Attempt<'r> {
    pub refusal: &'r Refusal,
    /// Whether the request carries a reserved id.
    pub reserved: bool,
    /// Time left until the client's deadline.
    pub remaining: Duration,
}

/// Returns whether a failed attempt may be retried.
///
/// A reserved id is bound to one target, whose refusal is final. All other requests are safe to
/// repeat.
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
