//! Simple routing policies for comparison.

use {
    super::{Candidate, RouteRequest, RoutingPolicy, TargetRequirement},
    crate::membership::{rendezvous_weight, stable_hash},
    rand::{rngs::SmallRng, RngExt, SeedableRng},
    std::time::Instant,
};

/// Chooses a target at random.
#[derive(Debug)]
pub struct RandomChoice {
    rng: SmallRng,
}

impl RandomChoice {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
        }
    }
}

impl RoutingPolicy for RandomChoice {
    fn choose(&mut self, _: &RouteRequest, candidates: &[Candidate], _: Instant) -> Option<usize> {
        match candidates.len() {
            0 => None,
            count => Some(self.rng.random_range(0..count)),
        }
    }
}

/// Chooses the target with the lowest number of queued tokens and running requests.
#[derive(Debug, Default)]
pub struct LeastLoaded;

impl RoutingPolicy for LeastLoaded {
    fn choose(
        &mut self,
        _: &RouteRequest,
        candidates: &[Candidate],
        now: Instant,
    ) -> Option<usize> {
        let load = |c: &Candidate| c.target.queued_tokens(now) + f64::from(c.target.running());
        let numbered = candidates.iter().enumerate();
        let least = numbered.min_by(|a, b| load(a.1).total_cmp(&load(b.1)));
        least.map(|(index, _)| index)
    }
}

/// Chooses the target by rendezvous hash of the adapter's or the service's name.
#[derive(Debug, Default)]
pub struct PlainHash;

impl RoutingPolicy for PlainHash {
    fn choose(
        &mut self,
        request: &RouteRequest,
        candidates: &[Candidate],
        _: Instant,
    ) -> Option<usize> {
        let key = match &request.requirement {
            TargetRequirement::Adapter { adapter, .. } => stable_hash(adapter),
            TargetRequirement::Service(service) => stable_hash(service),
        };
        let numbered = candidates.iter().enumerate();
        let highest = numbered.max_by_key(|(_, c)| rendezvous_weight(key, c.target.hash));
        highest.map(|(index, _)| index)
    }
}
