use {chalkcart_protocol::MAX_MESSAGE_BYTES, std::time::Duration};

/// Bytes that a response may have: the largest message and its framing.
const DEFAULT_BYTES: usize = 2 * MAX_MESSAGE_BYTES;

/// Limits of one call.
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
    /// Maximum size of the response, with its head and framing.
    pub bytes: usize,
}

impl ResponseLimits {
    /// Limits the whole response to a time and a size.
    pub fn new(total: Duration, bytes: usize) -> Self {
        Self {
            bytes,
            ..Self::from(total)
        }
    }
}

impl From<Duration> for ResponseLimits {
    /// Limits the whole response to this time.
    fn from(total: Duration) -> Self {
        Self {
            head: total,
            pause: total,
            total,
            bytes: DEFAULT_BYTES,
        }
    }
}
