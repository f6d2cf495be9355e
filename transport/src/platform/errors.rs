use {crate::client::ClientError, thiserror::Error};

/// A failed read from the platform.
#[derive(Debug, Error)]
pub enum PlatformError {
    #[error(transparent)]
    Client(#[from] ClientError),
    #[error("platform has no document {0}")]
    Missing(String),
    #[error("platform answered {status} for {key}")]
    Status { key: String, status: u16 },
}
