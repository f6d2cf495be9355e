use {
    crate::client::ClientError, async_trait::async_trait, bytes::Bytes,
    chalkcart_state::ids::RequestId, std::time::Duration, thiserror::Error,
};

/// why a call gave no answer
#[derive(Debug, Error)]
pub enum ServiceError {
    #[error(transparent)]
    Client(#[from] ClientError),
    #[error("service answered {0}")]
    Status(u16),
}

/// a plain service
#[async_trait]
pub trait PlainService: Send + Sync {
    /// one call; it is never sent twice
    async fn call(
        &self,
        request: &RequestId,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, ServiceError>;
}
