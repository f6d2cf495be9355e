use {
    crate::membership::{rendezvous_weight, stable_hash},
    chalkcart_state::ids::{BoxName, ZoneName},
    std::{
        cmp::Reverse,
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Number of engines from which entries use relays; with fewer, direct links cost less.
pub const MIN_ENGINES_FOR_RELAYS: usize = 24;
/// Number of relays that the entries of an availability zone use at a time; more than one,
/// so that the failure of a relay does not affect all entries.
pub const RELAYS_PER_ZONE: usize = 2;
/// Time for which a failed relay is not selected.
const FAILURE_BACKOFF: Duration = Duration::from_secs(5);

/// An engine whose sidecar may be a relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayCandidate {
    /// The engine's address.
    pub engine: SocketAddr,
    pub zone: ZoneName,
}

/// Selects the relay of one entry. There is no election: all entries of a zone rank the
/// listed engines by rendezvous hash and get the same order. Lists that differ for a while
/// only cause the use of more relays.
#[derive(Debug)]
pub struct RelaySelector {
    zone: ZoneName,
    zone_hash: u64,
    entry_hash: u64,
    failed_at: HashMap<SocketAddr, Instant>,
}

impl RelaySelector {
    pub fn new(entry: &BoxName, zone: &ZoneName) -> Self {
        Self {
            zone: zone.clone(),
            zone_hash: stable_hash(zone),
            entry_hash: stable_hash(entry),
            failed_at: HashMap::new(),
        }
    }

    /// Records that a relay was unresponsive or could not be reached.
    pub fn on_failure(&mut self, relay: SocketAddr, now: Instant) {
        self.failed_at.insert(relay, now);
    }

    /// Returns the engine whose sidecar to use as the relay: `current` while it is among
    /// the first healthy ones of the zone's order, else the first healthy one of the
    /// entry's order, else the one that failed first.
    pub fn select(
        &mut self,
        candidates: &[RelayCandidate],
        current: Option<SocketAddr>,
        now: Instant,
    ) -> Option<SocketAddr> {
        self.failed_at
            .retain(|_, at| now.saturating_duration_since(*at) < FAILURE_BACKOFF);
        let ranked = self.rank(candidates);
        let is_healthy = |addr: &&SocketAddr| !self.failed_at.contains_key(*addr);
        let mut healthy = ranked.iter().filter(is_healthy);
        let first: Vec<SocketAddr> = healthy.by_ref().take(RELAYS_PER_ZONE).copied().collect();
        if let Some(current) = current.filter(|current| first.contains(current)) {
            return Some(current);
        }
        let entry_order = self.entry_order(&ranked);
        let selected = entry_order.iter().find(is_healthy);
        selected.or_else(|| self.earliest_failed(&ranked)).copied()
    }

    /// Returns the engine whose sidecar reads the store for all entries of the zone, the
    /// first healthy one of the zone's order. A zone has one reader of the store, whereas
    /// views come from several relays.
    pub fn select_store_reader(
        &mut self,
        candidates: &[RelayCandidate],
        now: Instant,
    ) -> Option<SocketAddr> {
        self.failed_at
            .retain(|_, at| now.saturating_duration_since(*at) < FAILURE_BACKOFF);
        let ranked = self.rank(candidates);
        let is_healthy = |addr: &&SocketAddr| !self.failed_at.contains_key(*addr);
        let mut healthy = ranked.iter().filter(is_healthy);
        healthy.next().copied()
    }

    /// Returns the engines in the zone's order: those of this zone first, then the
    /// others, both ranked by rendezvous hash.
    fn rank(&self, candidates: &[RelayCandidate]) -> Vec<SocketAddr> {
        let mut ranked: Vec<_> = candidates
            .iter()
            .map(|c| {
                let hash = stable_hash(&c.engine.to_string());
                let weight = rendezvous_weight(self.zone_hash, hash);
                (c.zone != self.zone, Reverse(weight), c.engine)
            })
            .collect();
        ranked.sort();
        // two incarnations may be listed under one address
        ranked.dedup();
        ranked.into_iter().map(|(_, _, engine)| engine).collect()
    }

    /// Rotates the zone's first relays by the entry's hash, so that they share the load.
    fn entry_order(&self, ranked: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut order = ranked.to_vec();
        let shared = RELAYS_PER_ZONE.min(order.len());
        if shared > 0 {
            order[..shared].rotate_left((self.entry_hash % shared as u64) as usize);
        }
        order
    }

    fn earliest_failed<'r>(&self, ranked: &'r [SocketAddr]) -> Option<&'r SocketAddr> {
        ranked.iter().min_by_key(|addr| self.failed_at.get(addr))
    }
}
