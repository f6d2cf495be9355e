use std::sync::atomic::{AtomicU64, Ordering};

/// The highest era that a process has received from the store; 0 if the store names none.
#[derive(Debug, Default)]
pub struct KnownEra(AtomicU64);

impl KnownEra {
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Records an era; returns whether it is a later one.
    pub fn raise(&self, era: u64) -> bool {
        let known = self.0.fetch_max(era, Ordering::Relaxed);
        if era <= known {
            return false;
        }
        if known != 0 {
            log::warn!(era = era, before = known; "store: era changed");
        }
        true
    }
}
