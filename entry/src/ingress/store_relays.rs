use {
    arc_swap::ArcSwap,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
};

/// A relay that failed is not called for this long.
const FAILURE_BACKOFF: Duration = Duration::from_secs(5);

/// The relays through which an entry may read the platform's store, in order of preference. The
/// first one reads the store for all entries of the zone. Empty while the entry uses no relay.
#[derive(Debug, Default)]
pub struct StoreRelays {
    ranked: ArcSwap<Vec<SocketAddr>>,
    failed: Mutex<HashMap<SocketAddr, Instant>>,
}

impl StoreRelays {
    pub fn set(&self, ranked: Vec<SocketAddr>) {
        if **self.ranked.load() != ranked {
            self.ranked.store(Arc::new(ranked));
        }
    }

    pub fn is_empty(&self) -> bool {
        self.ranked.load().is_empty()
    }

    /// Returns the relays that may be called now, in order of preference.
    pub fn available(&self, now: Instant) -> Vec<SocketAddr> {
        let mut failed = self.failed();
        failed.retain(|_, at| now.saturating_duration_since(*at) < FAILURE_BACKOFF);
        let ranked = self.ranked.load();
        let available = ranked.iter().filter(|relay| !failed.contains_key(relay));
        available.copied().collect()
    }

    pub fn on_failure(&self, relay: SocketAddr, now: Instant) {
        self.failed().insert(relay, now);
    }

    fn failed(&self) -> MutexGuard<'_, HashMap<SocketAddr, Instant>> {
        // No holder panics in the middle of an update.
        self.failed.lock().unwrap_or_else(|e| e.into_inner())
    }
}
