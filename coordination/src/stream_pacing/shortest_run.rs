use {
    super::{PacingSettings, StreamObjectives},
    crate::backend_performance::EnginePerformance,
    std::time::Duration,
};

/// The shortest time in which an engine could complete a request, as far as is known. No prompt
/// is assumed to start there later.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShortestRun {
    /// Time until its prompt would be prefilled: back-off, load of the adapter, queue.
    pub wait: Duration,
    /// Time from then to the last event.
    pub run: Duration,
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
        let prompt = f64::from(request.prompt_tokens);
        let output = f64::from(request.output_tokens) * settings.min_output_ratio;
        let run_ms = settings.prefill_ms(engine, prompt) + output * settings.base_step_ms(engine);
        let queue_ms = pending_tokens / engine.prefill_tokens_per_ms;
        let queue = Duration::try_from_secs_f64(queue_ms / 1e3).ok()?;
        Some(Self {
            wait: queue.max(unavailable_for),
            run: Duration::try_from_secs_f64(run_ms / 1e3).ok()?,
        })
    }

    /// Returns the time until the end if the request is sent now.
    pub fn end(&self) -> Duration {
        self.wait + self.run
    }

    /// Returns the time until the engine could complete the request within `timeout` of a new
    /// attempt. A request that never fits at the present rate may return when the engine's work
    /// is done.
    pub fn fits_in(&self, timeout: Duration) -> Duration {
        match self.run <= timeout {
            true => self.end().saturating_sub(timeout),
            false => self.wait,
        }
    }
}
