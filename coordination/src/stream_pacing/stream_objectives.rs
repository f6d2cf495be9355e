use std::time::Duration;

/// What a request needs, as durations from now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamObjectives {
    pub prompt_tokens: u32,
    /// Expected tokens of the response; 0 if unknown.
    pub output_tokens: u32,
    /// Time left until the first event is late.
    pub first_event_in: Duration,
    /// Longest pause between two events that is in time.
    pub gap: Duration,
    /// Time left until the client or the route gives up.
    pub deadline_in: Duration,
}
