use std::time::Duration;

/// The longest time that another system can name. A number beyond it is no time.
pub const LONGEST_SPAN: Duration = Duration::from_secs(24 * 60 * 60);

/// Returns a time in seconds; `None` if the number is negative, no number, or out of range.
pub fn bounded_secs(seconds: f64) -> Option<Duration> {
    let span = Duration::try_from_secs_f64(seconds).ok()?;
    (span <= LONGEST_SPAN).then_some(span)
}

/// Returns a time in milliseconds; `None` if the number is negative, no number, or out of range.
pub fn bounded_ms(ms: f64) -> Option<Duration> {
    bounded_secs(ms / 1_000.0)
}
