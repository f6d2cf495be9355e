use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// What changed about a part of prompts, and whether this entry saw it itself (1) or heard it (0).
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PartChangeLabel {
    pub change: &'static str,
    pub own: u8,
}

/// Metrics of an entry about engines that ended while running its requests.
#[derive(Debug, Clone, Default)]
pub struct CrashMetrics {
    /// Engines that ended while running a request of this entry.
    pub ended: Counter,
    /// Attempts rejected because engines ended while running the request.
    pub refused: Counter,
    /// Of these, attempts rejected for a part of their prompt.
    pub refused_for_part: Counter,
    /// Sends of requests with a suspected part that other parts excuse.
    pub excused_for_part: Counter,
    /// What was learnt about parts of prompts.
    part_changes: Family<PartChangeLabel, Counter>,
    /// Parts of prompts with enough crashes to block them.
    pub suspected_parts: Gauge,
    /// Requests during which an engine ended, blocked or not.
    pub remembered: Gauge,
}

impl CrashMetrics {
    pub fn on_part_change(&self, change: &'static str, is_own: bool) {
        let own = u8::from(is_own);
        let label = PartChangeLabel { change, own };
        self.part_changes.get_or_create(&label).inc();
    }

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
            "crashing_excused_for_part",
            "Tries sent though a part of their prompt is suspected",
            self.excused_for_part.clone(),
        );
        registry.register(
            "crashing_part_changes",
            "Crashes under parts of prompts and runs that did well, seen or heard",
            self.part_changes.clone(),
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
