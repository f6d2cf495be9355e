use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Limits on the size and duration of client requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IngressLimits {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    /// Time limit for receiving a request's head.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for IngressLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
