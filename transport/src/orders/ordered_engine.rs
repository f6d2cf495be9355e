use {
    crate::client::ClientError,
    async_trait::async_trait,
    chalkcart_coordination::placement::{EngineOrder, EngineReport, OrderAnswer},
};

/// an engine that a sidecar gives orders to
#[async_trait]
pub trait OrderedEngine: Send + Sync {
    async fn read(&self) -> Result<EngineReport, ClientError>;
    async fn order(&self, order: &EngineOrder) -> OrderAnswer;
}
