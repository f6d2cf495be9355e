use {
    super::{
        entry::{EntryState, Message, SidecarState},
        outcome::Counts,
        random::SeededRandom,
        scenario::{addr, engine_at, millis, Scenario},
        streams::{Phase, Stream},
    },
    chalkcart_protocol::peer::StreamOriginsResponse,
    chalkcart_state::backends::Backend,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Probability that a message or a response is lost.
const LOSS: f64 = 0.05;
/// How often a message is sent again, and after what time.
const RESENDS: u32 = 2;
const RESEND_AFTER: Duration = Duration::from_millis(500);
const TICK: Duration = Duration::from_millis(200);
/// Time after the kill in which all clients make their tries.
const END_AFTER: Duration = Duration::from_secs(40);

/// A message on its way to a sidecar.
#[derive(Debug, Clone)]
pub(super) struct Call {
    pub(super) entry: usize,
    pub(super) life: u32,
    pub(super) message: Message,
    /// How often it is sent again if it is lost.
    pub(super) resends: u32,
    /// The stream that is searched, and the number of the try.
    pub(super) search: Option<(usize, u32)>,
}

#[derive(Debug)]
pub(super) enum Event {
    EntryStarts(usize),
    EntriesKilled,
    SidecarStarts(usize),
    SidecarsKilled,
    EngineEnds(usize),
    ListChanges,
    /// The list that the store had at a time reaches an entry.
    ListArrives {
        entry: usize,
        life: u32,
        at: Duration,
    },
    Connected {
        entry: usize,
        life: u32,
        engine: usize,
    },
    Tick {
        entry: usize,
        life: u32,
    },
    StreamBegins,
    StreamEnds(usize),
    Sent(Call),
    CallArrives(Call),
    ResponseArrives(Call, StreamOriginsResponse),
    TriesToTakeUp(usize),
    SearchEnds {
        stream: usize,
        number: u32,
    },
}

#[derive(Default)]
pub(super) struct Entry {
    /// Number of its processes so far.
    pub(super) life: u32,
    pub(super) state: Option<EntryState>,
    pub(super) list: Vec<Backend>,
    pub(super) list_at: Option<Duration>,
}

impl Entry {
    pub(super) fn is_ready(&self) -> bool {
        self.state.is_some() && self.list_at.is_some()
    }
}

/// A run of one seed.
pub struct Fleet {
    pub(super) scenario: Scenario,
    pub(super) random: SeededRandom,
    pub(super) start: Instant,
    pub(super) now: Duration,
    pub(super) events: BTreeMap<(Duration, u64), Event>,
    pub(super) event_count: u64,
    pub(super) entries: Vec<Entry>,
    pub(super) sidecars: Vec<Option<SidecarState>>,
    pub(super) streams: Vec<Stream>,
    pub(super) counts: Counts,
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Self {
        let entries = (0..scenario.entries).map(|_| Entry::default()).collect();
        let sidecars = scenario.engines.iter().map(|_| None).collect();
        Self {
            random: SeededRandom::new(!scenario.seed),
            start: Instant::now(),
            now: Duration::ZERO,
            events: BTreeMap::new(),
            event_count: 0,
            entries,
            sidecars,
            streams: Vec::new(),
            counts: Counts::default(),
            scenario,
        }
    }

    pub fn run(mut self) -> Counts {
        self.plan();
        let end = self.scenario.entries_killed + END_AFTER;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        let is_broken = |stream: &&Stream| stream.phase == Phase::Broken;
        assert_eq!(self.streams.iter().filter(is_broken).count(), 0);
        self.counts
    }

    pub(super) fn plan(&mut self) {
        for number in 0..self.entries.len() {
            self.at(Duration::ZERO, Event::EntryStarts(number));
        }
        for (number, engine) in self.scenario.engines.clone().into_iter().enumerate() {
            self.at(engine.listed, Event::SidecarStarts(number));
            if let Some(end) = engine.ends {
                self.at(end, Event::EngineEnds(number));
            }
        }
        for at in self.scenario.changes() {
            self.at(at, Event::ListChanges);
        }
        if let Some(at) = self.scenario.sidecars_killed {
            self.at(at, Event::SidecarsKilled);
        }
        self.at(self.scenario.entries_killed, Event::EntriesKilled);
        self.at(self.scenario.streams_from, Event::StreamBegins);
    }

    pub(super) fn at(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }
    pub(super) fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }
    pub(super) fn random_ms(&mut self, from: usize, to: usize) -> Duration {
        millis(self.random.between(from, to))
    }
    pub(super) fn instant(&self) -> Instant {
        self.start + self.now
    }

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::EntryStarts(entry) => self.start_entry(entry),
            Event::EntriesKilled => self.kill_entries(),
            Event::SidecarStarts(engine) => self.start_sidecar(engine),
            Event::SidecarsKilled => self.kill_sidecars(),
            Event::EngineEnds(engine) => self.end_engine(engine),
            Event::ListChanges => self.announce_list(),
            Event::ListArrives { entry, life, at } => self.receive_list(entry, life, at),
            Event::Connected {
                entry,
                life,
                engine,
            } => self.connect(entry, life, engine),
            Event::Tick { entry, life } => self.tick(entry, life),
            Event::StreamBegins => self.begin_stream(),
            Event::StreamEnds(stream) => self.end_stream(stream),
            Event::Sent(call) => self.send(call),
            Event::CallArrives(call) => self.receive_call(call),
            Event::ResponseArrives(call, response) => self.receive_response(call, response),
            Event::TriesToTakeUp(stream) => self.try_to_take_up(stream),
            Event::SearchEnds { stream, number } => self.end_search(stream, number),
        }
    }

    pub(super) fn start_entry(&mut self, entry: usize) {
        let is_first = self.now.is_zero();
        let (behind, now) = (self.scenario.behind, self.instant());
        let is_first_start = is_first && self.scenario.is_first_start;
        self.entries[entry].state = Some(EntryState::new(is_first_start, now));
        let life = self.entries[entry].life;
        let at = match is_first {
            true => self.now,
            false => self.now - behind,
        };
        self.after(millis(20), Event::ListArrives { entry, life, at });
        let lag = behind + self.random_ms(0, 1_000);
        let at = self.now;
        self.after(lag, Event::ListArrives { entry, life, at });
        self.after(TICK, Event::Tick { entry, life });
        for engine in 0..self.sidecars.len() {
            self.connect_later(entry, engine);
        }
    }

    pub(super) fn kill_entries(&mut self) {
        for number in 0..self.entries.len() {
            let life = self.entries[number].life + 1;
            self.entries[number] = Entry {
                life,
                ..Entry::default()
            };
            let down = self.scenario.entries_down + self.random_ms(0, 300);
            self.after(down, Event::EntryStarts(number));
        }
        for number in 0..self.streams.len() {
            if let Phase::Runs { .. } = self.streams[number].phase {
                self.break_off(number);
            }
        }
    }

    pub(super) fn start_sidecar(&mut self, engine: usize) {
        let ends = self.scenario.engines[engine].ends;
        if ends.is_some_and(|end| end <= self.now) {
            return;
        }
        self.sidecars[engine] = Some(SidecarState::new(self.instant()));
        for entry in 0..self.entries.len() {
            self.connect_later(entry, engine);
        }
    }

    pub(super) fn kill_sidecars(&mut self) {
        for engine in 0..self.sidecars.len() {
            if !self.scenario.is_sidecar_killed(engine) {
                continue;
            }
            if self.sidecars[engine].take().is_some() {
                let down = self.scenario.sidecars_down + self.random_ms(0, 300);
                self.after(down, Event::SidecarStarts(engine));
            }
        }
    }

    /// Ends an engine with its sidecar; entries continue its streams where they can.
    pub(super) fn end_engine(&mut self, engine: usize) {
        self.sidecars[engine] = None;
        for number in 0..self.streams.len() {
            let stream = &self.streams[number];
            let Phase::Runs { entry } = stream.phase else {
                continue;
            };
            if stream.engine != engine {
                continue;
            }
            let version = stream.version.clone();
            match self.choose_engine(entry, Some(&version)) {
                Some(next) => self.streams[number].engine = next,
                None => self.break_off(number),
            }
        }
    }

    pub(super) fn announce_list(&mut self) {
        let at = self.now;
        for entry in 0..self.entries.len() {
            let life = self.entries[entry].life;
            let lag = self.random_ms(0, 1_000);
            self.after(lag, Event::ListArrives { entry, life, at });
        }
    }

    pub(super) fn receive_list(&mut self, entry: usize, life: u32, at: Duration) {
        let (now, list) = (self.instant(), self.scenario.list(at));
        let receiver = &mut self.entries[entry];
        if receiver.life != life || receiver.list_at.is_some_and(|has| has >= at) {
            return;
        }
        let Some(state) = &mut receiver.state else {
            return;
        };
        let messages = state.on_list(&list, now);
        receiver.list = list;
        receiver.list_at = Some(at);
        self.send_all(entry, messages);
    }

    pub(super) fn connect_later(&mut self, entry: usize, engine: usize) {
        let life = self.entries[entry].life;
        let delay = self.random_ms(50, 500);
        let event = Event::Connected {
            entry,
            life,
            engine,
        };
        self.after(delay, event);
    }

    pub(super) fn connect(&mut self, entry: usize, life: u32, engine: usize) {
        let now = self.instant();
        if self.sidecars[engine].is_none() {
            return;
        }
        let Some(state) = self.state(entry, life) else {
            return;
        };
        let messages = state.on_sidecar_connected(addr(engine), now);
        self.send_all(entry, messages);
    }

    pub(super) fn tick(&mut self, entry: usize, life: u32) {
        let now = self.instant();
        let Some(state) = self.state(entry, life) else {
            return;
        };
        let messages = state.on_tick(now);
        self.send_all(entry, messages);
        self.after(TICK, Event::Tick { entry, life });
    }

    /// Returns what a process of an entry knows, if it runs.
    pub(super) fn state(&mut self, entry: usize, life: u32) -> Option<&mut EntryState> {
        let entry = &mut self.entries[entry];
        entry.state.as_mut().filter(|_| entry.life == life)
    }

    pub(super) fn send_all(&mut self, entry: usize, messages: Vec<Message>) {
        let life = self.entries[entry].life;
        for message in messages {
            self.send(Call {
                entry,
                life,
                message,
                resends: RESENDS,
                search: None,
            });
        }
    }

    pub(super) fn send(&mut self, call: Call) {
        if self.state(call.entry, call.life).is_none() {
            return;
        }
        let delay = self.random_ms(1, 50);
        match self.random.chance(LOSS) {
            true => self.resend(call),
            false => self.after(delay, Event::CallArrives(call)),
        }
    }

    pub(super) fn resend(&mut self, mut call: Call) {
        if call.resends > 0 {
            call.resends -= 1;
            self.after(RESEND_AFTER, Event::Sent(call));
        }
    }

    pub(super) fn receive_call(&mut self, call: Call) {
        let now = self.instant();
        let engine = engine_at(call.message.to);
        let Some(sidecar) = &mut self.sidecars[engine] else {
            return self.resend(call);
        };
        let response = sidecar.response(call.message.request.clone(), now);
        let delay = self.random_ms(1, 25);
        match self.random.chance(LOSS) {
            true => self.resend(call),
            false => self.after(delay, Event::ResponseArrives(call, response)),
        }
    }

    pub(super) fn receive_response(&mut self, call: Call, response: StreamOriginsResponse) {
        let (now, from) = (self.instant(), call.message.to);
        if let Some((stream, number)) = call.search {
            let stream = &mut self.streams[stream];
            let search = stream.search.as_mut();
            if let Some(search) = search.filter(|_| stream.tries == number) {
                search.responses.push((from, response));
            }
            return;
        }
        let Some(state) = self.state(call.entry, call.life) else {
            return;
        };
        let messages = state.on_response(&call.message, &response, now);
        self.send_all(call.entry, messages);
    }
}
