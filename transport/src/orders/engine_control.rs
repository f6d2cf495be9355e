use {
    crate::client::ClientError,
    async_trait::async_trait,
    chalkcart_coordination::{
        backend_signals::BackendSignals,
        placement::{EngineOrder, EngineReport, OrderAnswer},
    },
    chalkcart_state::backends::BackendName,
};

/// what came of a call to an engine, and what the engine said of itself besides
#[derive(Debug, Clone)]
pub struct Reported<T> {
    pub value: T,
    /// none if no answer came
    pub signals: Option<BackendSignals>,
}

/// an engine that a sidecar gives orders to
#[async_trait]
pub trait EngineControl: Send + Sync {
    async fn report(&self) -> Reported<Result<EngineReport, ClientError>>;
    /// which incarnation it is; none if it does not say
    async fn identity(&self, health_path: &str) -> Reported<Option<BackendName>>;
    async fn order(&self, order: &EngineOrder) -> Reported<OrderAnswer>;
}
