use {
    super::{
        batch,
        engine_state::{EngineState, SharedEngine},
        routes::new_router,
        EngineFaults, EngineSettings,
    },
    crate::{
        serving::{lock, serve_router, Serving},
        store::WeightStore,
    },
    anyhow::Result,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
    tokio::task::JoinHandle,
};

/// Stand-in for an engine with continuous batching, listening on loopback.
#[derive(Debug)]
pub struct EngineStandIn {
    pub state: SharedEngine,
    serving: Serving,
    batching: JoinHandle<()>,
}

impl EngineStandIn {
    pub async fn start(settings: EngineSettings, store: Arc<WeightStore>) -> Result<Self> {
        let state = Arc::new(Mutex::new(EngineState::new(settings)));
        let serving = serve_router(new_router(state.clone(), store)).await?;
        let batching = tokio::spawn(batch::run(state.clone()));
        Ok(Self {
            state,
            serving,
            batching,
        })
    }
    pub fn addr(&self) -> SocketAddr {
        self.serving.addr
    }
    pub fn restart(&self) {
        lock(&self.state).restart();
    }
    pub fn set_faults(&self, faults: EngineFaults) {
        lock(&self.state).faults = faults;
    }
    /// Returns how often a request with this prompt was started.
    pub fn runs(&self, prompt: &str) -> u32 {
        lock(&self.state).runs.get(prompt).copied().unwrap_or(0)
    }
    pub fn unloaded_in_use(&self) -> u32 {
        lock(&self.state).unloaded_in_use
    }
    pub fn loaded(&self) -> usize {
        lock(&self.state).loaded.len()
    }
    pub fn running(&self) -> usize {
        lock(&self.state).queue.len()
    }
    /// Returns the mean fraction of the maximum batch size in use, over all steps.
    pub fn batch_fill(&self) -> f64 {
        let state = lock(&self.state);
        let capacity = state.steps * u64::from(state.settings.max_batch);
        state.step_requests as f64 / capacity.max(1) as f64
    }
    /// Returns the number of steps and the sum of their batch sizes.
    pub fn steps(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.steps, state.step_requests)
    }
}

impl Drop for EngineStandIn {
    fn drop(&mut self) {
        self.batching.abort();
    }
}
