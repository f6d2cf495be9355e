use super::{EndCause, Framing, StreamPosition};

/// Position in logs and metrics of a body that is no stream of events.
const NO_EVENTS: &str = "no_events";

/// What was seen of a response that has ended, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseEnd {
    pub framing: Framing,
    pub cause: EndCause,
    /// Where its events ended; `None` if its body is no stream of events.
    pub position: Option<StreamPosition>,
    pub body_bytes: u64,
}

impl ResponseEnd {
    /// Returns the name of the position in logs and metrics.
    pub fn position_code(&self) -> &'static str {
        self.position.map_or(NO_EVENTS, StreamPosition::code)
    }
}
