use {
    chalkcart_state::{
        accounts::AccountFingerprint,
        backends::{AdapterRef, BackendId},
        ids::{BaseModelName, ServiceName},
        ingress::RequestDigest,
        regions::AllowedRegions,
    },
    std::time::{Duration, Instant},
};

/// number of a request within one life of an entry
pub type Ticket = u64;

/// a request that needs a back end
#[derive(Debug, Clone)]
pub struct Ask {
    pub digest: RequestDigest,
    /// an engine has ended under it since it was served last
    pub is_suspected: bool,
    pub service: ServiceName,
    /// the base model, also of requests without an adapter
    pub model: Option<BaseModelName>,
    pub adapter: Option<AdapterRef>,
    pub prompt_tokens: u32,
    /// the client account that asks, none on a route without keys
    pub account: Option<AccountFingerprint>,
    /// where it may be served
    pub allowed_regions: AllowedRegions,
    /// of the client account, goes before that of the route; 0 is the most urgent
    pub account_priority: u8,
    /// of the route; 0 is the most urgent
    pub priority: u8,
    pub target_latency: Duration,
    pub arrived: Instant,
    /// when the client or the route ends the request
    pub deadline: Instant,
    /// back ends that are not to be tried again
    pub tried: Vec<BackendId>,
    /// it was refused before and came back
    pub has_returned: bool,
    /// it was weighed whether it should be refused and come back
    pub is_judged: bool,
    /// times that it was sent
    pub sends: u32,
    /// its turn among those of its priority, given by the dispatcher
    pub turn: u64,
}
