use {
    crate::{ids::ServiceName, regions::AllowedRegions},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Whether and when a route's requests may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once per client attempt.
    Unsafe,
    /// A stream of events; runs at most once unless it is resumable.
    Stream { resumable: bool },
}

impl RouteKind {
    /// Returns whether a request that may have run can be retried from the start, provided that
    /// no part of a response was forwarded.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Safe => true,
            Self::Unsafe => false,
            Self::Stream { resumable } => resumable,
        }
    }
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    pub service: ServiceName,
    pub weight: f64,
}

/// A route of the ingress configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub name: String,
    /// Starts and ends with a slash.
    pub path_prefix: String,
    pub kind: RouteKind,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Latency objective of a response.
    pub target_latency: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of engines that a request is tried on.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
    pub services: Vec<WeightedService>,
    /// Regions in which its requests may be served; missing in messages of builds before wire
    /// version 5, which do not support the restriction.
    #[serde(default)]
    pub allowed_regions: AllowedRegions,
    /// Longest pause between two events of a stream that is in time; `None` without such an
    /// objective, and in messages of builds before wire version 7.
    #[serde(default)]
    pub target_gap: Option<Duration>,
}

impl Route {
    /// Picks a service by weight, with `draw` uniform in [0, 1).
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: f64 = self.services.iter().map(|s| s.weight).sum();
        let mut remaining = draw * total;
        for weighted in &self.services {
            remaining -= weighted.weight;
            if remaining < 0.0 {
                return Some(&weighted.service);
            }
        }
        self.services.last().map(|s| &s.service)
    }
}
