use {
    super::{PacingSettings, StreamObjectives},
    crate::backend_performance::EnginePerformance,
    std::time::Duration,
};

/// When an engine could complete a request, as far as is known. No prompt is assumed to start
/// there later.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShortestRun {
    /// Time until its prompt is expected to be prefilled: back-off, load of the adapter, queue.
    pub wait: Duration,
    /// Time from then to the last event.
    pub run: Duration,
    /// Time until the end at the earliest, by the part of the estimates that is relied on.
    pub earliest_end: Duration,
}

impl ShortestRun {
    /// Returns `None` if the output tokens are unknown, since the end then is too.
    pub fn new(
        engine: &EnginePerformance,
        pending_tokens: f64,
        unavailable_for: Duration,
        request: &StreamObjectives,
        settings: &PacingSettings,
    ) -> Option<Self> {
        if request.output_tokens == 0 {
            return None;
        }
        let prefill_ms = settings.prefill_ms(engine, f64::from(request.prompt_tokens));
        let decode_ms = f64::from(request.output_tokens) * settings.base_step_ms(engine);
        let queue_ms = pending_tokens / engine.prefill_tokens_per_ms;
        let duration = |ms: f64| Duration::try_from_secs_f64(ms / 1e3).ok();
        let ratio = settings.certain_ratio;
        let earliest_wait = duration(queue_ms * ratio)?.max(unavailable_for);
        Some(Self {
            wait: duration(queue_ms)?.max(unavailable_for),
            run: duration(prefill_ms + decode_ms)?,
            earliest_end: earliest_wait + duration(prefill_ms + decode_ms * ratio)?,
        })
    }

    /// Returns the time until the engine is expected to complete the request within `timeout` of
    /// a new attempt. A request that never fits at the present rate may return when the engine's
    /// work is done.
    pub fn fits_in(&self, timeout: Duration) -> Duration {
        match self.run <= timeout {
            true => (self.wait + self.run).saturating_sub(timeout),
            false => self.wait,
        }
    }
}
