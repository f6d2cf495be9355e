//! Has sidecars keep the software versions that began streams, and asks them for those of streams
//! that began at other entries.

use {
    super::control::ControlHandle,
    chalkcart_coordination::software_versions::{
        OriginHolders, OriginSearch, StreamOrigins, ToldStreams,
    },
    chalkcart_protocol::peer::{
        path, StreamOrigin, StreamOriginsRequest, StreamOriginsResponse, VersionReport,
    },
    chalkcart_state::ids::RequestId,
    chalkcart_transport::{
        client::{ClientError, PeerClient},
        clock,
    },
    futures::{future::join_all, stream::FuturesUnordered, StreamExt},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Time limit of one call. A client that takes a stream up waits for it at most once.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
const TELL_TIMEOUT: Duration = Duration::from_millis(300);

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
    /// What they know of versions.
    pub versions: Vec<VersionReport>,
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
            versions: Vec::new(),
        }
    }
}

/// Exchanges the origins of streams with sidecars.
pub struct StreamOriginExchange {
    /// Origins of streams that this entry forwarded.
    own: Mutex<StreamOrigins>,
    told: Mutex<ToldStreams>,
    holders: Mutex<OriginHolders>,
    peers: PeerClient,
    control: ControlHandle,
    sidecar_port: u16,
}

impl StreamOriginExchange {
    pub fn new(control: ControlHandle, sidecar_port: u16) -> Self {
        Self {
            own: Mutex::default(),
            told: Mutex::default(),
            holders: Mutex::default(),
            peers: PeerClient::new(),
            control,
            sidecar_port,
        }
    }

    /// Keeps the origin of a stream that has begun.
    pub fn on_stream_began(&self, origin: StreamOrigin, keep: Duration) {
        self.own().insert(origin.clone(), keep, clock::now());
        self.told().on_began(origin);
    }

    /// Forgets a stream that its client has received whole, and keeps any other for as long as it may
    /// be taken up.
    pub fn on_stream_ended(&self, request: &RequestId, is_whole: bool, keep: Duration) {
        match is_whole {
            true => self.told().on_whole(request),
            false => self.told().on_broken(request, clock::now() + keep),
        }
    }

    /// Returns the engines whose sidecars are to be told of a stream that has begun.
    pub fn due_of(&self, request: &str) -> Vec<SocketAddr> {
        let holders = self.holders();
        self.told().due_of(request, &holders)
    }

    /// Returns the origins that sidecars are to be told, by their engines.
    pub fn due(&self) -> BTreeMap<SocketAddr, Vec<StreamOrigin>> {
        let holders = self.holders();
        let mut told = self.told();
        for engine in self.control.take_lost_sidecars() {
            told.on_lost(engine);
        }
        told.due(&holders, clock::now())
    }

    /// Has the sidecar of an engine keep origins. Returns the outcome, and what it knows of versions.
    pub async fn tell(
        &self,
        engine: SocketAddr,
        request: StreamOriginsRequest,
    ) -> (&'static str, Vec<VersionReport>) {
        let sent_at = clock::now();
        let holder = self.sidecar_of(engine);
        match call(&self.peers, holder, &request, TELL_TIMEOUT).await {
            Ok(response) => {
                let kept_for = response.kept_for_ms.map(Duration::from_millis);
                let now = clock::now();
                self.told()
                    .on_told(engine, &request.kept, sent_at, kept_for, now);
                ("told", response.versions)
            }
            Err(e) => {
                self.told().on_failed(engine, clock::now());
                match e.is_unsupported_by_peer() {
                    true => ("unsupported", Vec::new()),
                    false => ("failed", Vec::new()),
                }
            }
        }
    }

    /// Asks sidecars what they know of versions.
    pub async fn ask_versions(&self) -> Vec<VersionReport> {
        let question = StreamOriginsRequest::default();
        let engines = self.holders().asked("");
        let calls = engines.into_iter().map(|engine| {
            let holder = self.sidecar_of(engine);
            call(&self.peers, holder, &question, ASK_TIMEOUT)
        });
        let answers = join_all(calls).await.into_iter().flatten();
        answers.flat_map(|answer| answer.versions).collect()
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
        let (mut kept_for, mut versions) = (Vec::new(), Vec::new());
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
            versions.extend(response.versions);
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
            versions,
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

    fn told(&self) -> MutexGuard<'_, ToldStreams> {
        // No holder panics in the middle of an update.
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn own(&self) -> MutexGuard<'_, StreamOrigins> {
        // No holder panics in the middle of an update.
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }
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
