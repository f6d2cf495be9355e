use std::sync::atomic::{AtomicU64, Ordering};

/// Number of calls received; a long poll counts as one.
#[derive(Debug, Default)]
pub struct PlatformCalls {
    config: AtomicU64,
    list: AtomicU64,
}

impl PlatformCalls {
    pub fn count_config(&self) {
        self.config.fetch_add(1, Ordering::Relaxed);
    }
    pub fn count_list(&self) {
        self.list.fetch_add(1, Ordering::Relaxed);
    }
    pub fn total(&self) -> u64 {
        self.config.load(Ordering::Relaxed) + self.list.load(Ordering::Relaxed)
    }
}
