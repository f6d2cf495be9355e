use {
    chalkcart_protocol::peer::EngineStats,
    chalkcart_state::backends::BackendId,
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard},
    },
};

/// the latest stats of each engine that the control thread has not taken in.
///
/// Figures come many times a second from each sidecar and change no decision
/// that is due at once, so they wait here until the control thread wakes for
/// another reason.
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
    /// what came since the last call
    pub fn take_all(&self) -> HashMap<BackendId, EngineStats> {
        std::mem::take(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, EngineStats>> {
        // no holder panics halfway through a change
        self.latest.lock().unwrap_or_else(|e| e.into_inner())
    }
}
