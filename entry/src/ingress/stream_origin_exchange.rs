//! Has sidecars keep the software versions that began streams, and asks them for those of streams
//! that began at other entries.

use {
    super::control::ControlHandle,
    chalkcart_coordination::software_versions::{OriginHolders, OriginSearch, StreamOrigins},
    chalkcart_protocol::peer::{path, StreamOrigin, StreamOriginsRequest, StreamOriginsResponse},
    chalkcart_state::ids::RequestId,
    chalkcart_transport::{
        client::{ClientError, PeerClient},
        clock,
    },
    futures::{stream::FuturesUnordered, StreamExt},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::Semaphore, time::sleep},
};

/// Time limit of one call. A client that takes a stream up waits for it at most once.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
const TELL_TIMEOUT: Duration = Duration::from_millis(300);
/// Calls by which one sidecar is told, and the time between two of them.
const MAX_TELL_CALLS: u32 = 3;
const TELL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of sidecars that are being told at a time; further ones are left out.
const MAX_TOLD_AT_ONCE: usize = 1_024;

/// Who knew the origin of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginSource {
    Entry,
    Sidecar,
}

impl OriginSource {
    /// Returns the name in logs.
    pub fn code(self) -> &'static str {
        match self {
            OriginSource::Entry => "entry",
            OriginSource::Sidecar => "sidecar",
        }
    }
}

/// What a search for an origin found, and how.
#[derive(Debug)]
pub struct OriginAnswer {
    pub search: OriginSearch,
    /// Who knew the origin.
    pub source: Option<OriginSource>,
    /// Number of sidecars that were asked.
    pub asked: usize,
    /// Number of those that answered.
    pub answered: usize,
    /// How long each of them has kept origins; shorter than the stream's age means that it can't know.
    pub kept_for: Vec<Duration>,
}

impl OriginAnswer {
    /// The result where nobody was asked.
    pub fn unasked(search: OriginSearch, source: Option<OriginSource>) -> Self {
        Self {
            search,
            source,
            asked: 0,
            answered: 0,
            kept_for: Vec::new(),
        }
    }
}

/// Exchanges the origins of streams with sidecars.
pub struct StreamOriginExchange {
    /// Origins of streams that this entry forwarded.
    own: Mutex<StreamOrigins>,
    /// Those of streams that run.
    running: Mutex<HashMap<RequestId, StreamOrigin>>,
    holders: Mutex<OriginHolders>,
    peers: PeerClient,
    control: ControlHandle,
    sidecar_port: u16,
    told_at_once: Arc<Semaphore>,
}

impl StreamOriginExchange {
    pub fn new(control: ControlHandle, sidecar_port: u16) -> Self {
        Self {
            own: Mutex::default(),
            running: Mutex::default(),
            holders: Mutex::default(),
            peers: PeerClient::new(),
            control,
            sidecar_port,
            told_at_once: Arc::new(Semaphore::new(MAX_TOLD_AT_ONCE)),
        }
    }

    /// Keeps the origin of a stream that has begun.
    pub fn on_stream_began(&self, origin: StreamOrigin, keep: Duration) {
        self.own().insert(origin.clone(), keep, clock::now());
        self.lock_running().insert(origin.request.clone(), origin);
    }

    pub fn on_stream_ended(&self, request: &RequestId) {
        self.lock_running().remove(request);
    }

    /// Returns the origins of a service's streams that run.
    pub fn running(&self, service: &str) -> Vec<StreamOrigin> {
        let running = self.lock_running();
        let of_service = running.values().filter(|o| o.service == service);
        of_service.cloned().collect()
    }

    /// Has sidecars keep an origin. `on_told` gets the outcome at each of them.
    pub fn tell(
        &self,
        origin: StreamOrigin,
        keep: Duration,
        on_told: impl Fn(&'static str) + Clone + Send + 'static,
    ) {
        let holders = self.holders().told(&origin.request);
        let request = StreamOriginsRequest {
            kept: vec![origin],
            keep_ms: keep.as_millis() as u64,
            ..StreamOriginsRequest::default()
        };
        for engine in holders {
            let holder = self.sidecar_of(engine);
            let Ok(permit) = self.told_at_once.clone().try_acquire_owned() else {
                on_told("left_out");
                continue;
            };
            let (peers, request, on_told) = (self.peers.clone(), request.clone(), on_told.clone());
            tokio::spawn(async move {
                let outcome = tell_holder(&peers, holder, &request).await;
                on_told(outcome);
                drop(permit);
            });
        }
    }

    /// Searches the origin of the stream that an attempt began.
    pub async fn find(&self, request: &str) -> OriginAnswer {
        if let Some(origin) = self.own().get(request, clock::now()) {
            let found = OriginSearch::Found(origin.clone());
            return OriginAnswer::unasked(found, Some(OriginSource::Entry));
        }
        let question = StreamOriginsRequest {
            asked: vec![request.to_string()],
            ..StreamOriginsRequest::default()
        };
        let holders = self.holders().asked(request);
        let (asked, mut answered) = (holders.len(), 0);
        let mut kept_for = Vec::new();
        let mut found = None;
        let calls = holders
            .into_iter()
            .map(|engine| call(&self.peers, self.sidecar_of(engine), &question, ASK_TIMEOUT));
        let mut calls: FuturesUnordered<_> = calls.collect();
        while let Some(response) = calls.next().await {
            let Ok(response) = response else {
                continue;
            };
            answered += 1;
            kept_for.extend(response.kept_for_ms.map(Duration::from_millis));
            let mut known = response.known.into_iter();
            let Some(origin) = known.find(|origin| origin.request == request) else {
                continue;
            };
            let has_version = origin.version.is_some();
            found = Some(origin);
            if has_version {
                break;
            }
        }
        let source = found.as_ref().map(|_| OriginSource::Sidecar);
        OriginAnswer {
            search: match found {
                Some(origin) => OriginSearch::Found(origin),
                None => OriginSearch::without_origin(asked, answered),
            },
            source,
            asked,
            answered,
            kept_for,
        }
    }

    fn holders(&self) -> MutexGuard<'_, OriginHolders> {
        // No holder panics in the middle of an update.
        let mut holders = self.holders.lock().unwrap_or_else(PoisonError::into_inner);
        holders.set_engines(self.control.listed_engines());
        holders
    }

    fn sidecar_of(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.sidecar_port)
    }

    fn lock_running(&self) -> MutexGuard<'_, HashMap<RequestId, StreamOrigin>> {
        // No holder panics in the middle of an update.
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn own(&self) -> MutexGuard<'_, StreamOrigins> {
        // No holder panics in the middle of an update.
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Has a sidecar keep origins; returns the outcome.
async fn tell_holder(
    peers: &PeerClient,
    holder: SocketAddr,
    request: &StreamOriginsRequest,
) -> &'static str {
    for number in 0..MAX_TELL_CALLS {
        if number > 0 {
            sleep(TELL_INTERVAL).await;
        }
        match call(peers, holder, request, TELL_TIMEOUT).await {
            Ok(_) => return "told",
            Err(e) if e.is_unsupported_by_peer() => return "unsupported",
            Err(_) => {}
        }
    }
    "failed"
}

async fn call(
    peers: &PeerClient,
    holder: SocketAddr,
    request: &StreamOriginsRequest,
    timeout: Duration,
) -> Result<StreamOriginsResponse, ClientError> {
    peers
        .call(holder, path::STREAM_ORIGINS, request, timeout)
        .await
}
