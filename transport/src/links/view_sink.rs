use {
    chalkcart_protocol::peer::{EngineStats, EngineView},
    chalkcart_state::backends::BackendId,
    std::net::SocketAddr,
};

/// Receives the reports of engines' sidecars, by the engine's address.
pub trait ViewSink: Send + Sync {
    fn on_view(&self, engine: SocketAddr, view: EngineView);
    /// Only these stats have changed.
    fn on_stats(&self, engine: SocketAddr, backend: &BackendId, stats: EngineStats);
    /// The sidecar is unresponsive; `backend` is the one that it last reported.
    fn on_unresponsive(&self, engine: SocketAddr, backend: &BackendId);
    /// Reports each demand that the sidecar did not accept, and the first one that it accepts
    /// after that.
    fn on_demand_result(&self, engine: SocketAddr, is_accepted: bool);
}
