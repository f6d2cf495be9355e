use {chalkcart_state::backends::BackendId, std::time::Instant};

/// The incarnation that a sidecar last reported for the engine at an address.
#[derive(Debug, Clone)]
pub(super) struct ReportedIncarnation {
    pub(super) id: BackendId,
    pub(super) reported_at: Instant,
}
