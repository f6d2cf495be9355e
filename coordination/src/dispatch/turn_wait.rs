use {
    crate::stream_pacing::PacingInputs,
    chalkcart_state::{backends::BackendId, ingress::RequestDigest},
    std::time::Instant,
};

/// A request that waits until its prompt fits into an engine's limit for one gap.
#[derive(Debug, Clone, PartialEq)]
pub struct TurnWait {
    pub digest: RequestDigest,
    pub backend: BackendId,
    /// When the wait began.
    pub since: Instant,
    /// When the prompt is expected to fit.
    pub until: Instant,
    pub inputs: PacingInputs,
}
