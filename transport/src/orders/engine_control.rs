use {
    crate::client::ClientError,
    async_trait::async_trait,
    chalkcart_coordination::{
        backend_signals::BackendSignals,
        placement::{EngineOrder, EngineReport, OrderAnswer},
    },
    chalkcart_state::backends::BackendName,
};

/// The result of a call to an engine, with the signals in the response.
#[derive(Debug, Clone)]
pub struct Reported<T> {
    pub value: T,
    /// `None` without a response.
    pub signals: Option<BackendSignals>,
}

/// The control interface of an engine, for its sidecar.
#[async_trait]
pub trait EngineControl: Send + Sync {
    async fn report(&self) -> Reported<Result<EngineReport, ClientError>>;
    /// Returns the engine's incarnation, or `None` if the response has none.
    async fn identity(&self, health_path: &str) -> Reported<Option<BackendName>>;
    async fn order(&self, order: &EngineOrder) -> Reported<OrderAnswer>;
}
