use {
    super::RetryBudgetSettings,
    crate::mechanisms::Mechanisms,
    chalkcart_state::ids::{BoxName, RegionName, ZoneName},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// bounds of an entry's decisions
#[derive(Debug, Clone)]
pub struct DispatchSettings {
    pub entry: BoxName,
    pub zone: ZoneName,
    /// the region of each availability zone
    pub regions: HashMap<ZoneName, RegionName>,
    /// repeats of a service, over all entries
    pub budget: RetryBudgetSettings,
    /// when this process began, if the fleet served before: a former life of it may have
    /// used a share of the budget
    pub restarted_at: Option<Instant>,
    /// longest wait for an adapter or a place, as a part of the objective
    pub max_adapter_wait_ratio: f64,
    pub max_slot_wait_ratio: f64,
    /// expected time to the first token once the adapter is there
    pub first_token_delay: Duration,
    /// prompt tokens that an engine reads in a ms, before the rate was observed
    pub default_tokens_per_ms: f64,
    /// a queue this long makes an adapter worth another copy, in ms
    pub copy_queue_threshold_ms: f64,
    /// so does this part of the places taken
    pub copy_load_threshold: f64,
    /// nothing was heard of any back end for this long: cut off
    pub disconnected_after: Duration,
    /// the former version of an adapter is used no longer than this
    pub version_grace: Duration,
    pub features: Mechanisms,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            entry: BoxName::new(),
            zone: ZoneName::new(),
            regions: HashMap::new(),
            budget: RetryBudgetSettings {
                ratio: 0.2,
                extra: 50.0,
                window: Duration::from_secs(10),
            },
            restarted_at: None,
            max_adapter_wait_ratio: 4.0,
            max_slot_wait_ratio: 2.0,
            first_token_delay: Duration::from_millis(100),
            default_tokens_per_ms: 16.0,
            copy_queue_threshold_ms: 80.0,
            copy_load_threshold: 0.5,
            disconnected_after: Duration::from_millis(1_200),
            version_grace: Duration::from_millis(2_500),
            features: Mechanisms::default(),
        }
    }
}
