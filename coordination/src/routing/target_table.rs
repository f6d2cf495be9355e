use {
    super::{
        least_expected_wait::expected_wait, policy::can_serve, target::adapter_version_hash,
        Candidate, HomeSettings, LeastExpectedWait, LeastLoaded, PlainHash, RandomChoice,
        RouteRequest, RoutingPolicy, Target, TargetRequirement,
    },
    chalkcart_protocol::peer::TargetReport,
    chalkcart_state::{
        fleet::FleetList,
        ids::{BoxName, ZoneName},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// One-way network delay to another zone.
const CROSS_ZONE_DELAY: Duration = Duration::from_micros(1_500);

/// The available routing policies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PolicyName {
    #[default]
    LeastExpectedWait,
    LeastLoaded,
    PlainHash,
    Random,
}

/// The target chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    pub target: BoxName,
    pub addr: SocketAddr,
    pub expected_wait: Duration,
    pub is_loaded: bool,
}

/// The targets as known to one entry.
pub struct TargetTable {
    zone: ZoneName,
    targets: BTreeMap<BoxName, Target>,
    policy: Box<dyn RoutingPolicy>,
}

impl TargetTable {
    pub fn new(zone: ZoneName, policy: PolicyName, seed: u64) -> Self {
        Self {
            zone,
            targets: BTreeMap::new(),
            policy: new_policy(policy, seed),
        }
    }

    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }
    pub fn get(&self, name: &str) -> Option<&Target> {
        self.targets.get(name)
    }

    /// Updates the targets from the platform's list. The state of a target is kept while its
    /// address is unchanged.
    pub fn on_list(&mut self, list: &FleetList) {
        let mut previous = std::mem::take(&mut self.targets);
        for listed in list.targets() {
            let known = previous.remove(&listed.name);
            let mut target = match known {
                Some(target) if target.listed.addr == listed.addr => target,
                _ => Target::new(listed.clone()),
            };
            target.listed = listed.clone();
            self.targets.insert(listed.name.clone(), target);
        }
    }
    pub fn on_report(&mut self, report: TargetReport, now: Instant) {
        if let Some(target) = self.targets.get_mut(&report.name) {
            target.on_report(report, now);
        }
    }
    pub fn on_unresponsive(&mut self, name: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(name) {
            target.on_unresponsive(now);
        }
    }
    pub fn on_request_ended(&mut self, name: &str) {
        if let Some(target) = self.targets.get_mut(name) {
            target.on_request_ended();
        }
    }

    /// Chooses a target and counts the request as in flight to it.
    pub fn route(&mut self, request: &RouteRequest, now: Instant) -> Option<Route> {
        let candidates = candidates(&self.targets, &self.zone, request, now);
        let index = self.policy.choose(request, &candidates, now)?;
        let route = new_route(request, &candidates[index], now);
        if let Some(target) = self.targets.get_mut(&route.target) {
            target.on_request_sent(request.tokens);
        }
        Some(route)
    }

    /// Returns the possible routes of a request by expected wait, the shortest first.
    pub fn plan(&self, request: &RouteRequest, now: Instant) -> Vec<Route> {
        let candidates = candidates(&self.targets, &self.zone, request, now);
        let mut routes: Vec<Route> = candidates
            .iter()
            .map(|candidate| new_route(request, candidate, now))
            .collect();
        routes.sort_by_key(|route| route.expected_wait);
        routes
    }
}

fn new_policy(name: PolicyName, seed: u64) -> Box<dyn RoutingPolicy> {
    match name {
        PolicyName::LeastExpectedWait => Box::new(LeastExpectedWait::new(HomeSettings::default())),
        PolicyName::LeastLoaded => Box::new(LeastLoaded),
        PolicyName::PlainHash => Box::new(PlainHash),
        PolicyName::Random => Box::new(RandomChoice::new(seed)),
    }
}

fn new_route(request: &RouteRequest, candidate: &Candidate, now: Instant) -> Route {
    Route {
        target: candidate.target.listed.name.clone(),
        addr: candidate.target.listed.addr,
        expected_wait: expected_wait(request, candidate, now),
        is_loaded: candidate.is_loaded,
    }
}

/// Returns the targets that could serve a request. Suspect and excluded ones are among them only
/// if there are no others.
fn candidates<'t>(
    targets: &'t BTreeMap<BoxName, Target>,
    zone: &str,
    request: &RouteRequest,
    now: Instant,
) -> Vec<Candidate<'t>> {
    let able: Vec<&Target> = targets
        .values()
        .filter(|t| can_serve(&t.listed.role, &request.requirement) && !t.is_leaving())
        .collect();
    let is_untried = |t: &&Target| !request.excluded.contains(&t.listed.name);
    let healthy: Vec<&Target> = able
        .iter()
        .copied()
        .filter(|t| is_untried(t) && !t.is_suspect(now))
        .collect();
    let chosen = if healthy.is_empty() { able } else { healthy };
    let adapter_hash = match &request.requirement {
        TargetRequirement::Adapter {
            adapter, version, ..
        } => Some(adapter_version_hash(adapter, *version)),
        TargetRequirement::Service(_) => None,
    };
    chosen
        .into_iter()
        .map(|target| new_candidate(target, zone, adapter_hash))
        .collect()
}

/// Returns a target as a candidate; `adapter_hash` is the hash of the adapter's version, `None`
/// for a plain service.
fn new_candidate<'t>(target: &'t Target, zone: &str, adapter_hash: Option<u64>) -> Candidate<'t> {
    let is_loaded = adapter_hash.is_none_or(|hash| target.has_loaded(hash));
    let is_same_zone = target.listed.zone == zone;
    Candidate {
        target,
        is_loaded,
        distance: if is_same_zone {
            Duration::ZERO
        } else {
            CROSS_ZONE_DELAY
        },
    }
}
