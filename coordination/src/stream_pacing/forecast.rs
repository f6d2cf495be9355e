use {
    super::{EngineLoad, PacingSettings, StreamObjectives},
    std::time::{Duration, Instant},
};

/// Loss of a stream that is complete but late, as a fraction of its value; a late stream is
/// worth a tenth to a half.
const LATE_LOSS: f64 = 0.7;
/// Largest fraction of an engine's time that prefill is assumed to take in the long run. It
/// bounds the predicted end at an engine that is overloaded for a moment.
const MAX_PREFILL_SHARE: f64 = 0.9;

/// What is expected if a request is sent to an engine now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Time until the first event, in ms.
    pub first_event_ms: f64,
    /// Longest pause of the request, in ms, if prompts go on to start as in the last gap.
    pub pause_ms: f64,
    /// Longest pause of the streams that run there, in ms; 0 if none runs.
    pub running_pause_ms: f64,
    /// Time until the last event, in ms; `None` if the output tokens are unknown.
    pub end_ms: Option<f64>,
    /// Prompt tokens that may start on the engine within one gap; `None` if it needs no
    /// protection.
    pub tokens_per_gap: Option<f64>,
    /// Prompt tokens that count against this limit: those that started within the last gap, or
    /// a longer queue.
    pub used_tokens: f64,
    /// Time until the prompt fits into the limit; `None` if it exceeds the limit alone.
    pub turn_in: Option<Duration>,
    /// Time until the first event at an engine with an empty queue, in ms.
    unqueued_ms: f64,
    running: u32,
}

impl Forecast {
    pub fn new(
        load: &EngineLoad,
        request: &StreamObjectives,
        settings: &PacingSettings,
        now: Instant,
    ) -> Self {
        let engine = &load.performance;
        let prompt = f64::from(request.prompt_tokens);
        let after_prefill_ms = engine.event_interval_ms + ms(settings.delivery_time);
        let first_event_ms =
            settings.prefill_ms(engine, load.pending_tokens + prompt) + after_prefill_ms;
        let started = load.window.started_within(request.gap, now);
        let used_tokens = started.max(load.pending_tokens);
        let running_pause_ms = match load.running {
            0 => 0.0,
            _ => settings.pause_ms(engine, used_tokens + prompt),
        };
        let prefill_share = used_tokens / (ms(request.gap) * engine.prefill_tokens_per_ms).max(1.0);
        let decode_ms = decode_ms(load, request.output_tokens, settings);
        let end_ms = decode_ms.map(|decode_ms| {
            first_event_ms + decode_ms / (1.0 - prefill_share.min(MAX_PREFILL_SHARE))
        });
        let tokens_per_gap = settings.tokens_per_gap(engine, request.gap);
        Self {
            first_event_ms,
            pause_ms: settings.pause_ms(engine, used_tokens),
            running_pause_ms,
            end_ms,
            tokens_per_gap,
            used_tokens,
            turn_in: match tokens_per_gap {
                // no stream is there that the prompt could delay
                _ if load.running == 0 => Some(Duration::ZERO),
                Some(limit) => turn_in(load, prompt, limit, request.gap, now),
                None => Some(Duration::ZERO),
            },
            unqueued_ms: settings.prefill_ms(engine, prompt) + after_prefill_ms,
            running: load.running,
        }
    }

    /// Returns whether the request meets its objective, its gap objective and its deadline
    /// there, and the streams that run there meet their gap objective.
    pub fn holds(&self, request: &StreamObjectives) -> bool {
        self.turn_in == Some(Duration::ZERO) && self.holds_after(Duration::ZERO, request)
    }

    /// Returns whether the first event and the end are in time if the request is sent after
    /// this time. The queue is prefilled meanwhile.
    pub fn holds_after(&self, wait: Duration, request: &StreamObjectives) -> bool {
        let first_event_ms = self.first_event_ms.max(ms(wait) + self.unqueued_ms);
        let delay_ms = first_event_ms - self.first_event_ms;
        let end_ms = self.end_ms.unwrap_or(self.first_event_ms) + delay_ms;
        first_event_ms <= ms(request.first_event_in) && end_ms <= ms(request.deadline_in)
    }

    /// Returns the wait for the request's turn, if it has to wait and its objective and
    /// deadline still hold after it.
    pub fn worthwhile_wait(&self, request: &StreamObjectives) -> Option<Duration> {
        self.turn_in
            .filter(|wait| !wait.is_zero() && self.holds_after(*wait, request))
    }

    /// Returns the loss if the request is sent there now, in streams: its own and that of the
    /// streams that run there.
    pub fn loss(&self, request: &StreamObjectives) -> f64 {
        self.own_loss(request) + self.running_loss(request)
    }

    /// Returns the loss of the request itself: 1 if it would not be complete in time.
    pub fn own_loss(&self, request: &StreamObjectives) -> f64 {
        let is_late =
            self.first_event_ms > ms(request.first_event_in) || self.pause_ms > ms(request.gap);
        match self.end_ms {
            Some(end_ms) if end_ms > ms(request.deadline_in) => 1.0,
            _ if is_late => LATE_LOSS,
            _ => 0.0,
        }
    }

    /// Returns the loss of the streams that run there.
    pub fn running_loss(&self, request: &StreamObjectives) -> f64 {
        match self.running_pause_ms > ms(request.gap) {
            true => f64::from(self.running) * LATE_LOSS,
            false => 0.0,
        }
    }
}

/// Returns the time until a prompt fits into the limit for one gap: the prompts that started
/// within the last gap no longer count, and a longer queue is prefilled.
fn turn_in(
    load: &EngineLoad,
    prompt: f64,
    limit: f64,
    gap: Duration,
    now: Instant,
) -> Option<Duration> {
    let max_used = limit - prompt;
    if max_used < 0.0 {
        return None;
    }
    let of_window = load.window.time_until_at_most(max_used, gap, now);
    let excess = (load.pending_tokens - max_used).max(0.0);
    let of_queue = Duration::from_secs_f64(excess / load.performance.prefill_tokens_per_ms / 1e3);
    Some(of_window.max(of_queue))
}

/// Returns the time from the first event to the last one without prefill, in ms; `None` if the
/// output tokens are unknown.
fn decode_ms(load: &EngineLoad, output_tokens: u32, settings: &PacingSettings) -> Option<f64> {
    let after_first = f64::from(output_tokens) - settings.tokens_per_event;
    let step_ms = settings.base_step_ms(&load.performance);
    (output_tokens > 0).then(|| after_first.max(0.0) * step_ms)
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
