use {
    super::OriginHolders,
    chalkcart_protocol::peer::StreamOrigin,
    chalkcart_state::ids::RequestId,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time for which a sidecar that did not answer is left for the next in rank.
const REST_TIME: Duration = Duration::from_secs(2);

/// Most streams whose sidecars are kept track of; some 600 bytes each.
const MAX_STREAMS: usize = 16 * 1024;

/// The streams of an entry that clients may take up, and the engines whose sidecars keep their
/// origins.
#[derive(Debug, Default)]
pub struct ToldStreams {
    streams: HashMap<RequestId, ToldStream>,
    /// Engines whose sidecars did not answer, and until when they are left out.
    resting: HashMap<SocketAddr, Instant>,
}

#[derive(Debug)]
struct ToldStream {
    origin: StreamOrigin,
    /// Engines whose sidecars have confirmed, each once, and when.
    told: BTreeMap<SocketAddr, Instant>,
    /// Number of engines that had joined when it was last checked that those are asked.
    joined: u64,
    /// When nobody takes the stream up any more; `None` while it runs.
    until: Option<Instant>,
}

impl ToldStreams {
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Keeps track of a stream; returns false if there are too many.
    pub fn on_began(&mut self, origin: StreamOrigin) -> bool {
        if self.streams.len() >= MAX_STREAMS {
            return false;
        }
        let stream = ToldStream {
            origin,
            told: BTreeMap::new(),
            joined: 0,
            until: None,
        };
        let request = stream.origin.request.clone();
        self.streams.entry(request).or_insert(stream);
        true
    }

    /// Forgets a stream that its client has received whole.
    pub fn on_whole(&mut self, request: &str) {
        self.streams.remove(request);
    }

    /// Keeps a stream that broke off until nobody takes it up any more.
    pub fn on_broken(&mut self, request: &str, until: Instant) {
        if let Some(stream) = self.streams.get_mut(request) {
            stream.until = Some(until);
        }
    }

    /// Returns the origins that each sidecar is to be told, by its engine.
    pub fn due(
        &mut self,
        holders: &OriginHolders,
        now: Instant,
    ) -> BTreeMap<SocketAddr, Vec<StreamOrigin>> {
        self.streams
            .retain(|_, stream| stream.until.is_none_or(|until| now < until));
        self.resting.retain(|_, until| now < *until);
        let mut due: BTreeMap<SocketAddr, Vec<StreamOrigin>> = BTreeMap::new();
        for stream in self.streams.values_mut() {
            stream.forget_unasked(holders);
            for engine in stream.missing(holders, &self.resting) {
                due.entry(engine).or_default().push(stream.origin.clone());
            }
        }
        due
    }

    /// Returns the engines whose sidecars are to be told of one stream.
    pub fn due_of(&self, request: &str, holders: &OriginHolders) -> Vec<SocketAddr> {
        let stream = self.streams.get(request);
        stream.map_or(Vec::new(), |s| s.missing(holders, &self.resting))
    }

    /// Takes the answer of a sidecar to origins that were sent at `sent_at`; it has kept origins for
    /// `kept_for`, if it says so, and lacks those that it was told before.
    pub fn on_told(
        &mut self,
        engine: SocketAddr,
        origins: &[StreamOrigin],
        sent_at: Instant,
        kept_for: Option<Duration>,
        now: Instant,
    ) {
        self.resting.remove(&engine);
        let started = kept_for.and_then(|time| now.checked_sub(time));
        if let Some(started) = started {
            self.forget_told(engine, |at| at < started);
        }
        for origin in origins {
            if let Some(stream) = self.streams.get_mut(&origin.request) {
                stream.told.insert(engine, sent_at);
            }
        }
    }

    /// Leaves a sidecar that did not answer for a while.
    pub fn on_failed(&mut self, engine: SocketAddr, now: Instant) {
        self.resting.insert(engine, now + REST_TIME);
    }

    /// Counts a sidecar that was lost as one that keeps nothing.
    pub fn on_lost(&mut self, engine: SocketAddr) {
        self.forget_told(engine, |_| true);
    }

    fn forget_told(&mut self, engine: SocketAddr, is_lost: impl Fn(Instant) -> bool) {
        for stream in self.streams.values_mut() {
            stream
                .told
                .retain(|told, at| *told != engine || !is_lost(*at));
        }
    }
}

impl ToldStream {
    /// Forgets engines that are not among those that are asked any more, as others have joined.
    fn forget_unasked(&mut self, holders: &OriginHolders) {
        if holders.may_be_unasked_since(self.joined) {
            let asked = holders.asked(&self.origin.request);
            self.told.retain(|engine, _| asked.contains(engine));
            self.joined = holders.joined();
        }
    }

    /// Returns the engines whose sidecars are to be told, so that enough of those that stay know.
    fn missing(
        &self,
        holders: &OriginHolders,
        resting: &HashMap<SocketAddr, Instant>,
    ) -> Vec<SocketAddr> {
        let knows = |engine: &SocketAddr| self.told.contains_key(engine);
        let lacking = holders.lacking(self.told.keys());
        if lacking == 0 {
            return Vec::new();
        }
        let ranked = holders.candidates(&self.origin.request).into_iter();
        let usable = ranked.filter(|engine| !knows(engine) && !resting.contains_key(engine));
        usable.take(lacking).collect()
    }
}
