//! Streams that begin and break off, and the tries of their clients.

use {
    super::{
        entry::{Message, Search},
        fleet::{Call, Event, Fleet},
        outcome::{Result, TakenUp},
        scenario::{engine_at, millis, SERVICE},
        streams::{FirstTry, Phase, RunningSearch, Stream},
    },
    chalkcart_coordination::software_versions::TakeUp,
    chalkcart_state::backends::Backend,
    std::time::Duration,
};

/// Time in which sidecars are asked.
const SEARCH_TIME: Duration = Duration::from_millis(150);
const MAX_TRIES: u32 = 10;
/// Time after its begin in which a stream is taken up: its attempt, and as long again.
const TAKEN_UP_WITHIN: Duration = Duration::from_secs(24);
/// Part of the clients that come back only after some seconds.
const LATE: f64 = 0.2;
/// Age from which on the origin of a stream has to be known to more than its entry.
const TOLD_BY: Duration = Duration::from_secs(1);

impl Fleet {
    pub(super) fn begin_stream(&mut self) {
        let interval = self.random_ms(40, 200);
        if self.now + interval < self.scenario.entries_killed {
            self.after(interval, Event::StreamBegins);
        }
        let Some(entry) = self.choose_entry() else {
            return;
        };
        let Some(engine) = self.choose_engine(entry, None) else {
            return;
        };
        let number = self.streams.len();
        let version = self.scenario.engines[engine].version;
        let stream = Stream::new(number, entry, engine, version, self.now);
        let (origin, now) = (stream.origin(), self.instant());
        self.streams.push(stream);
        let lasts = self.random_ms(1_000, 12_000);
        self.after(lasts, Event::StreamEnds(number));
        if let Some(state) = &mut self.entries[entry].state {
            let messages = state.on_stream_began(origin, now);
            self.send_all(entry, messages);
        }
    }

    pub(super) fn end_stream(&mut self, stream: usize) {
        let Phase::Runs { entry } = self.streams[stream].phase else {
            return;
        };
        self.streams[stream].phase = Phase::Ended;
        self.forget(entry, stream);
    }

    pub(super) fn break_off(&mut self, stream: usize) {
        if let Phase::Runs { entry } = self.streams[stream].phase {
            self.forget(entry, stream);
        }
        self.streams[stream].phase = Phase::Broken;
        self.streams[stream].broke = self.now;
        let delay = match self.random.chance(LATE) {
            true => self.random_ms(4_000, 12_000),
            false => self.random_ms(50, 500),
        };
        self.after(delay, Event::TriesToTakeUp(stream));
    }

    pub(super) fn forget(&mut self, entry: usize, stream: usize) {
        let request = self.streams[stream].request();
        if let Some(state) = &mut self.entries[entry].state {
            state.on_stream_ended(&request);
        }
    }

    pub(super) fn choose_entry(&mut self) -> Option<usize> {
        let ready: Vec<usize> = (0..self.entries.len())
            .filter(|entry| self.entries[*entry].is_ready())
            .collect();
        (!ready.is_empty()).then(|| ready[self.random.below(ready.len())])
    }

    /// Chooses an engine that is ready by an entry's list and runs, of a version if one is given.
    pub(super) fn choose_engine(&mut self, entry: usize, version: Option<&str>) -> Option<usize> {
        let list = &self.entries[entry].list;
        let fits = |backend: &&Backend| {
            let listed = backend.software_version.as_deref();
            !backend.leaving && version.is_none_or(|version| listed == Some(version))
        };
        let runs = |engine: &usize| {
            let ends = self.scenario.engines[*engine].ends;
            ends.is_none_or(|end| self.now < end)
        };
        let fitting = list.iter().filter(fits).map(|b| engine_at(b.addr));
        let fitting: Vec<usize> = fitting.filter(runs).collect();
        (!fitting.is_empty()).then(|| fitting[self.random.below(fitting.len())])
    }

    pub(super) fn try_to_take_up(&mut self, number: usize) {
        let Some(entry) = self.choose_entry() else {
            return self.after(millis(200), Event::TriesToTakeUp(number));
        };
        let first = FirstTry {
            is_served: self.is_served(number),
            is_told: self.is_told(number),
        };
        let (now, stream) = (self.instant(), &mut self.streams[number]);
        stream.first_try.get_or_insert(first);
        stream.tries += 1;
        let (tries, request) = (stream.tries, stream.request());
        let Some(state) = &self.entries[entry].state else {
            return;
        };
        match state.search(&request, SERVICE, now) {
            Search::Known(origin) => {
                let take_up = state.take_up_known(&origin, now);
                self.apply(number, entry, take_up);
            }
            Search::Asked(messages) => self.ask(number, tries, entry, messages),
        }
    }

