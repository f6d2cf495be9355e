use {
    super::RunProgress,
    std::time::{Duration, Instant},
};

/// Prompt tokens that an engine prefills in one event interval, until measured: 605 by the 19.2 tokens
/// a ms and 31.5 ms of docs/design/uneven-load.md, and a share of the parts that engines keep, which
/// reports count too. The ratio is a property of the model
/// and the kind of machine; an engine that is slow is equally slow in both.
const INITIAL_TOKENS_PER_EVENT: f64 = 680.0;
/// Largest factor between the initial ratio and a measured one; a larger one is a wrong
/// measurement.
const MAX_FACTOR: f64 = 4.0;
/// Half-life of the sums: long, since the ratio doesn't change with the engine's rate.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Time without prefill from which the ratio is measured.
const MIN_DECODE_MS: f64 = 1_000.0;
/// Prompt tokens from which the ratio is measured.
const MIN_PROMPT_TOKENS: f64 = 20_000.0;

/// Estimates how many prompt tokens an engine prefills in one event interval, from times with
/// and without prefill.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrefillRatio {
    updated_at: Option<Instant>,
    /// Time and events of a run without prefill.
    decode_ms: f64,
    decode_events: f64,
    /// The same with prefill, and their prompt tokens.
    mixed_ms: f64,
    mixed_events: f64,
    prompt_tokens: f64,
}

impl PrefillRatio {
    pub fn on_progress(&mut self, progress: &RunProgress, now: Instant) {
        self.decay(now);
        let ms = progress.elapsed.as_secs_f64() * 1_000.0;
        if progress.has_prefill {
            self.mixed_ms += ms;
            self.mixed_events += progress.events;
            self.prompt_tokens += progress.prompt_tokens as f64;
        } else {
            self.decode_ms += ms;
            self.decode_events += progress.events;
        }
    }

    /// Returns the measured ratio, or its initial value.
    pub fn tokens_per_event(&self) -> f64 {
        self.measured().unwrap_or(INITIAL_TOKENS_PER_EVENT)
    }

    /// Returns the ratio once the sums suffice for it.
    pub fn measured(&self) -> Option<f64> {
        if self.decode_ms < MIN_DECODE_MS || self.prompt_tokens < MIN_PROMPT_TOKENS {
            return None;
        }
        let intervals = self.mixed_ms * self.decode_events / self.decode_ms;
        let prefill_intervals = intervals - self.mixed_events;
        let measured = self.prompt_tokens / prefill_intervals;
        let range = INITIAL_TOKENS_PER_EVENT / MAX_FACTOR..=INITIAL_TOKENS_PER_EVENT * MAX_FACTOR;
        range.contains(&measured).then_some(measured)
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = self.updated_at.replace(now);
        let elapsed = elapsed.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = 0.5f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for sum in [
            &mut self.decode_ms,
            &mut self.decode_events,
            &mut self.mixed_ms,
            &mut self.mixed_events,
            &mut self.prompt_tokens,
        ] {
            *sum *= factor;
        }
    }
}
