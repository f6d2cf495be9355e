use {
    crate::crashes::InterruptedRun,
    chalkcart_state::{
        backends::AdapterRef,
        ingress::{RequestDigest, SharedParts},
    },
    std::time::Instant,
};

/// A request that was sent to a back end.
#[derive(Debug, Clone)]
pub struct InFlightRequest {
    pub digest: RequestDigest,
    pub shared_parts: SharedParts,
    pub is_crash_suspect: bool,
    /// Whether it continues a stream of which an engine has sent events.
    pub has_progress: bool,
    pub adapter: Option<AdapterRef>,
    pub prompt_tokens: u32,
    pub sent_at: Instant,
    /// When the head of a successful response arrived.
    pub head_at: Option<Instant>,
    /// When the first part of the response arrived.
    pub started_at: Option<Instant>,
    /// Whether no other prompt was being prefilled on the engine when it was sent.
    pub is_sole_prefill: bool,
    /// Whether it is the probe after a requested back-off.
    pub is_probe: bool,
    /// Whether it is a retry that the back end is not known to have read.
    pub is_unanswered_retry: bool,
    /// Until when a back end may still read an earlier send of the request.
    pub earlier_unread_until: Option<Instant>,
}

impl InFlightRequest {
    /// Returns the run that this request was until its connection closed.
    pub(super) fn interrupted_run(self, is_whole: bool, now: Instant) -> InterruptedRun {
        let written = self.started_at.or(self.head_at);
        InterruptedRun {
            digest: self.digest,
            shared_parts: self.shared_parts,
            written: written.map(|at| now.saturating_duration_since(at)),
            sent_for: now.saturating_duration_since(self.sent_at),
            is_whole,
            at: now,
        }
    }
}
