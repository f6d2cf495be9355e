use {
    super::BudgetBounds,
    crate::features::FeatureSwitches,
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
    pub budget: BudgetBounds,
    /// when this process began, if the fleet served before: a former life of it may have
    /// used a share of the budget
    pub began_anew: Option<Instant>,
    /// longest wait for an adapter or a place, as a part of the objective
    pub wait_for_adapter: f64,
    pub wait_for_place: f64,
    /// expected time to the first token once the adapter is there
    pub first_token: Duration,
    /// prompt tokens that an engine reads in a ms, before the rate was observed
    pub tokens_per_ms: f64,
    /// a queue this long makes an adapter worth another copy, in ms
    pub copy_from_queue_ms: f64,
    /// so does this part of the places taken
    pub copy_from_load: f64,
    /// nothing was heard of any back end for this long: cut off
    pub unheard_after: Duration,
    /// the former version of an adapter is used no longer than this
    pub version_grace: Duration,
    pub mechanisms: FeatureSwitches,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            entry: BoxName::new(),
            zone: ZoneName::new(),
            regions: HashMap::new(),
            budget: BudgetBounds {
                ratio: 0.2,
                extra: 50.0,
                window: Duration::from_secs(10),
            },
            began_anew: None,
            wait_for_adapter: 4.0,
            wait_for_place: 2.0,
            first_token: Duration::from_millis(100),
            tokens_per_ms: 16.0,
            copy_from_queue_ms: 80.0,
            copy_from_load: 0.5,
            unheard_after: Duration::from_millis(1_200),
            version_grace: Duration::from_millis(2_500),
            mechanisms: FeatureSwitches::default(),
        }
    }
}
