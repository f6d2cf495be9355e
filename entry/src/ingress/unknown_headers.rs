use {
    chalkcart_state::backends::BackendId,
    std::{
        collections::HashSet,
        sync::{Mutex, PoisonError},
    },
};

/// Maximum number of remembered headers; all are forgotten when it is reached.
const MAX_REMEMBERED: usize = 1_024;

/// Remembers which unknown response headers have been logged for each back-end incarnation, so that
/// each is logged only once.
#[derive(Debug, Default)]
pub struct UnknownHeaders {
    headers: Mutex<HashSet<(BackendId, String)>>,
}

impl UnknownHeaders {
    /// Records a header; returns whether it is new for this incarnation of the back end.
    pub fn insert(&self, backend: &BackendId, name: &str) -> bool {
        // No holder panics in the middle of an update.
        let mut headers = self.headers.lock().unwrap_or_else(PoisonError::into_inner);
        if headers.len() >= MAX_REMEMBERED {
            headers.clear();
        }
        headers.insert((backend.clone(), name.to_string()))
    }
}
