use {
    super::{Candidate, RouteRequest, RoutingPolicy, TargetRequirement},
    crate::{
        membership::{rendezvous_weight, stable_hash},
        slots::DecayingCount,
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Number of adapters whose request counts are kept.
const MAX_TRACKED_ADAPTERS: usize = 8_192;

/// Number of homes of an adapter. Its homes are the replicas preferred by rendezvous hash.
#[derive(Debug, Clone)]
pub struct HomeSettings {
    pub min_homes: usize,
    /// Recent requests for each additional home.
    pub requests_per_home: f64,
}

impl Default for HomeSettings {
    fn default() -> Self {
        Self {
            min_homes: 1,
            requests_per_home: 40.0,
        }
    }
}

/// Chooses the target with the lowest expected wait.
///
/// The candidates for an adapter are its homes, more of them as it gets more requests, and all
/// targets that hold it. The wait is the sum of the queue, the load time if the adapter isn't
/// held, and the network distance.
#[derive(Debug, Default)]
pub struct LeastExpectedWait {
    settings: HomeSettings,
    recent_requests: HashMap<String, DecayingCount>,
}

impl LeastExpectedWait {
    pub fn new(settings: HomeSettings) -> Self {
        Self {
            settings,
            recent_requests: HashMap::new(),
        }
    }

    /// Counts a request for an adapter, and returns the adapter's number of homes.
    fn count_homes(&mut self, adapter: &str, now: Instant) -> usize {
        let is_full = self.recent_requests.len() >= MAX_TRACKED_ADAPTERS;
        if is_full && !self.recent_requests.contains_key(adapter) {
            self.recent_requests.retain(|_, c| c.value_at(now) >= 1.0);
        }
        let count = self.recent_requests.entry(adapter.to_string());
        let count = count.or_insert_with(|| DecayingCount::new(now));
        count.add(1.0, now);
        let extra = count.value_at(now) / self.settings.requests_per_home;
        self.settings.min_homes + extra as usize
    }
}

impl RoutingPolicy for LeastExpectedWait {
    fn choose(
        &mut self,
        request: &RouteRequest,
        candidates: &[Candidate],
        now: Instant,
    ) -> Option<usize> {
        let all = 0..candidates.len();
        let chosen: Vec<usize> = match &request.requirement {
            TargetRequirement::Service(_) => all.collect(),
            TargetRequirement::Adapter { adapter, .. } => {
                let homes = self.count_homes(adapter, now);
                home_indexes(adapter, homes, candidates)
            }
        };
        chosen.into_iter().min_by(|a, b| {
            let wait = |index: &usize| expected_wait(request, &candidates[*index], now);
            wait(a).cmp(&wait(b))
        })
    }
}

/// Returns the expected time until a request's first token at a candidate.
pub(super) fn expected_wait(
    request: &RouteRequest,
    candidate: &Candidate,
    now: Instant,
) -> Duration {
    let target = candidate.target;
    let per_token = target.token_time().as_secs_f64() / f64::from(target.max_running());
    let queue = Duration::from_secs_f64(target.queued_tokens(now) * per_token);
    let is_full = target.running() >= target.max_running();
    let busy = if is_full {
        target.token_time()
    } else {
        Duration::ZERO
    };
    let load = match request.requirement {
        TargetRequirement::Adapter { .. } if !candidate.is_loaded => target.load_wait(),
        _ => Duration::ZERO,
    };
    queue + busy + load + candidate.distance
}

/// Returns the homes of an adapter and the other holders, in the order of the rendezvous hash.
fn home_indexes(adapter: &str, homes: usize, candidates: &[Candidate]) -> Vec<usize> {
    let key = stable_hash(adapter);
    let weight = |index: &usize| rendezvous_weight(key, candidates[*index].target.hash);
    let mut indexes: Vec<usize> = (0..candidates.len()).collect();
    let homes = homes.min(indexes.len());
    if homes < indexes.len() {
        indexes.select_nth_unstable_by_key(homes, |index| std::cmp::Reverse(weight(index)));
    }
    let mut chosen: Vec<usize> = indexes[..homes].to_vec();
    let holders = indexes[homes..]
        .iter()
        .filter(|i| candidates[**i].is_loaded);
    chosen.extend(holders);
    // on equal waits all entries choose the same home
    chosen.sort_by_key(|index| std::cmp::Reverse(weight(index)));
    chosen
}