    pub(super) fn ask(&mut self, stream: usize, number: u32, entry: usize, messages: Vec<Message>) {
        let life = self.entries[entry].life;
        self.streams[stream].search = Some(RunningSearch {
            entry,
            life,
            asked: messages.len(),
            responses: Vec::new(),
        });
        for message in messages {
            self.send(Call {
                entry,
                life,
                message,
                resends: 0,
                search: Some((stream, number)),
            });
        }
        self.after(SEARCH_TIME, Event::SearchEnds { stream, number });
    }

    pub(super) fn end_search(&mut self, stream: usize, number: u32) {
        let request = self.streams[stream].request();
        let search = self.streams[stream].search.take();
        let Some(search) = search.filter(|_| self.streams[stream].tries == number) else {
            return;
        };
        let now = self.instant();
        let take_up = self
            .state(search.entry, search.life)
            .map(|state| state.take_up(&request, SERVICE, search.asked, &search.responses, now));
        match take_up {
            Some(take_up) => self.apply(stream, search.entry, take_up),
            // the entry was killed
            None => self.after(millis(200), Event::TriesToTakeUp(stream)),
        }
    }

    pub(super) fn apply(&mut self, stream: usize, entry: usize, take_up: TakeUp) {
        let is_bound = matches!(take_up, TakeUp::At(_));
        let engine = match take_up {
            TakeUp::Anywhere => self.choose_engine(entry, None),
            TakeUp::At(version) => self.choose_engine(entry, Some(&version)),
            TakeUp::Unknown => None,
        };
        let Some(engine) = engine else {
            return self.refuse(stream);
        };
        let goes_on_at = self.scenario.engines[engine].version;
        let is_same = goes_on_at == self.streams[stream].version;
        let result = match (is_same, is_bound) {
            (true, _) => Result::WentOn,
            (false, false) => Result::Joined,
            (false, true) => Result::JoinedByGuess,
        };
        self.count(stream, result);
    }

    pub(super) fn refuse(&mut self, stream: usize) {
        let delay = self.random_ms(400, 1_200);
        let tried = &self.streams[stream];
        let is_late = self.now + delay > tried.began + TAKEN_UP_WITHIN;
        if is_late || tried.tries >= MAX_TRIES {
            return self.count(stream, Result::Refused);
        }
        self.after(delay, Event::TriesToTakeUp(stream));
    }

    pub(super) fn count(&mut self, number: usize, result: Result) {
        let is_served = self.is_served(number);
        let stream = &self.streams[number];
        let (began, broke) = (stream.began, stream.broke);
        let has_seen_engines_end = self.scenario.has_end_between(began, broke);
        let stream = &mut self.streams[number];
        stream.phase = Phase::Ended;
        let first = stream.first_try;
        let taken_up = TakenUp {
            result,
            is_served: is_served && first.is_some_and(|first| first.is_served),
            is_told: first.is_some_and(|first| first.is_told),
            is_old: broke - began >= TOLD_BY,
            has_seen_engines_end,
        };
        self.counts.add(taken_up, self.scenario.is_all_killed());
    }

    /// Returns whether two ready engines of a stream's version are listed.
    pub(super) fn is_served(&self, stream: usize) -> bool {
        let version = Some(&self.streams[stream].version);
        let list = self.scenario.list(self.now);
        let ready = list.iter().filter(|b| !b.leaving);
        ready
            .filter(|b| b.software_version.as_ref() == version)
            .count()
            >= 2
    }

    /// Returns whether a process that runs has been told the origin of a stream.
    pub(super) fn is_told(&self, stream: usize) -> bool {
        let (request, now) = (self.streams[stream].request(), self.instant());
        let mut entries = self.entries.iter().filter_map(|e| e.state.as_ref());
        let mut sidecars = self.sidecars.iter().flatten();
        entries.any(|entry| entry.is_told(&request, now))
            || sidecars.any(|sidecar| sidecar.is_told(&request, now))
    }
}
