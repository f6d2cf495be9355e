use {
    crate::{ids::ServiceName, regions::AllowedRegions},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// what a route allows to be done with a request again
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// may run more than once
    Safe,
    /// runs at most once for each client attempt
    Unsafe,
    /// a series of events; at most once, unless it may be resumed
    Stream { resumable: bool },
}

impl RouteKind {
    /// whether a request that may have run may be sent again from its start,
    /// before any part of an answer was passed on
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

/// a service that takes a part of a route's requests
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    pub service: ServiceName,
    pub weight: f64,
}

/// one route of the configuration
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub name: String,
    /// begins and ends with a slash
    pub path_prefix: String,
    pub kind: RouteKind,
    /// longest time that a request may be held
    pub timeout: Duration,
    /// time within which an answer is worth the most
    pub target_latency: Duration,
    /// 0 is the most urgent
    pub priority: u8,
    /// engines that one request may run on
    pub max_attempts: u32,
    /// served without a key
    pub is_public: bool,
    pub services: Vec<WeightedService>,
    /// where its requests may be served; missing: a build before 5, which reads no such bound
    #[serde(default)]
    pub allowed_regions: AllowedRegions,
}

impl Route {
    /// the service for a request, by a number drawn from 0 to 1
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: f64 = self.services.iter().map(|s| s.weight).sum();
        let mut left = draw * total;
        for weighted in &self.services {
            left -= weighted.weight;
            if left < 0.0 {
                return Some(&weighted.service);
            }
        }
        self.services.last().map(|s| &s.service)
    }
}
