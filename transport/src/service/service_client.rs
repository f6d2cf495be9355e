use {
    crate::client::ClientError, async_trait::async_trait, bytes::Bytes,
    chalkcart_state::ids::RequestId, std::time::Duration, thiserror::Error,
};

/// A failed call to a service.
#[derive(Debug, Error)]
pub enum ServiceError {
    #[error(transparent)]
    Client(#[from] ClientError),
    #[error("service answered {0}")]
    Status(u16),
}

/// A service that is not a model engine.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Makes one call, which is never sent twice.
    async fn call(
        &self,
        request: &RequestId,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, ServiceError>;
}
