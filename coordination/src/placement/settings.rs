use {crate::features::FeatureSwitches, std::time::Duration};

/// bounds of what a sidecar orders
#[derive(Debug, Clone)]
pub struct PlacementSettings {
    /// adapters on their way to the engine at once, while loads are fast
    pub max_loading: usize,
    /// an adapter that was used more lately than this is not evicted
    pub min_idle: Duration,
    /// an entry that was silent for this long needs nothing
    pub entry_silence: Duration,
    /// an adapter in use is replaced by its newer version after this time
    pub replace_after: Duration,
    /// pause before an order that failed is given again
    pub order_pause: Duration,
    /// pause between two questions for the engine's identity
    pub identity_pause: Duration,
    /// pause between two loads of a base model
    pub model_pause: Duration,
    pub mechanisms: FeatureSwitches,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            max_loading: 3,
            min_idle: Duration::from_millis(100),
            entry_silence: Duration::from_secs(3),
            replace_after: Duration::from_millis(1_000),
            order_pause: Duration::from_millis(300),
            identity_pause: Duration::from_millis(200),
            model_pause: Duration::from_secs(5),
            mechanisms: FeatureSwitches::default(),
        }
    }
}
