use {
    super::Target,
    chalkcart_state::{
        fleet::Role,
        ids::{AdapterName, BaseModelName, BoxName, ServiceName, VersionNumber},
    },
    std::time::{Duration, Instant},
};

/// what a target must offer
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetRequirement {
    Adapter {
        adapter: AdapterName,
        version: VersionNumber,
        base_model: BaseModelName,
    },
    Service(ServiceName),
}

/// whether a box in this role can do what is needed
pub fn serves(role: &Role, need: &TargetRequirement) -> bool {
    match (role, need) {
        (
            Role::Engine { base_model },
            TargetRequirement::Adapter {
                base_model: wanted, ..
            },
        ) => base_model == wanted,
        (Role::Service { service }, TargetRequirement::Service(wanted)) => service == wanted,
        _ => false,
    }
}

/// a request that looks for a target
#[derive(Debug, Clone)]
pub struct RouteRequest {
    pub need: TargetRequirement,
    pub tokens: u64,
    /// targets that failed this request before
    pub excluded: Vec<BoxName>,
}

/// a target that could serve the request
#[derive(Debug)]
pub struct Candidate<'t> {
    pub target: &'t Target,
    /// the target said that it holds the adapter's version
    pub loaded: bool,
    /// one-way time to the target's zone
    pub distance: Duration,
}

/// chooses among the targets that could serve a request
pub trait RoutingPolicy: Send {
    /// index of the chosen candidate; none only if there are no candidates
    fn choose(
        &mut self,
        ask: &RouteRequest,
        candidates: &[Candidate],
        now: Instant,
    ) -> Option<usize>;
}
