use {
    super::{EngineError, EngineEvent},
    async_trait::async_trait,
    chalkcart_coordination::{fence::EngineStatus, sidecar::OrderFence, slots::AdapterKey},
    chalkcart_protocol::peer::GenerateWork,
    chalkcart_state::ids::{RequestId, Sequence},
    futures::Stream,
    std::pin::Pin,
};

/// Events as the engine sends them: they may be late, repeated or out of order.
pub type EngineEvents = Pin<Box<dyn Stream<Item = Result<EngineEvent, EngineError>> + Send>>;

/// A request to run on an engine.
#[derive(Debug, Clone)]
pub struct EngineRun {
    pub request: RequestId,
    pub work: GenerateWork,
    /// 0 is the most urgent.
    pub priority: u8,
}

/// A client of a model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    async fn status(&self) -> Result<EngineStatus, EngineError>;
    async fn take_fence(&self, order: OrderFence) -> Result<(), EngineError>;
    /// Returns when the adapter is loaded.
    async fn load(&self, order: OrderFence, adapter: &AdapterKey) -> Result<(), EngineError>;
    async fn unload(&self, order: OrderFence, adapter: &AdapterKey) -> Result<(), EngineError>;
    async fn generate(
        &self,
        order: OrderFence,
        run: &EngineRun,
    ) -> Result<EngineEvents, EngineError>;
    /// Continues an interrupted stream from a sequence number.
    async fn resume(
        &self,
        request: &RequestId,
        from: Sequence,
    ) -> Result<EngineEvents, EngineError>;
    /// Returns when the request has stopped running.
    async fn cancel(&self, request: &RequestId) -> Result<(), EngineError>;
}
