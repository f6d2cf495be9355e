use {
    chalkcart_protocol::peer::{EngineStats, EngineView},
    chalkcart_state::backends::BackendId,
    std::net::SocketAddr,
};

/// takes in what the sidecars of engines say, by the engine's address
pub trait ViewSink: Send + Sync {
    fn on_view(&self, engine: SocketAddr, view: EngineView);
    /// nothing but these figures has changed
    fn on_stats(&self, engine: SocketAddr, backend: &BackendId, figures: EngineStats);
    /// the sidecar is silent; `backend` is what it spoke of
    fn on_unresponsive(&self, engine: SocketAddr, backend: &BackendId);
    /// whether the sidecar has taken the newest demand: each time that it has not, and when
    /// it has again
    fn on_demand_result(&self, engine: SocketAddr, is_accepted: bool);
}
