use {super::PrefillWindow, crate::backend_performance::EnginePerformance, std::time::Duration};

/// What an entry knows about the work of an engine when it chooses.
#[derive(Debug, Clone, Copy)]
pub struct EngineLoad<'w> {
    pub performance: EnginePerformance,
    /// Whether the engine's own sidecar measured its performance.
    pub is_measured: bool,
    /// Prompt tokens that are not prefilled yet.
    pub pending_tokens: f64,
    /// Requests that run or wait there.
    pub running: u32,
    /// Age of the report that these figures are from; `None` without one.
    pub view_age: Option<Duration>,
    /// Prompts that started there lately.
    pub window: &'w PrefillWindow,
}
