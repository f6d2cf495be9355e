use {
    super::{Candidate, RouteRequest, RoutingPolicy, TargetRequirement},
    crate::{
        membership::{rendezvous_weight, stable_hash},
        slots::Heat,
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// adapters whose heat an entry remembers
const MAX_HEATS: usize = 8_192;

/// how the candidates of an adapter are found
#[derive(Debug, Clone)]
pub struct WaitSettings {
    /// homes of an adapter that is cold
    pub min_homes: usize,
    /// recent requests that earn an adapter one more home
    pub requests_per_home: f64,
}

impl Default for WaitSettings {
    fn default() -> Self {
        Self {
            min_homes: 1,
            requests_per_home: 40.0,
        }
    }
}

/// the target at which the request is expected to wait least.
///
/// An adapter has a few homes by rendezvous hash, more as it gets hotter;
/// candidates are its homes and every target that holds it. The wait is the
/// queue, the load stall if the adapter is not held, and the distance.
#[derive(Debug, Default)]
pub struct LeastExpectedWait {
    settings: WaitSettings,
    heats: HashMap<String, Heat>,
}

impl LeastExpectedWait {
    pub fn new(settings: WaitSettings) -> Self {
        Self {
            settings,
            heats: HashMap::new(),
        }
    }

    fn homes(&mut self, adapter: &str, now: Instant) -> usize {
        if self.heats.len() >= MAX_HEATS && !self.heats.contains_key(adapter) {
            self.heats.retain(|_, h| h.value_at(now) >= 1.0);
        }
        let heat = self.heats.entry(adapter.to_string());
        let heat = heat.or_insert_with(|| Heat::new(now));
        heat.add(1.0, now);
        let extra = heat.value_at(now) / self.settings.requests_per_home;
        self.settings.min_homes + extra as usize
    }
}

impl RoutingPolicy for LeastExpectedWait {
    fn choose(
        &mut self,
        ask: &RouteRequest,
        candidates: &[Candidate],
        now: Instant,
    ) -> Option<usize> {
        let all = 0..candidates.len();
        let chosen: Vec<usize> = match &ask.need {
            TargetRequirement::Service(_) => all.collect(),
            TargetRequirement::Adapter { adapter, .. } => {
                let homes = self.homes(adapter, now);
                home_indexes(adapter, homes, candidates)
            }
        };
        chosen.into_iter().min_by(|a, b| {
            let wait = |index: &usize| expected_wait(ask, &candidates[*index], now);
            wait(a).cmp(&wait(b))
        })
    }
}

/// how long a request would wait at a candidate before its first token
pub(super) fn expected_wait(ask: &RouteRequest, candidate: &Candidate, now: Instant) -> Duration {
    let target = candidate.target;
    let per_token = target.token_time().as_secs_f64() / f64::from(target.max_running());
    let queue = Duration::from_secs_f64(target.queued_tokens(now) * per_token);
    let is_full = target.running() >= target.max_running();
    let busy = if is_full {
        target.token_time()
    } else {
        Duration::ZERO
    };
    let stall = match ask.need {
        TargetRequirement::Adapter { .. } if !candidate.loaded => target.load_wait(),
        _ => Duration::ZERO,
    };
    queue + busy + stall + candidate.distance
}

fn home_indexes(adapter: &str, homes: usize, candidates: &[Candidate]) -> Vec<usize> {
    let key = stable_hash(adapter);
    let weight = |index: &usize| rendezvous_weight(key, candidates[*index].target.hash);
    let mut indexes: Vec<usize> = (0..candidates.len()).collect();
    let homes = homes.min(indexes.len());
    if homes < indexes.len() {
        indexes.select_nth_unstable_by_key(homes, |index| std::cmp::Reverse(weight(index)));
    }
    let mut chosen: Vec<usize> = indexes[..homes].to_vec();
    let holders = indexes[homes..].iter().filter(|i| candidates[**i].loaded);
    chosen.extend(holders);
    // equal waits go to the first home, on every entry alike
    chosen.sort_by_key(|index| std::cmp::Reverse(weight(index)));
    chosen
}
