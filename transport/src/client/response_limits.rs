use std::time::Duration;

/// Time limits of one call.
///
/// A large response takes as long as the link needs. Repeating the call would put the same bytes
/// on the link again, so a response whose parts keep arriving is not abandoned before `total`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseLimits {
    /// Maximum time until the head of the response.
    pub head: Duration,
    /// Maximum time between two parts of the body.
    pub pause: Duration,
    /// Maximum time until the end of the response.
    pub total: Duration,
}

impl From<Duration> for ResponseLimits {
    /// Limits the whole response to this time.
    fn from(total: Duration) -> Self {
        Self {
            head: total,
            pause: total,
            total,
        }
    }
}
