use {
    super::BudgetUsage,
    crate::stream_pacing::PacingInputs,
    chalkcart_state::{
        backends::{BackendId, SoftwareVersion},
        published::StorePosition,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Minimum retry time given to rejected requests.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Inputs of a decision, for logs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DecisionInputs {
    /// Back ends that may take the request.
    pub candidates: u32,
    /// Of these, the ones that hold its adapter.
    pub holders: u32,
    /// Back ends of the service that are excluded because they are leaving.
    pub leaving: u32,
    /// Back ends of the service that are excluded because they are backed off.
    pub backed_off: u32,
    /// Back ends of the service that advertise a rate limit.
    pub limited: u32,
    /// Position of its route among the priorities of the service; `None` if there is only one.
    pub route_rank: Option<u8>,
    /// Typical prompt of the routes of its priority, in tokens.
    pub typical_prompt_tokens: f64,
    /// Expected wait until prefill at the chosen back end, in ms.
    pub queue_ms: f64,
    /// Rate of the chosen back end relative to the median of its service; 1 if it is unknown.
    pub relative_rate: f64,
    /// Requests that run or wait at the chosen back end.
    pub occupied: u32,
    /// Age of the sidecar's last report on the chosen back end.
    pub view_age: Option<Duration>,
    /// Requests that wait in this entry.
    pub waiting: u32,
    /// The position of the store at which the list was read.
    pub list: StorePosition,
    /// Retry budget of the service before this send.
    pub budget: BudgetUsage,
    /// Inputs of the decision on a request with a gap objective.
    pub pacing: Option<PacingInputs>,
}

/// Where a request is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    pub backend: BackendId,
    pub addr: SocketAddr,
    /// Version of the adapter that must run.
    pub version: Option<u64>,
    /// Version of the software that the back end runs; `None` if it is not known.
    pub software_version: Option<SoftwareVersion>,
    /// 0 is the most urgent, 9 the least.
    pub urgency: u8,
    /// How busy it is; from 1 on its adapter is worth another copy.
    pub utilization: f64,
    /// Whether it advertises a rate limit; a response without one ends the limit.
    pub is_limited: bool,
    pub inputs: DecisionInputs,
}

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RejectionCause {
    /// The service has no back end that takes requests.
    NoBackend,
    /// Every back end requested a back-off.
    BackedOff,
    /// Every back end that could serve it has reached its rate limit.
    RateLimited,
    /// No allowed region has a back end that takes requests.
    OutsideRegions,
    /// No engine of the software version that began its stream takes requests.
    OtherSoftware,
    /// No engine holds its adapter, and no reporting sidecar could load it.
    NoLoadingSidecar,
    /// Every back end is full.
    Full,
    /// Its adapter was not loaded in time.
    NotLoaded,
    /// Its adapter is being reloaded on a less busy engine.
    Reloading,
    /// Loading its adapter takes longer than its latency objective allows.
    LoadTooSlow,
    /// The retry budget is used up.
    RetryBudgetExhausted,
    /// No engine can complete it by its deadline.
    MissesDeadline,
    /// This entry stops before it would be complete; another one can serve it.
    Stopping,
}

impl RejectionCause {
    /// Returns the code in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::NoBackend => "no_backend",
            Self::BackedOff => "resting",
            Self::RateLimited => "limited",
            Self::OutsideRegions => "outside_regions",
            Self::OtherSoftware => "other_software",
            Self::NoLoadingSidecar => "unheard",
            Self::Full => "full",
            Self::NotLoaded => "not_loaded",
            Self::Reloading => "returns",
            Self::LoadTooSlow => "loads_later",
            Self::RetryBudgetExhausted => "no_budget",
            Self::MissesDeadline => "misses_deadline",
            Self::Stopping => "stopping",
        }
    }
}

/// The decision on a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    Send(Assignment),
    Reject {
        cause: RejectionCause,
        /// Time after which the request is likely to be served.
        retry_after: Duration,
        inputs: DecisionInputs,
    },
}
