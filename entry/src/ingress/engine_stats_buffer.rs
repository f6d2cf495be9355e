use {
    chalkcart_protocol::peer::EngineStats,
    chalkcart_state::backends::BackendId,
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard},
    },
};

/// Buffers the latest stats of each engine until the control thread reads them.
///
/// Each sidecar reports stats many times a second, and no pending decision depends on them,
/// so a new report does not wake the control thread.
#[derive(Debug, Default)]
pub struct EngineStatsBuffer {
    latest: Mutex<HashMap<BackendId, EngineStats>>,
}

impl EngineStatsBuffer {
    pub fn insert(&self, backend: &BackendId, stats: EngineStats) {
        let mut latest = self.lock();
        match latest.get_mut(backend) {
            Some(known) => *known = stats,
            None => {
                latest.insert(backend.clone(), stats);
            }
        }
    }

    /// Returns the stats received since the last call.
    pub fn take_all(&self) -> HashMap<BackendId, EngineStats> {
        std::mem::take(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, EngineStats>> {
        // No holder panics in the middle of an update.
        self.latest.lock().unwrap_or_else(|e| e.into_inner())
    }
}
