//! The only file that uses the product's types for origins of streams: what an entry and a sidecar
//! decide, and the messages between them, which the simulation delays and loses.

use {
    chalkcart_coordination::software_versions::{
        stream_memory, ListedEngines, OriginHolders, OriginSearch, SoftwareVersions, StreamOrigins,
        TakeUp, VersionMix,
    },
    chalkcart_protocol::peer::{StreamOrigin, StreamOriginsRequest, StreamOriginsResponse},
    chalkcart_state::backends::Backend,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Longest time that one attempt of a stream may take.
const LONGEST_ATTEMPT: Duration = Duration::from_secs(12);

/// A call of an entry to the sidecar of an engine.
#[derive(Debug, Clone)]
pub struct Message {
    pub to: SocketAddr,
    pub request: StreamOriginsRequest,
}

/// How the search for the origin of a stream begins.
pub enum Search {
    /// The entry forwarded the stream itself.
    Known(StreamOrigin),
    /// Sidecars are asked.
    Asked(Vec<Message>),
}

/// What an entry that runs knows of versions and origins.
pub struct EntryState {
    versions: SoftwareVersions,
    holders: OriginHolders,
    own: StreamOrigins,
    running: BTreeMap<String, StreamOrigin>,
    is_first_start: bool,
}

impl EntryState {
    pub fn new(is_first_start: bool, _now: Instant) -> Self {
        Self {
            versions: SoftwareVersions::default(),
            holders: OriginHolders::default(),
            own: StreamOrigins::default(),
            running: BTreeMap::new(),
            is_first_start,
        }
    }

    pub fn on_list(&mut self, list: &[Backend], now: Instant) -> Vec<Message> {
        let addrs = |leaving| {
            let engines = list.iter().filter(move |engine| engine.leaving == leaving);
            engines.map(|engine| engine.addr).collect()
        };
        self.holders.set_engines(Arc::new(ListedEngines {
            staying: addrs(false),
            leaving: addrs(true),
        }));
        let mixed = self.versions.on_list(list, memory(), now);
        let running = self.running.values();
        let told = running.filter(|origin| mixed.contains(&origin.service));
        told.flat_map(|origin| self.tell(origin)).collect()
    }

    /// The connection to a sidecar that has started, or from an entry that has, is there.
    pub fn on_sidecar_connected(&mut self, _sidecar: SocketAddr, _now: Instant) -> Vec<Message> {
        Vec::new()
    }

    /// Is called several times in a second.
    pub fn on_tick(&mut self, _now: Instant) -> Vec<Message> {
        Vec::new()
    }

    /// Receives the response to any message but one of a take-up.
    pub fn on_response(
        &mut self,
        _from: SocketAddr,
        _response: &StreamOriginsResponse,
        _now: Instant,
    ) -> Vec<Message> {
        Vec::new()
    }

    pub fn on_stream_began(&mut self, origin: StreamOrigin, now: Instant) -> Vec<Message> {
        self.own.insert(origin.clone(), memory(), now);
        let request = origin.request.clone();
        self.running.insert(request, origin.clone());
        match self.may_mix(&origin.service, now) {
            true => self.tell(&origin),
            false => Vec::new(),
        }
    }

    pub fn on_stream_ended(&mut self, request: &str) {
        self.running.remove(request);
    }

    pub fn search(&self, request: &str, now: Instant) -> Search {
        if let Some(origin) = self.own.get(request, now) {
            return Search::Known(origin.clone());
        }
        let question = StreamOriginsRequest {
            asked: vec![request.to_string()],
            ..StreamOriginsRequest::default()
        };
        let messages = self.holders.asked(request).into_iter().map(|to| Message {
            to,
            request: question.clone(),
        });
        Search::Asked(messages.collect())
    }

    /// Decides where a stream may go on whose origin this entry has.
    pub fn take_up_known(&self, origin: &StreamOrigin, now: Instant) -> TakeUp {
        let mix = self.mix(&origin.service, now);
        TakeUp::decide(&OriginSearch::Found(origin.clone()), &mix)
    }

    /// Decides where a stream may go on, by the responses of the sidecars that were asked.
    pub fn take_up(
        &self,
        request: &str,
        service: &str,
        asked: usize,
        responses: &[(SocketAddr, StreamOriginsResponse)],
        now: Instant,
    ) -> TakeUp {
        let known = responses.iter().flat_map(|(_, response)| &response.known);
        let found = known.into_iter().find(|origin| origin.request == request);
        let search = match found {
            Some(origin) => OriginSearch::Found(origin.clone()),
            None => OriginSearch::without_origin(asked, responses.len()),
        };
        TakeUp::decide(&search, &self.mix(service, now))
    }

    pub fn is_told(&self, request: &str, now: Instant) -> bool {
        self.own.get(request, now).is_some()
    }

    fn mix(&self, service: &str, now: Instant) -> VersionMix {
        self.versions.mix(service, memory(), now)
    }

    fn may_mix(&self, service: &str, now: Instant) -> bool {
        let is_sure = self.versions.is_surely_one(service, memory(), now);
        self.mix(service, now) != VersionMix::One || !(is_sure || self.is_first_start)
    }

    fn tell(&self, origin: &StreamOrigin) -> Vec<Message> {
        let request = StreamOriginsRequest {
            kept: vec![origin.clone()],
            keep_ms: memory().as_millis() as u64,
            asked: Vec::new(),
        };
        let holders = self.holders.told(&origin.request).into_iter();
        let messages = holders.map(|to| Message {
            to,
            request: request.clone(),
        });
        messages.collect()
    }
}

/// What a sidecar that runs keeps.
pub struct SidecarState {
    origins: StreamOrigins,
}

impl SidecarState {
    pub fn new(_now: Instant) -> Self {
        Self {
            origins: StreamOrigins::default(),
        }
    }

    pub fn response(
        &mut self,
        request: StreamOriginsRequest,
        now: Instant,
    ) -> StreamOriginsResponse {
        let keep = Duration::from_millis(request.keep_ms);
        for origin in request.kept {
            self.origins.insert(origin, keep, now);
        }
        let asked = request.asked.iter();
        let known = asked.filter_map(|request| self.origins.get(request, now));
        StreamOriginsResponse {
            known: known.cloned().collect(),
        }
    }

    pub fn is_told(&self, request: &str, now: Instant) -> bool {
        self.origins.get(request, now).is_some()
    }
}

fn memory() -> Duration {
    stream_memory(LONGEST_ATTEMPT)
}
