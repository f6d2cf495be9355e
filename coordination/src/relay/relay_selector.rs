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
/// Number of engines of the own zone that precede all others. After them those of other zones
/// alternate with the rest of the zone: when a whole zone is silent, trying its engines one after
/// the other would take longer than the back-off of the first.
const PREFERRED_OF_ZONE: usize = 4;
/// Time for which a failed relay is not selected.
const FAILURE_BACKOFF: Duration = Duration::from_secs(5);
/// Time for which a relay that refused a connection is not selected; it may be restarting.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(50);
/// Time from which on a relay that refuses connections counts as failed.
const MAX_RESTART_TIME: Duration = Duration::from_millis(800);

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
    entry_hash: u64,
    failures: HashMap<SocketAddr, RelayFailure>,
}

#[derive(Debug, Clone, Copy)]
struct RelayFailure {
    /// When connections were refused first; `None` after a failure of another kind.
    refused_since: Option<Instant>,
    failed_at: Instant,
    /// The relay is not selected until then.
    until: Instant,
}

impl RelaySelector {
    pub fn new(entry: &BoxName, zone: &ZoneName) -> Self {
        Self {
            zone: zone.clone(),
            entry_hash: stable_hash(entry),
            failures: HashMap::new(),
        }
    }

    /// Records that a relay was unresponsive or could not be reached.
    pub fn on_failure(&mut self, relay: SocketAddr, now: Instant) {
        let failure = RelayFailure {
            refused_since: None,
            failed_at: now,
            until: now + FAILURE_BACKOFF,
        };
        self.failures.insert(relay, failure);
    }

    /// Records that nothing listened at the address of a relay. It is selected again soon, since
    /// after a restart of all processes the entries would otherwise spread over many relays.
    pub fn on_refusal(&mut self, relay: SocketAddr, now: Instant) {
        let known = self.failures.get(&relay);
        let since = known.and_then(|known| known.refused_since).unwrap_or(now);
        if now.saturating_duration_since(since) >= MAX_RESTART_TIME {
            self.on_failure(relay, now);
            return;
        }
        let failure = RelayFailure {
            refused_since: Some(since),
            failed_at: now,
            until: now + REFUSAL_BACKOFF,
        };
        self.failures.insert(relay, failure);
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
        self.forget_old_failures(now);
        let ranked = self.rank(candidates);
        let is_healthy = |addr: &&SocketAddr| self.is_healthy(**addr, now);
        let mut healthy = ranked.iter().filter(is_healthy);
        let first: Vec<SocketAddr> = healthy.by_ref().take(RELAYS_PER_ZONE).copied().collect();
        if let Some(current) = current.filter(|current| first.contains(current)) {
            return Some(current);
        }
        let entry_order = self.entry_order(&ranked);
        let selected = entry_order.iter().find(is_healthy);
        selected.or_else(|| self.earliest_failed(&ranked)).copied()
    }

    /// Returns up to `count` engines whose sidecars may read the store for all entries of the
    /// zone: the first healthy ones of the zone's order. A zone has one reader of the store,
    /// the first of them, whereas views come from several relays.
    pub fn select_store_readers(
        &mut self,
        candidates: &[RelayCandidate],
        count: usize,
        now: Instant,
    ) -> Vec<SocketAddr> {
        self.forget_old_failures(now);
        let ranked = rank_for_zone(&self.zone, candidates).into_iter();
        let healthy = ranked.filter(|c| self.is_healthy(c.engine, now));
        healthy.map(|c| c.engine).take(count).collect()
    }

    fn is_healthy(&self, relay: SocketAddr, now: Instant) -> bool {
        let failure = self.failures.get(&relay);
        failure.is_none_or(|failure| failure.until <= now)
    }

    fn forget_old_failures(&mut self, now: Instant) {
        let age = |failure: &RelayFailure| now.saturating_duration_since(failure.failed_at);
        self.failures
            .retain(|_, failure| age(failure) < FAILURE_BACKOFF);
    }

    fn rank(&self, candidates: &[RelayCandidate]) -> Vec<SocketAddr> {
        let ranked = rank_for_zone(&self.zone, candidates);
        ranked.into_iter().map(|c| c.engine).collect()
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
        let failed_at = |addr: &&SocketAddr| self.failures.get(*addr).map(|f| f.failed_at);
        ranked.iter().min_by_key(failed_at)
    }
}

/// Returns the engines in the order of a zone: the preferred ones of the zone, then those of other
/// zones alternating with the rest of the zone, all ranked by rendezvous hash.
pub fn rank_for_zone(zone: &ZoneName, candidates: &[RelayCandidate]) -> Vec<RelayCandidate> {
    let zone_hash = stable_hash(zone);
    let mut ranked: Vec<_> = candidates
        .iter()
        .map(|candidate| {
            let hash = stable_hash(&candidate.engine.to_string());
            let weight = rendezvous_weight(zone_hash, hash);
            (Reverse(weight), candidate.engine, candidate)
        })
        .collect();
    ranked.sort_by_key(|(weight, engine, _)| (*weight, *engine));
    // two incarnations may be listed under one address
    ranked.dedup_by_key(|(_, engine, _)| *engine);
    let ranked = ranked.into_iter().map(|(.., candidate)| candidate.clone());
    let (mut own, others): (Vec<_>, Vec<_>) = ranked.partition(|c| c.zone == *zone);
    let rest = own.split_off(own.len().min(PREFERRED_OF_ZONE));
    own.extend(alternate(others, rest));
    own
}

/// Returns the items of both lists in turn, then what remains of the longer one.
fn alternate<T>(first: Vec<T>, second: Vec<T>) -> Vec<T> {
    let (mut first, mut second) = (first.into_iter(), second.into_iter());
    let mut items = Vec::with_capacity(first.len() + second.len());
    while first.len() + second.len() > 0 {
        items.extend(first.next());
        items.extend(second.next());
    }
    items
}
