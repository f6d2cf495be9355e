use {super::BackendState, chalkcart_state::backends::BackendId, std::time::Instant};

/// A load that was requested from one or more engines.
#[derive(Debug, Clone)]
pub(super) struct PendingLoad {
    pub(super) backends: Vec<BackendId>,
    pub(super) requested_at: Instant,
    pub(super) until: Instant,
    /// Engines that have held the adapter since.
    pub(super) loaded: Vec<BackendId>,
}

impl PendingLoad {
    /// Returns how many of its engines are among the candidates.
    pub(super) fn count_among(&self, candidates: &[&BackendState]) -> usize {
        let known = candidates
            .iter()
            .filter(|b| self.backends.contains(&b.listed.id));
        known.count()
    }
}

/// Which sidecars are sent a demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DueDemands {
    /// Sidecars of engines with new load requests.
    Urgent,
    /// Also those of engines whose demand is or was not empty.
    Changed,
    All,
}
