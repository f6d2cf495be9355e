use {
    chalkcart_state::{backends::AdapterRef, ingress::RequestDigest},
    std::time::Instant,
};

/// A request that was sent to a back end.
#[derive(Debug, Clone)]
pub struct InFlightRequest {
    pub digest: RequestDigest,
    pub is_crash_suspect: bool,
    /// Whether it continues a stream of which an engine has sent events.
    pub has_progress: bool,
    pub adapter: Option<AdapterRef>,
    pub prompt_tokens: u32,
    pub sent_at: Instant,
    /// Whether the first part of the response arrived.
    pub has_started: bool,
    /// Whether no other prompt was being prefilled on the engine when it was sent.
    pub is_sole_prefill: bool,
    /// Whether it is the probe after a requested back-off.
    pub is_probe: bool,
}
