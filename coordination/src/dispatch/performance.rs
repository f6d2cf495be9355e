//! What an engine can do now, as an entry knows it.

use {
    super::{dispatcher::Dispatcher, BackendState},
    crate::backend_performance::EnginePerformance,
};

impl Dispatcher {
    /// Returns the performance of an engine; `None` if it is unknown.
    pub fn performance(&self, state: &BackendState) -> Option<EnginePerformance> {
        EnginePerformance::reported(&state.view.as_ref()?.figures)
    }
}
