use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

/// Metrics of an entry about engines that ended while running its requests.
#[derive(Debug, Clone, Default)]
pub struct CrashMetrics {
    /// Engines that ended while running a request of this entry.
    pub ended: Counter,
    /// Attempts rejected because engines ended while running the request.
    pub refused: Counter,
    /// Of these, attempts rejected for a part of their prompt.
    pub refused_for_part: Counter,
    /// Parts of prompts with enough crashes to block them.
    pub suspected_parts: Gauge,
    /// Requests during which an engine ended, blocked or not.
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
            "crashing_refused_for_part",
            "Tries refused since engines ended under a part of their prompt",
            self.refused_for_part.clone(),
        );
        registry.register(
            "crashing_parts",
            "Parts of prompts under which enough engines ended to refuse them",
            self.suspected_parts.clone(),
        );
        registry.register(
            "crashing_remembered",
            "Requests remembered since an engine ended under them",
            self.remembered.clone(),
        );
    }
}
