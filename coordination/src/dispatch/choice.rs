use {
    super::{turn_wait::TurnWait, Assignment, BackendState, RejectionCause},
    crate::stream_pacing::PacingInputs,
};

/// What can be done for a request now.
pub(super) enum Choice {
    Send(Box<Assignment>),
    Wait(RejectionCause),
    /// Its prompt waits until it fits into an engine's limit for one gap.
    WaitForTurn(Box<TurnWait>),
}

/// What to do with a request that has a gap objective.
pub(super) enum PacedChoice<'b> {
    Send(&'b BackendState, PacingInputs),
    Wait(TurnWait),
}
