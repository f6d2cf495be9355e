use {crate::backend_performance::EnginePerformance, std::time::Duration};

/// How the engines of a deployment run steps. The platform publishes none of these values.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PacingSettings {
    /// Prompt tokens that an engine prefills in one step at most.
    pub chunk_tokens: f64,
    /// Tokens in one event of a stream. A step generates one token of each stream, so this is
    /// also the number of steps between two events.
    pub tokens_per_event: f64,
    /// Fraction of the gap objective that planned pauses use. The rest covers entries that
    /// choose at the same moment and figures that are out of date.
    pub gap_ratio: f64,
    /// Time from the engine to the client and back: the two links and the entry.
    pub delivery_time: Duration,
    /// Fraction of the expected output tokens and of the queue that a rejection relies on.
    /// Clients' estimates are right at the median and often far off, and more urgent prompts
    /// overtake the queue.
    pub certain_ratio: f64,
}

impl Default for PacingSettings {
    fn default() -> Self {
        Self {
            chunk_tokens: 2_048.0,
            tokens_per_event: 3.0,
            gap_ratio: 0.9,
            delivery_time: Duration::from_millis(10),
            certain_ratio: 0.5,
        }
    }
}

impl PacingSettings {
    /// Returns the time of a step without prefill, in ms.
    pub fn base_step_ms(&self, engine: &EnginePerformance) -> f64 {
        engine.event_interval_ms / self.tokens_per_event
    }

    /// Returns the prompt tokens that the steps between two events prefill at most.
    pub fn max_tokens_per_pause(&self) -> f64 {
        self.chunk_tokens * self.tokens_per_event
    }

    /// Returns the pause between two events during which an engine prefills these prompt
    /// tokens, in ms.
    pub fn pause_ms(&self, engine: &EnginePerformance, prompt_tokens: f64) -> f64 {
        let prefilled = prompt_tokens.min(self.max_tokens_per_pause());
        engine.event_interval_ms + prefilled / engine.prefill_tokens_per_ms
    }

    /// Returns the time to prefill these prompt tokens while other streams run, in ms: the
    /// chunks and the base time of each step.
    pub fn prefill_ms(&self, engine: &EnginePerformance, prompt_tokens: f64) -> f64 {
        let steps = (prompt_tokens / self.chunk_tokens).ceil();
        prompt_tokens / engine.prefill_tokens_per_ms + steps * self.base_step_ms(engine)
    }

    /// Returns the prompt tokens that may start on an engine within one gap objective, or
    /// `None` for an engine that needs no protection, since even the longest pause holds there.
    pub fn tokens_per_gap(&self, engine: &EnginePerformance, gap: Duration) -> Option<f64> {
        let gap_ms = gap.as_secs_f64() * 1e3;
        if self.pause_ms(engine, f64::INFINITY) <= gap_ms {
            return None;
        }
        let prefill_ms = gap_ms * self.gap_ratio - engine.event_interval_ms;
        Some((prefill_ms * engine.prefill_tokens_per_ms).max(0.0))
    }
}
