use {
    crate::client::ClientError,
    async_trait::async_trait,
    chalkcart_coordination::placement::{EngineOrder, EngineReport, OrderAnswer},
    chalkcart_state::backends::BackendName,
};

/// an engine that a sidecar gives orders to
#[async_trait]
pub trait OrderedEngine: Send + Sync {
    async fn read(&self) -> Result<EngineReport, ClientError>;
    /// which incarnation it is; none if it does not say
    async fn identity(&self, health_path: &str) -> Option<BackendName>;
    async fn order(&self, order: &EngineOrder) -> OrderAnswer;
}
