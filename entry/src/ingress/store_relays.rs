use {
    arc_swap::ArcSwap,
    chalkcart_coordination::relay::{rank_for_zone, RelayCandidate, RelaySelector},
    chalkcart_state::ids::{BoxName, ZoneName},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Instant,
    },
};

/// Number of candidates that are kept, so that some remain while others have failed.
const MAX_CANDIDATES: usize = 8;
/// Number of relays that are tried for one call.
const MAX_TRIED_RELAYS: usize = 2;

/// The relays through which an entry may read the platform's store. The first one that responds
/// reads the store for all entries of the zone. Empty while the entry uses no relay.
#[derive(Debug)]
pub struct StoreRelays {
    zone: ZoneName,
    /// Sidecars listen on this port at the addresses of their engines.
    sidecar_port: u16,
    /// The first candidates of the zone's order.
    candidates: ArcSwap<Vec<RelayCandidate>>,
    /// Remembers the relays that failed.
    selector: Mutex<RelaySelector>,
}

impl StoreRelays {
    pub fn new(entry: &BoxName, zone: &ZoneName, sidecar_port: u16) -> Self {
        Self {
            zone: zone.clone(),
            sidecar_port,
            candidates: ArcSwap::default(),
            selector: Mutex::new(RelaySelector::new(entry, zone)),
        }
    }

    /// Sets the engines whose sidecars may be relays.
    pub fn set_candidates(&self, candidates: &[RelayCandidate]) {
        let mut ranked = rank_for_zone(&self.zone, candidates);
        ranked.truncate(MAX_CANDIDATES);
        self.candidates.store(Arc::new(ranked));
    }

    pub fn is_empty(&self) -> bool {
        self.candidates.load().is_empty()
    }

    /// Returns the relays to try now, in order of preference.
    pub fn available(&self, now: Instant) -> Vec<SocketAddr> {
        let candidates = self.candidates.load();
        let engines = self
            .selector()
            .select_store_readers(&candidates, MAX_TRIED_RELAYS, now);
        let relays = engines.into_iter();
        relays
            .map(|engine| SocketAddr::new(engine.ip(), self.sidecar_port))
            .collect()
    }

    /// Records that a relay can't be used.
    pub fn on_failure(&self, relay: SocketAddr, now: Instant) {
        if let Some(engine) = self.engine_of(relay) {
            self.selector().on_failure(engine, now);
        }
    }

    /// Records that nothing listened at the address of a relay.
    pub fn on_refusal(&self, relay: SocketAddr, now: Instant) {
        if let Some(engine) = self.engine_of(relay) {
            self.selector().on_refusal(engine, now);
        }
    }

    fn engine_of(&self, relay: SocketAddr) -> Option<SocketAddr> {
        let candidates = self.candidates.load();
        let mut engines = candidates.iter().map(|c| c.engine);
        engines.find(|engine| engine.ip() == relay.ip())
    }

    fn selector(&self) -> MutexGuard<'_, RelaySelector> {
        // No holder panics in the middle of an update.
        self.selector.lock().unwrap_or_else(|e| e.into_inner())
    }
}
