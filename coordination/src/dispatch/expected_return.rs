use {chalkcart_state::backends::BackendId, std::time::Instant};

/// Rejected requests for an adapter whose clients are expected to retry once it is loaded.
#[derive(Debug, Clone)]
pub(super) struct ExpectedReturn {
    pub(super) backend: BackendId,
    pub(super) priority: u8,
    pub(super) requests: u32,
    /// Time until which retries are expected.
    pub(super) until: Instant,
}
