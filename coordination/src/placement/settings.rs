use {crate::mechanisms::Mechanisms, std::time::Duration};

/// bounds of what a sidecar orders
#[derive(Debug, Clone)]
pub struct PlacementSettings {
    /// adapters on their way to the engine at once, while loads are fast
    pub max_concurrent_loads: usize,
    /// an adapter that was used more lately than this is not evicted
    pub min_idle: Duration,
    /// an entry that was silent for this long needs nothing
    pub entry_timeout: Duration,
    /// an adapter in use is replaced by its newer version after this time
    pub replace_after: Duration,
    /// pause before an order that failed is given again
    pub order_retry_delay: Duration,
    /// pause between two questions for the engine's identity
    pub identify_interval: Duration,
    /// pause between two loads of a base model
    pub model_load_interval: Duration,
    pub mechanisms: Mechanisms,
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
            mechanisms: Mechanisms::default(),
        }
    }
}
