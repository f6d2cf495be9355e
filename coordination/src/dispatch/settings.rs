use {
    super::RetryBudgetSettings,
    crate::{features::FeatureSwitches, stream_pacing::PacingSettings},
    chalkcart_state::ids::{BoxName, RegionName, ZoneName},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Settings of an entry's dispatch decisions.
#[derive(Debug, Clone)]
pub struct DispatchSettings {
    pub entry: BoxName,
    pub zone: ZoneName,
    /// Region of each availability zone.
    pub regions: HashMap<ZoneName, RegionName>,
    /// Retry budget of a service, shared by all entries.
    pub budget: RetryBudgetSettings,
    /// Start time of this process, if the fleet was already serving: its previous run may
    /// have used a share of the budget.
    pub restarted_at: Option<Instant>,
    /// Maximum waits for an adapter and for a slot, as multiples of the latency objective.
    pub max_adapter_wait_ratio: f64,
    pub max_slot_wait_ratio: f64,
    /// Expected time to the first token once the adapter is loaded.
    pub first_token_delay: Duration,
    /// Prefill rate assumed until it was observed, in tokens per ms.
    pub default_tokens_per_ms: f64,
    /// Prefill queue from which an adapter is worth another copy, in ms.
    pub copy_queue_threshold_ms: f64,
    /// Fraction of taken slots from which an adapter is worth another copy.
    pub copy_load_threshold: f64,
    /// An entry that had no report from any back end for this long is cut off.
    pub disconnected_after: Duration,
    /// How long requests may start on the previous version of an adapter.
    pub version_grace: Duration,
    /// How the engines run steps, for the pauses of streams.
    pub pacing: PacingSettings,
    pub features: FeatureSwitches,
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
            pacing: PacingSettings::default(),
            features: FeatureSwitches::default(),
        }
    }
}
