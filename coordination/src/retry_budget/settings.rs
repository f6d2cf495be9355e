use std::time::Duration;

/// Retry budget of a service over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window.
    pub extra: f64,
    pub window: Duration,
}
