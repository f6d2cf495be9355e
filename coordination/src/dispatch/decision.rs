use {
    super::BudgetUsage,
    chalkcart_state::backends::BackendId,
    std::{net::SocketAddr, time::Duration},
};

/// what a decision was made from, for logs
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DecisionInputs {
    /// back ends that might take the request
    pub candidates: u32,
    /// of these, those that hold its adapter
    pub holders: u32,
    /// back ends of the service that are left out because they leave
    pub leaving: u32,
    /// the same, because they rest
    pub resting: u32,
    /// back ends of the service that name how many requests they take
    pub limited: u32,
    /// expected wait for the first token at the chosen one, in ms
    pub queue_ms: f64,
    /// requests that run or wait there
    pub occupied: u32,
    /// age of the sidecar's last word about it
    pub view_age: Option<Duration>,
    /// requests that wait in this entry
    pub waiting: u32,
    /// version of the list
    pub list_version: u64,
    /// the budget for repeats of the service, before this send
    pub budget: BudgetUsage,
}

/// where a request goes
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    pub backend: BackendId,
    pub addr: SocketAddr,
    /// the version of the adapter that must run
    pub version: Option<u64>,
    /// 0 is the most urgent, 9 the least
    pub urgency: u8,
    /// how busy it is; at 1 its adapter is worth another copy
    pub utilization: f64,
    /// it has named a limit: an answer without one says that this is over
    pub is_limited: bool,
    pub inputs: DecisionInputs,
}

/// why a request is refused
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RejectionCause {
    /// the service has no back end that takes work
    NoBackend,
    /// each back end has asked for rest
    BackedOff,
    /// each that could serve it takes no more requests a second
    RateLimited,
    /// no region in which it may be served has a back end that takes work
    OutsideRegions,
    /// its adapter is nowhere, and no sidecar that is heard would bring it
    NoLoadingSidecar,
    /// each back end is full
    Full,
    /// its adapter was not loaded in time
    NotLoaded,
    /// its adapter is on its way back to an engine that is less busy
    Reloading,
    /// its adapter comes too late for its objective
    LoadTooSlow,
    /// the budget for repeats is used up
    RetryBudgetExhausted,
}

impl RejectionCause {
    /// the word in logs and metrics
    pub fn code(self) -> &'static str {
        match self {
            Self::NoBackend => "no_backend",
            Self::BackedOff => "resting",
            Self::RateLimited => "limited",
            Self::OutsideRegions => "outside_regions",
            Self::NoLoadingSidecar => "unheard",
            Self::Full => "full",
            Self::NotLoaded => "not_loaded",
            Self::Reloading => "returns",
            Self::LoadTooSlow => "loads_later",
            Self::RetryBudgetExhausted => "no_budget",
        }
    }
}

/// what becomes of a request
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    Send(Assignment),
    Reject {
        cause: RejectionCause,
        /// when it could be served
        retry_after: Duration,
        inputs: DecisionInputs,
    },
}
