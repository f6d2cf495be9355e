use {
    chalkcart_coordination::software_versions::OriginKeeper,
    chalkcart_protocol::peer::{StreamOriginsRequest, StreamOriginsResponse},
    chalkcart_transport::clock,
    std::sync::{Mutex, PoisonError},
};

/// The origins that entries had this sidecar keep, and what they know of versions.
#[derive(Debug)]
pub struct KeptOrigins(Mutex<OriginKeeper>);

impl Default for KeptOrigins {
    fn default() -> Self {
        Self(Mutex::new(OriginKeeper::new(clock::now())))
    }
}

impl KeptOrigins {
    pub fn response(&self, request: StreamOriginsRequest) -> StreamOriginsResponse {
        // No holder panics in the middle of an update.
        let mut keeper = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        keeper.response(request, clock::now())
    }
}
