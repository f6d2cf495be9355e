use {
    chalkcart_state::{
        accounts::AccountFingerprint,
        backends::{AdapterRef, BackendId, SoftwareVersion},
        ids::{BaseModelName, ServiceName},
        ingress::{RequestDigest, SharedParts},
        regions::AllowedRegions,
    },
    std::time::{Duration, Instant},
};

/// Identifies a request within one process of an entry.
pub type Ticket = u64;

/// A request that needs a back end.
#[derive(Debug, Clone)]
pub struct DispatchRequest {
    pub digest: RequestDigest,
    pub shared_parts: SharedParts,
    /// Whether an engine crashed under it since it last completed.
    pub is_crash_suspect: bool,
    /// Whether it continues a stream of which an engine has sent events.
    pub has_progress: bool,
    pub service: ServiceName,
    /// The base model, also set for requests without an adapter.
    pub model: Option<BaseModelName>,
    pub adapter: Option<AdapterRef>,
    pub prompt_tokens: u32,
    /// Expected tokens of the response; 0 if unknown or for a request without a prompt.
    pub expected_output_tokens: u32,
    /// The client account, none on a route without keys.
    pub account: Option<AccountFingerprint>,
    pub allowed_regions: AllowedRegions,
    /// The only software version that may serve it: that of the engine which began its stream.
    /// `None` if any may.
    pub software_version: Option<SoftwareVersion>,
    /// Priority of the client account; compared before that of the route. 0 is the most
    /// urgent.
    pub account_priority: u8,
    /// Whether its account uses more than its share of the fleet, by the level of its limit.
    /// The dispatcher ignores it on services whose routes all have one priority.
    pub is_beyond_share: bool,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u8,
    pub target_latency: Duration,
    /// Longest pause between two events that is in time; `None` without such an objective.
    pub target_gap: Option<Duration>,
    pub arrived_at: Instant,
    /// When the client or the route gives up.
    pub deadline: Instant,
    /// Back ends that must not be tried again.
    pub tried_backends: Vec<BackendId>,
    /// Whether it is the client's retry of a request that was rejected before.
    pub was_rejected_before: bool,
    /// Whether the load time of its adapter was compared with its latency objective.
    pub is_load_time_checked: bool,
    pub send_count: u32,
    /// Whether a back end may have run it and failed. Such a request does not wait for a back end
    /// that is not listed yet.
    pub is_repeat: bool,
    /// Until when a back end may still read one of the earlier sends, whose connection was lost;
    /// `None` if none can.
    pub earlier_unread_until: Option<Instant>,
    /// Order among requests of equal priority, set by the dispatcher.
    pub start_tag: u64,
}
