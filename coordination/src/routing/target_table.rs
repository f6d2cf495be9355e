use {
    super::{
        least_expected_wait::expected_wait, policy::serves, target::loaded_hash, Candidate,
        LeastExpectedWait, LeastLoaded, PlainHash, RandomChoice, RouteRequest, RoutingPolicy,
        Target, TargetRequirement, WaitSettings,
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

/// one-way time to another zone
const OTHER_ZONE: Duration = Duration::from_micros(1_500);

/// the routing policies that can be set
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PolicyName {
    #[default]
    LeastExpectedWait,
    LeastLoaded,
    PlainHash,
    Random,
}

/// where a request goes
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    pub target: BoxName,
    pub addr: SocketAddr,
    pub expected_wait: Duration,
    pub loaded: bool,
}

/// the targets as one entry box knows them
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

    /// follow the platform's list; what was heard from a target is kept
    /// while it stays at its address
    pub fn on_list(&mut self, list: &FleetList) {
        let mut previous = std::mem::take(&mut self.targets);
        for listed in list.targets() {
            let kept = previous.remove(&listed.name);
            let mut target = match kept {
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
    pub fn on_silence(&mut self, name: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(name) {
            target.on_silence(now);
        }
    }
    pub fn on_ended(&mut self, name: &str) {
        if let Some(target) = self.targets.get_mut(name) {
            target.on_ended();
        }
    }

    /// choose a target and count the request there
    pub fn route(&mut self, ask: &RouteRequest, now: Instant) -> Option<Route> {
        let candidates = candidates(&self.targets, &self.zone, ask, now);
        let index = self.policy.choose(ask, &candidates, now)?;
        let route = new_route(ask, &candidates[index], now);
        if let Some(target) = self.targets.get_mut(&route.target) {
            target.on_sent(ask.tokens);
        }
        Some(route)
    }

    /// where requests would go, the best first
    pub fn plan(&self, ask: &RouteRequest, now: Instant) -> Vec<Route> {
        let candidates = candidates(&self.targets, &self.zone, ask, now);
        let mut routes: Vec<Route> = candidates
            .iter()
            .map(|candidate| new_route(ask, candidate, now))
            .collect();
        routes.sort_by_key(|route| route.expected_wait);
        routes
    }
}

fn new_policy(name: PolicyName, seed: u64) -> Box<dyn RoutingPolicy> {
    match name {
        PolicyName::LeastExpectedWait => Box::new(LeastExpectedWait::new(WaitSettings::default())),
        PolicyName::LeastLoaded => Box::new(LeastLoaded),
        PolicyName::PlainHash => Box::new(PlainHash),
        PolicyName::Random => Box::new(RandomChoice::new(seed)),
    }
}

fn new_route(ask: &RouteRequest, candidate: &Candidate, now: Instant) -> Route {
    Route {
        target: candidate.target.listed.name.clone(),
        addr: candidate.target.listed.addr,
        expected_wait: expected_wait(ask, candidate, now),
        loaded: candidate.loaded,
    }
}

/// targets that could serve the request; suspect ones only if there is
/// no other
fn candidates<'t>(
    targets: &'t BTreeMap<BoxName, Target>,
    zone: &str,
    ask: &RouteRequest,
    now: Instant,
) -> Vec<Candidate<'t>> {
    let able: Vec<&Target> = targets
        .values()
        .filter(|t| serves(&t.listed.role, &ask.need) && !t.is_leaving())
        .collect();
    let untried = |t: &&Target| !ask.excluded.contains(&t.listed.name);
    let well: Vec<&Target> = able
        .iter()
        .copied()
        .filter(|t| untried(t) && !t.is_suspect(now))
        .collect();
    let chosen = if well.is_empty() { able } else { well };
    let wanted = match &ask.need {
        TargetRequirement::Adapter {
            adapter, version, ..
        } => Some(loaded_hash(adapter, *version)),
        TargetRequirement::Service(_) => None,
    };
    chosen
        .into_iter()
        .map(|target| new_candidate(target, zone, wanted))
        .collect()
}

/// `wanted` is the hash of the adapter's version, none for a plain service
fn new_candidate<'t>(target: &'t Target, zone: &str, wanted: Option<u64>) -> Candidate<'t> {
    let loaded = wanted.is_none_or(|hash| target.has_loaded(hash));
    let is_near = target.listed.zone == zone;
    Candidate {
        target,
        loaded,
        distance: if is_near { Duration::ZERO } else { OTHER_ZONE },
    }
}
