//! The only file that uses the product's types for origins of streams: what an entry and a sidecar
//! decide, and the messages between them, which the simulation delays and loses.

use {
    chalkcart_coordination::software_versions::{
        stream_memory, ListedEngines, OriginHolders, OriginKeeper, OriginSearch, SoftwareVersions,
        StreamOrigins, TakeUp, ToldStreams,
    },
    chalkcart_protocol::peer::{
        StreamOrigin, StreamOriginsRequest, StreamOriginsResponse, VersionReport,
    },
    chalkcart_state::backends::Backend,
    std::{
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
    told: ToldStreams,
}

impl EntryState {
    pub fn new(is_first_start: bool, _now: Instant) -> Self {
        Self {
            versions: SoftwareVersions::new(is_first_start),
            holders: OriginHolders::default(),
            own: StreamOrigins::default(),
            told: ToldStreams::default(),
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
        self.versions.on_list(list, memory(), now);
        Vec::new()
    }

    /// The connection to a sidecar that has started, or from an entry that has, is there.
    pub fn on_sidecar_connected(&mut self, sidecar: SocketAddr, _now: Instant) -> Vec<Message> {
        self.told.on_lost(sidecar);
        Vec::new()
    }

    /// Is called several times in a second.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Message> {
        // the simulated lists have no outages
        self.versions.on_current(now);
        let due = self.told.due(&self.holders, now).into_iter();
        let told: Vec<Message> = due.map(|(to, kept)| self.tell(to, kept, now)).collect();
        let short = self.versions.not_covered(memory(), now);
        if short.is_empty() {
            return told;
        }
        let question = StreamOriginsRequest {
            versions: self.reports(short.iter().map(String::as_str), now),
            ..StreamOriginsRequest::default()
        };
        let asked = self.holders.asked("").into_iter().map(|to| Message {
            to,
            request: question.clone(),
        });
        told.into_iter().chain(asked).collect()
    }

    /// Receives the response to any message but one of a take-up.
    pub fn on_response(
        &mut self,
        message: &Message,
        response: &StreamOriginsResponse,
        now: Instant,
    ) -> Vec<Message> {
        let kept_for = response.kept_for_ms.map(Duration::from_millis);
        self.told
            .on_told(message.to, &message.request.kept, now, kept_for, now);
        self.on_reports(response, now);
        Vec::new()
    }

    pub fn on_stream_began(&mut self, origin: StreamOrigin, now: Instant) -> Vec<Message> {
        self.own.insert(origin.clone(), memory(), now);
        self.told.on_began(origin.clone());
        let engines = self.told.due_of(&origin.request, &self.holders).into_iter();
        let messages = engines.map(|to| self.tell(to, vec![origin.clone()], now));
        messages.collect()
    }

    pub fn on_stream_ended(&mut self, request: &str) {
        self.told.on_whole(request);
    }

    pub fn search(&self, request: &str, service: &str, now: Instant) -> Search {
        if let Some(origin) = self.own.get(request, now) {
            return Search::Known(origin.clone());
        }
        let question = StreamOriginsRequest {
            asked: vec![request.to_string()],
            versions: self.reports([service].into_iter(), now),
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
        let mix = self.versions.mix(&origin.service, memory(), now);
        TakeUp::decide(&OriginSearch::Found(origin.clone()), &mix)
    }

    /// Decides where a stream may go on, by the responses of the sidecars that were asked.
    pub fn take_up(
        &mut self,
        request: &str,
        service: &str,
        asked: usize,
        responses: &[(SocketAddr, StreamOriginsResponse)],
        now: Instant,
    ) -> TakeUp {
        for (_, response) in responses {
            self.on_reports(response, now);
        }
        let known = responses.iter().flat_map(|(_, response)| &response.known);
        let found = known.into_iter().find(|origin| origin.request == request);
        let search = match found {
            Some(origin) => OriginSearch::Found(origin.clone()),
            None => OriginSearch::without_origin(asked, responses.len()),
        };
        TakeUp::decide(&search, &self.versions.mix(service, memory(), now))
    }

    pub fn is_told(&self, request: &str, now: Instant) -> bool {
        self.own.get(request, now).is_some()
    }

    fn on_reports(&mut self, response: &StreamOriginsResponse, now: Instant) {
        for report in &response.versions {
            self.versions.on_report(report, now);
        }
    }

    fn reports<'s>(
        &self,
        services: impl Iterator<Item = &'s str>,
        now: Instant,
    ) -> Vec<VersionReport> {
        let reports = services.filter_map(|s| self.versions.report(&s.to_string(), now));
        reports.collect()
    }

    fn tell(&self, to: SocketAddr, kept: Vec<StreamOrigin>, now: Instant) -> Message {
        let services = kept.iter().map(|origin| origin.service.as_str());
        let request = StreamOriginsRequest {
            versions: self.reports(services.take(1), now),
            kept,
            keep_ms: memory().as_millis() as u64,
            asked: Vec::new(),
        };
        Message { to, request }
    }
}

/// What a sidecar that runs keeps.
pub struct SidecarState(OriginKeeper);

impl SidecarState {
    pub fn new(now: Instant) -> Self {
        Self(OriginKeeper::new(now))
    }

    pub fn response(
        &mut self,
        request: StreamOriginsRequest,
        now: Instant,
    ) -> StreamOriginsResponse {
        self.0.response(request, now)
    }

    pub fn is_told(&self, request: &str, now: Instant) -> bool {
        self.0.keeps(request, now)
    }
}

fn memory() -> Duration {
    stream_memory(LONGEST_ATTEMPT)
}
