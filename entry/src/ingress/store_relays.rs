use {
    arc_swap::ArcSwap,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
};

/// a relay that gave no answer is not asked for this long, as one that is left for its
/// views
const REST: Duration = Duration::from_secs(5);

/// The relays by which an entry may hear the platform's store, the one to be asked
/// first at the head: it reads the store for all entries of the zone. Empty while the
/// entry uses no relay.
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

    /// those that may be asked now, in order
    pub fn available(&self, now: Instant) -> Vec<SocketAddr> {
        let mut failed = self.failed();
        failed.retain(|_, at| now.saturating_duration_since(*at) < REST);
        let ranked = self.ranked.load();
        let sound = ranked.iter().filter(|relay| !failed.contains_key(relay));
        sound.copied().collect()
    }
    pub fn on_failure(&self, relay: SocketAddr, now: Instant) {
        self.failed().insert(relay, now);
    }

    fn failed(&self) -> MutexGuard<'_, HashMap<SocketAddr, Instant>> {
        // no holder panics halfway through a change
        self.failed.lock().unwrap_or_else(|e| e.into_inner())
    }
}
