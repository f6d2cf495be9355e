use {
    super::LONGEST_SPAN,
    std::time::{Duration, Instant},
};

/// Returns the moment `span` after another one. A message of another build may hold a time of any
/// length; one beyond [`LONGEST_SPAN`] ends after that.
pub fn later(at: Instant, span: Duration) -> Instant {
    at + span.min(LONGEST_SPAN)
}
