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

/// engines from which on an entry hears them by a relay. With fewer of them the
/// links of its own cost less than the detour
pub const MIN_ENGINES_FOR_RELAYS: usize = 24;
/// sidecars of an availability zone that its entries use at a time, so that one
/// may die, freeze or be cut off
pub const RELAYS_PER_ZONE: usize = 2;
/// a relay that failed is left alone for this long
const REST: Duration = Duration::from_secs(5);

/// an engine whose sidecar may be a relay
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayCandidate {
    /// the engine's address
    pub engine: SocketAddr,
    pub zone: ZoneName,
}

/// Chooses the relay of one entry. Nobody is elected: entries of a zone rank
/// the listed engines alike, and lists that differ for a moment do no harm.
#[derive(Debug)]
pub struct RelaySelector {
    zone: ZoneName,
    zone_hash: u64,
    entry_hash: u64,
    failed: HashMap<SocketAddr, Instant>,
}

impl RelaySelector {
    pub fn new(entry: &BoxName, zone: &ZoneName) -> Self {
        Self {
            zone: zone.clone(),
            zone_hash: stable_hash(zone),
            entry_hash: stable_hash(entry),
            failed: HashMap::new(),
        }
    }

    /// a relay was silent, or can't be reached
    pub fn on_failure(&mut self, relay: SocketAddr, now: Instant) {
        self.failed.insert(relay, now);
    }

    /// the engine whose sidecar is to be used; the present one as long as it is
    /// among the first of the zone
    pub fn select(
        &mut self,
        candidates: &[RelayCandidate],
        present: Option<SocketAddr>,
        now: Instant,
    ) -> Option<SocketAddr> {
        self.failed
            .retain(|_, at| now.saturating_duration_since(*at) < REST);
        let ranked = self.rank(candidates);
        let mut sound = ranked.iter().filter(|addr| !self.failed.contains_key(addr));
        let first: Vec<SocketAddr> = sound.by_ref().take(RELAYS_PER_ZONE).copied().collect();
        if let Some(present) = present.filter(|present| first.contains(present)) {
            return Some(present);
        }
        let own = self.own_order(&ranked);
        let is_sound = |addr: &&SocketAddr| !self.failed.contains_key(*addr);
        let chosen = own.iter().find(is_sound);
        chosen.or_else(|| self.longest_rested(&ranked)).copied()
    }

    /// The engine whose sidecar reads the store for all entries of the zone, the
    /// first that is sound: one reader a zone, while views come by several relays.
    pub fn select_store_reader(
        &mut self,
        candidates: &[RelayCandidate],
        now: Instant,
    ) -> Option<SocketAddr> {
        self.failed
            .retain(|_, at| now.saturating_duration_since(*at) < REST);
        let ranked = self.rank(candidates);
        let mut sound = ranked.iter().filter(|addr| !self.failed.contains_key(addr));
        sound.next().copied()
    }

    /// engines of the own zone, then those of the others, in the zone's order
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
        // two incarnations may be listed at one address
        ranked.dedup();
        ranked.into_iter().map(|(_, _, engine)| engine).collect()
    }

    /// the entries of a zone share its relays evenly
    fn own_order(&self, ranked: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut own = ranked.to_vec();
        let shared = RELAYS_PER_ZONE.min(own.len());
        if shared > 0 {
            own[..shared].rotate_left((self.entry_hash % shared as u64) as usize);
        }
        own
    }

    fn longest_rested<'r>(&self, ranked: &'r [SocketAddr]) -> Option<&'r SocketAddr> {
        ranked.iter().min_by_key(|addr| self.failed.get(addr))
    }
}
