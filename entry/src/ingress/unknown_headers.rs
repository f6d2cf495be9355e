use {
    chalkcart_state::backends::BackendId,
    std::{
        collections::HashSet,
        sync::{Mutex, PoisonError},
    },
};

/// lives of back ends, with a name each, that are remembered as logged; then all are forgotten
const MOST_LOGGED: usize = 1_024;

/// Headers of answers that this build does not know, so that a new word of back ends is seen
/// before something depends on it.
#[derive(Debug, Default)]
pub struct UnknownHeaders {
    logged: Mutex<HashSet<(BackendId, String)>>,
}

impl UnknownHeaders {
    /// says whether this life of a back end has said nothing under this name before
    pub fn insert(&self, backend: &BackendId, name: &str) -> bool {
        // no holder panics halfway through a change
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.len() >= MOST_LOGGED {
            logged.clear();
        }
        logged.insert((backend.clone(), name.to_string()))
    }
}
