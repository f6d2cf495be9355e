use {
    super::Target,
    chalkcart_state::{
        fleet::Role,
        ids::{AdapterName, BaseModelName, BoxName, ServiceName, VersionNumber},
    },
    std::time::{Duration, Instant},
};

/// What a target must offer to serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetRequirement {
    Adapter {
        adapter: AdapterName,
        version: VersionNumber,
        base_model: BaseModelName,
    },
    Service(ServiceName),
}

/// Returns whether a box in this role meets a requirement.
pub fn can_serve(role: &Role, requirement: &TargetRequirement) -> bool {
    match (role, requirement) {
        (
            Role::Engine { base_model },
            TargetRequirement::Adapter {
                base_model: required,
                ..
            },
        ) => base_model == required,
        (Role::Service { service }, TargetRequirement::Service(required)) => service == required,
        _ => false,
    }
}

/// A request to route.
#[derive(Debug, Clone)]
pub struct RouteRequest {
    pub requirement: TargetRequirement,
    pub tokens: u64,
    /// Targets where earlier attempts of this request failed.
    pub excluded: Vec<BoxName>,
}

/// A target that could serve a request.
#[derive(Debug)]
pub struct Candidate<'t> {
    pub target: &'t Target,
    /// Whether the target reported that it holds the adapter's version.
    pub is_loaded: bool,
    /// One-way network delay to the target's zone.
    pub distance: Duration,
}

/// Chooses among the targets that could serve a request.
pub trait RoutingPolicy: Send {
    /// Returns the index of the chosen candidate, `None` only if there are no candidates.
    fn choose(
        &mut self,
        request: &RouteRequest,
        candidates: &[Candidate],
        now: Instant,
    ) -> Option<usize>;
}
