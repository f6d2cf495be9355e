use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// bounds of what a client may send and how long it may take
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IngressLimits {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    /// time to receive a request's head
    pub header_timeout: Duration,
    /// time that a kept connection may rest
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
