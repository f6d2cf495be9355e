use {
    super::{EngineError, EngineEvent},
    async_trait::async_trait,
    chalkcart_coordination::{fence::EngineStatus, sidecar::OrderFence, slots::AdapterKey},
    chalkcart_protocol::peer::GenerateWork,
    chalkcart_state::ids::{RequestId, Sequence},
    futures::Stream,
    std::pin::Pin,
};

/// events as the engine sends them: perhaps late, repeated, out of order
pub type EngineEvents = Pin<Box<dyn Stream<Item = Result<EngineEvent, EngineError>> + Send>>;

/// a request for an engine
#[derive(Debug, Clone)]
pub struct EngineRun {
    pub request: RequestId,
    pub work: GenerateWork,
    /// 0 is the most urgent
    pub priority: u8,
}

/// a model engine
#[async_trait]
pub trait Engine: Send + Sync {
    async fn status(&self) -> Result<EngineStatus, EngineError>;
    async fn take_fence(&self, order: OrderFence) -> Result<(), EngineError>;
    /// returns when the adapter is loaded
    async fn load(&self, order: OrderFence, adapter: &AdapterKey) -> Result<(), EngineError>;
    async fn unload(&self, order: OrderFence, adapter: &AdapterKey) -> Result<(), EngineError>;
    async fn generate(
        &self,
        order: OrderFence,
        run: &EngineRun,
    ) -> Result<EngineEvents, EngineError>;
    /// the rest of a stream that broke
    async fn resume(
        &self,
        request: &RequestId,
        from: Sequence,
    ) -> Result<EngineEvents, EngineError>;
    /// returns when the request runs no more
    async fn cancel(&self, request: &RequestId) -> Result<(), EngineError>;
}
