use std::sync::{
    atomic::{AtomicUsize, Ordering},
    Arc,
};

/// Bytes that each response may hold in any case, more than a usual one has.
const OWN_BYTES: usize = 8 * 1024;
/// Bytes that one response may hold.
const MAX_BYTES: usize = 64 * 1024;
/// Bytes that all responses together may hold beyond their own.
const SHARED_BYTES: usize = 256 * 1024;

/// The memory that a process gives to responses which it holds until they are complete.
#[derive(Debug, Clone)]
pub struct HeldBytes {
    free: Arc<AtomicUsize>,
}

impl Default for HeldBytes {
    fn default() -> Self {
        Self {
            free: Arc::new(AtomicUsize::new(SHARED_BYTES)),
        }
    }
}

impl HeldBytes {
    /// Returns the part of one response, which holds nothing yet.
    pub fn begin(&self) -> HeldResponse {
        HeldResponse {
            free: self.free.clone(),
            held: 0,
            taken: 0,
        }
    }
}

/// What one response holds; it is free again when this is dropped.
#[derive(Debug)]
pub struct HeldResponse {
    free: Arc<AtomicUsize>,
    held: usize,
    /// Bytes of `held` that are taken from the shared ones.
    taken: usize,
}

impl HeldResponse {
    /// Holds further bytes; returns false if there is no room for them.
    pub fn hold(&mut self, bytes: usize) -> bool {
        let held = self.held + bytes;
        if held > MAX_BYTES {
            return false;
        }
        let more = held.saturating_sub(OWN_BYTES) - self.taken;
        let take = |free: usize| free.checked_sub(more);
        let order = Ordering::Relaxed;
        if self.free.fetch_update(order, order, take).is_err() {
            return false;
        }
        self.held = held;
        self.taken += more;
        true
    }
}

impl Drop for HeldResponse {
    fn drop(&mut self) {
        self.free.fetch_add(self.taken, Ordering::Relaxed);
    }
}
