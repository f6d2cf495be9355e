use {crate::features::FeatureSwitches, std::time::Duration};

/// Limits and delays of the orders that a sidecar gives to its engine.
#[derive(Debug, Clone)]
pub struct PlacementSettings {
    /// Maximum number of concurrent loads; fewer run while loads are slow.
    pub max_concurrent_loads: usize,
    /// Minimum time since the last use before an adapter is evicted.
    pub min_idle: Duration,
    /// Time without a message after which the demand of an entry expires.
    pub entry_timeout: Duration,
    /// Time after which an outdated adapter is replaced although requests use it.
    pub replace_after: Duration,
    /// Delay before a failed order is retried.
    pub order_retry_delay: Duration,
    /// Minimum interval between requests for the engine's identity.
    pub identify_interval: Duration,
    /// Minimum interval between loads of a base model.
    pub model_load_interval: Duration,
    pub features: FeatureSwitches,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            max_concurrent_loads: 3,
            min_idle: Duration::from_millis(100),
            entry_timeout: Duration::from_secs(3),
            replace_after: Duration::from_millis(1_000),
            order_retry_delay: Duration::from_millis(300),
            identify_interval: Duration::from_millis(200),
            model_load_interval: Duration::from_secs(5),
            features: FeatureSwitches::default(),
        }
    }
}
