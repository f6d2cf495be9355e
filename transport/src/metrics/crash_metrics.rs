use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

/// what an entry counts of engines that ended under requests
#[derive(Debug, Clone, Default)]
pub struct CrashMetrics {
    /// engines that ended under runs of this entry
    pub ended: Counter,
    /// tries that were refused, since engines ended under their request
    pub refused: Counter,
    /// requests that are remembered, condemned or not
    pub remembered: Gauge,
}

impl CrashMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "engines_ended",
            "Engines that ended under runs of this entry",
            self.ended.clone(),
        );
        registry.register(
            "crashing_refused",
            "Tries refused since engines ended under their request",
            self.refused.clone(),
        );
        registry.register(
            "crashing_remembered",
            "Requests remembered since an engine ended under them",
            self.remembered.clone(),
        );
    }
}
