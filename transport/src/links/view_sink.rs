use {
    chalkcart_protocol::peer::{EngineStats, EngineView},
    chalkcart_state::backends::BackendId,
    std::net::SocketAddr,
};

/// Receives the reports of engines' sidecars, by the engine's address.
pub trait ViewSink: Send + Sync {
    fn on_view(&self, engine: SocketAddr, view: EngineView);
    /// Called in place of `on_view` if nothing but the stats has changed.
    fn on_stats(&self, engine: SocketAddr, backend: &BackendId, stats: EngineStats);
    /// Called when the sidecar is unresponsive; `backend` is the one that it last reported.
    fn on_unresponsive(&self, engine: SocketAddr, backend: &BackendId);
    /// Called for each demand that the sidecar did not accept, and for the first one that it
    /// accepts after that.
    fn on_demand_result(&self, engine: SocketAddr, is_accepted: bool);
}
