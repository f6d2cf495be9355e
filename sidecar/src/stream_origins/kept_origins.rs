use {
    chalkcart_coordination::software_versions::StreamOrigins,
    chalkcart_protocol::peer::{StreamOriginsRequest, StreamOriginsResponse},
    chalkcart_transport::clock,
    std::{
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Longest time for which an origin is kept, whatever an entry requests.
const MAX_KEEP: Duration = Duration::from_secs(600);

/// The origins that entries had this sidecar keep.
#[derive(Debug)]
pub struct KeptOrigins {
    origins: Mutex<StreamOrigins>,
    started: Instant,
}

impl Default for KeptOrigins {
    fn default() -> Self {
        Self {
            origins: Mutex::default(),
            started: clock::now(),
        }
    }
}

impl KeptOrigins {
    pub fn response(&self, request: StreamOriginsRequest) -> StreamOriginsResponse {
        let now = clock::now();
        // No holder panics in the middle of an update.
        let mut origins = self.origins.lock().unwrap_or_else(PoisonError::into_inner);
        let keep = Duration::from_millis(request.keep_ms).min(MAX_KEEP);
        for origin in request.kept {
            origins.insert(origin, keep, now);
        }
        let asked = request.asked.iter();
        let known = asked.filter_map(|request| origins.get(request, now));
        StreamOriginsResponse {
            known: known.cloned().collect(),
            kept_for_ms: Some(clock::elapsed(self.started).as_millis() as u64),
            versions: Vec::new(),
        }
    }
}
