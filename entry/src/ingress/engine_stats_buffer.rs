use {
    chalkcart_protocol::peer::EngineStats,
    chalkcart_state::backends::BackendId,
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard},
    },
};

/// the newest figures of each engine that the control thread has not taken in.
///
/// Figures come many times a second from each sidecar and change no decision
/// that is due at once, so they wait here until the control thread wakes for
/// another reason.
#[derive(Debug, Default)]
pub struct EngineStatsBuffer {
    newest: Mutex<HashMap<BackendId, EngineStats>>,
}

impl EngineStatsBuffer {
    pub fn put(&self, backend: &BackendId, figures: EngineStats) {
        let mut newest = self.lock();
        match newest.get_mut(backend) {
            Some(known) => *known = figures,
            None => {
                newest.insert(backend.clone(), figures);
            }
        }
    }
    /// what came since the last call
    pub fn take(&self) -> HashMap<BackendId, EngineStats> {
        std::mem::take(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, EngineStats>> {
        // no holder panics halfway through a change
        self.newest.lock().unwrap_or_else(|e| e.into_inner())
    }
}
