use {
    super::{EngineLoad, Forecast, StreamObjectives},
    std::{
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

/// What was decided for a request with a gap objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PacingOutcome {
    /// All objectives hold at the chosen engine.
    Holds,
    /// No engine meets all objectives, also after a wait; the chosen one loses the least.
    LeastLoss,
    /// The prompt waits until it fits into the engine's limit for one gap.
    Waits,
    /// No engine can complete it by its deadline.
    MissesDeadline,
}

impl PacingOutcome {
    /// Returns the code in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Holds => "holds",
            Self::LeastLoss => "least_loss",
            Self::Waits => "turn",
            Self::MissesDeadline => "misses_deadline",
        }
    }
}

/// Inputs of a decision on a request with a gap objective, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PacingInputs {
    pub outcome: PacingOutcome,
    pub tokens_per_ms: f64,
    pub event_interval_ms: f64,
    /// Whether the engine's own sidecar measured these figures; otherwise they are the median
    /// of the service.
    pub is_measured: bool,
    pub tokens_per_gap: Option<f64>,
    pub used_tokens: f64,
    pub pending_tokens: f64,
    pub running: u32,
    /// Age of the report that the figures of the engine are from; `None` without one.
    pub view_age: Option<Duration>,
    pub first_event_ms: f64,
    /// Longest pause of the request and of the streams that run there.
    pub pause_ms: f64,
    pub end_ms: Option<f64>,
    /// Loss of the request and of the streams that run there, in streams.
    pub own_loss: f64,
    pub running_loss: f64,
    /// Time until its turn.
    pub turn_in: Option<Duration>,
    /// How long it has waited for its turn.
    pub turn_waited: Duration,
}

impl PacingInputs {
    pub fn new(
        outcome: PacingOutcome,
        load: &EngineLoad,
        forecast: &Forecast,
        request: &StreamObjectives,
    ) -> Self {
        Self {
            outcome,
            tokens_per_ms: load.performance.prefill_tokens_per_ms,
            event_interval_ms: load.performance.event_interval_ms,
            is_measured: load.is_measured,
            tokens_per_gap: forecast.tokens_per_gap,
            used_tokens: forecast.used_tokens,
            pending_tokens: load.pending_tokens,
            running: load.running,
            view_age: load.view_age,
            first_event_ms: forecast.first_event_ms,
            pause_ms: forecast.pause_ms.max(forecast.running_pause_ms),
            end_ms: forecast.end_ms,
            own_loss: forecast.own_loss(request),
            running_loss: forecast.running_loss(request),
            turn_in: forecast.turn_in,
            turn_waited: Duration::ZERO,
        }
    }
}

/// Writes the fields of a log line; -1 stands for an unknown value.
impl Display for PacingInputs {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let ms = |time: Option<Duration>| time.map_or(-1, |t| t.as_millis() as i64);
        write!(f, "{}", self.outcome.code())?;
        write!(f, " tokens_per_ms={:.1}", self.tokens_per_ms)?;
        write!(f, " event_ms={:.1}", self.event_interval_ms)?;
        write!(f, " measured={}", u8::from(self.is_measured))?;
        write!(f, " limit={:.0}", self.tokens_per_gap.unwrap_or(-1.0))?;
        write!(f, " used={:.0}", self.used_tokens)?;
        write!(f, " pending={:.0}", self.pending_tokens)?;
        write!(f, " running={}", self.running)?;
        write!(f, " first_ms={:.0}", self.first_event_ms)?;
        write!(f, " pause_ms={:.0}", self.pause_ms)?;
        write!(f, " end_ms={:.0}", self.end_ms.unwrap_or(-1.0))?;
        write!(f, " loss={:.1}", self.own_loss + self.running_loss)?;
        write!(f, " turn_in_ms={}", ms(self.turn_in))?;
        write!(f, " turn_waited_ms={}", self.turn_waited.as_millis())?;
        write!(f, " view_age_ms={}", ms(self.view_age))
    }
}
