//! Exchange of crash reports between entries and aggregators, in simulated time.

use {
    chalkcart_coordination::crashes::{CrashRegistry, RequestVerdict},
    chalkcart_protocol::peer::CrashReport,
    chalkcart_state::ingress::RequestDigest,
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        time::{Duration, Instant},
    },
};

const ENTRIES: usize = 3;
const AGGREGATORS: usize = 2;
const RUNS_PER_ENGINE: usize = 24;
const CRASHED_ENGINES: usize = 4;
/// Time that one message takes, in ms.
const TRANSIT_MS: std::ops::RangeInclusive<u64> = 1..=30;
/// The last event happens before this time, in ms.
const LAST_EVENT_MS: u64 = 5_000;
/// Each event crosses a link in a few transits; no report may be sent after this time, in ms.
const QUIET_FROM_MS: u64 = LAST_EVENT_MS + 1_000;
const END_MS: u64 = 30_000;

/// What happens at one point in simulated time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Crashed {
        entry: usize,
        run: usize,
        engine: u64,
    },
    Completed {
        entry: usize,
        run: usize,
    },
    CallArrives {
        link: usize,
        message: usize,
    },
    ResponseArrives {
        link: usize,
        message: usize,
    },
}

/// Connection of an entry with an aggregator; carries one call at a time.
#[derive(Debug, Default, Clone)]
struct Link {
    /// Revision of the entry's registry that the aggregator has.
    sent: u64,
    /// Revision of the aggregator's registry that the entry has.
    received: u64,
    /// The call in progress; an older message on this link has been abandoned.
    call: usize,
    /// Revision that the call in progress leads to.
    sent_by_call: u64,
    /// The aggregator holds the call until its revision exceeds this.
    held_after: Option<u64>,
}

#[derive(Debug, Default, Clone)]
struct Message {
    reports: Vec<CrashReport>,
    revision: u64,
}

struct Exchange {
    start: Instant,
    now_ms: u64,
    entries: Vec<CrashRegistry>,
    aggregators: Vec<CrashRegistry>,
    links: Vec<Link>,
    messages: Vec<Message>,
    steps: BinaryHeap<Reverse<(u64, Step)>>,
    rng: StdRng,
    reports_sent: usize,
    last_report_ms: u64,
    /// Removes the ids of completed runs from responses, as an older aggregator does.
    drops_run_ids: bool,
}

fn digest(run: usize) -> RequestDigest {
    RequestDigest::of("POST", "/", "", &run.to_be_bytes())
}

impl Exchange {
    fn new(seed: u64, drops_run_ids: bool) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let entries = (0..ENTRIES).map(|_| CrashRegistry::new(rng.random()));
        let entries = entries.collect();
        Self {
            start: Instant::now(),
            now_ms: 0,
            entries,
            aggregators: (0..AGGREGATORS).map(|_| CrashRegistry::default()).collect(),
            links: vec![Link::default(); ENTRIES * AGGREGATORS],
            messages: Vec::new(),
            steps: BinaryHeap::new(),
            rng,
            reports_sent: 0,
            last_report_ms: 0,
            drops_run_ids,
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn schedule(&mut self, at_ms: u64, step: Step) {
        self.steps.push(Reverse((at_ms, step)));
    }

    /// Engines crash with runs of all entries; each run is tried again and completes.
    fn schedule_events(&mut self) -> usize {
        let mut events = 0;
        for engine in 0..CRASHED_ENGINES {
            for index in 0..RUNS_PER_ENGINE {
                let run = engine * RUNS_PER_ENGINE + index;
                let entry = self.rng.random_range(0..ENTRIES);
                let at = self.rng.random_range(100..LAST_EVENT_MS / 2);
                let engine = engine as u64;
                self.schedule(at, Step::Crashed { entry, run, engine });
                for completing in 0..ENTRIES {
                    let at = self.rng.random_range(LAST_EVENT_MS / 2..LAST_EVENT_MS);
                    let entry = completing;
                    self.schedule(at, Step::Completed { entry, run });
                }
                events += 1 + ENTRIES;
            }
        }
        events
    }

    fn send(&mut self, link: usize, message: Message, is_call: bool) {
        self.reports_sent += message.reports.len();
        if !message.reports.is_empty() {
            self.last_report_ms = self.now_ms;
        }
        self.messages.push(message);
        let message = self.messages.len() - 1;
        let at = self.now_ms + self.rng.random_range(TRANSIT_MS);
        let step = match is_call {
            true => Step::CallArrives { link, message },
            false => Step::ResponseArrives { link, message },
        };
        if is_call {
            self.links[link].call = message;
        }
        self.schedule(at, step);
    }

    fn call(&mut self, link: usize) {
        let now = self.now();
        let (reports, revision) =
            self.entries[link / AGGREGATORS].reports_since(self.links[link].sent, now);
        self.links[link].held_after = None;
        self.links[link].sent_by_call = revision;
        self.send(link, Message { reports, revision }, true);
    }

    fn respond(&mut self, link: usize, after: u64) {
        let now = self.now();
        let (mut reports, revision) =
            self.aggregators[link % AGGREGATORS].reports_since(after, now);
        if self.drops_run_ids {
            reports.iter_mut().for_each(|report| report.run_id = 0);
        }
        self.links[link].held_after = None;
        self.send(link, Message { reports, revision }, false);
    }

    /// Sends an entry's new reports over all its links that wait for reports of others.
    fn on_entry_changed(&mut self, entry: usize) {
        for link in entry * AGGREGATORS..(entry + 1) * AGGREGATORS {
            if self.links[link].held_after.is_some() {
                self.call(link);
            }
        }
    }

    fn on_aggregator_changed(&mut self, aggregator: usize) {
        for link in (aggregator..self.links.len()).step_by(AGGREGATORS) {
            let revision = self.aggregators[aggregator].revision();
            let held = self.links[link].held_after;
            if let Some(after) = held.filter(|after| revision > *after) {
                self.respond(link, after);
            }
        }
    }

    fn run(&mut self) {
        (0..self.links.len()).for_each(|link| self.call(link));
        while let Some(Reverse((at, step))) = self.steps.pop() {
            if at > END_MS {
                return;
            }
            self.now_ms = at;
            self.handle(step);
        }
    }

    fn handle(&mut self, step: Step) {
        let now = self.now();
        match step {
            Step::Crashed { entry, run, engine } => {
                if self.entries[entry].on_engine_ended(digest(run), engine, now, now) {
                    self.on_entry_changed(entry);
                }
            }
            Step::Completed { entry, run } => {
                if self.entries[entry].on_completed(digest(run), now) {
                    self.on_entry_changed(entry);
                }
            }
            Step::CallArrives { link, message } => {
                if self.links[link].call == message {
                    self.on_call(link, message);
                }
            }
            Step::ResponseArrives { link, message } => self.on_response(link, message),
        }
    }

    fn on_call(&mut self, link: usize, message: usize) {
        let now = self.now();
        let aggregator = &mut self.aggregators[link % AGGREGATORS];
        let before = aggregator.revision();
        let is_new = aggregator.merge(&self.messages[message].reports, now);
        let received = self.links[link].received;
        let after = match received == before {
            true => aggregator.revision(),
            false => received,
        };
        if aggregator.revision() > after || !self.messages[message].reports.is_empty() {
            self.respond(link, after);
        } else {
            self.links[link].held_after = Some(after);
        }
        if is_new {
            self.on_aggregator_changed(link % AGGREGATORS);
        }
    }

    fn on_response(&mut self, link: usize, message: usize) {
        let now = self.now();
        let entry = link / AGGREGATORS;
        let before = self.entries[entry].revision();
        let is_new = self.entries[entry].merge(&self.messages[message].reports, now);
        let sent = self.links[link].sent_by_call;
        self.links[link].sent = match sent == before {
            true => self.entries[entry].revision(),
            false => sent,
        };
        self.links[link].received = self.messages[message].revision;
        self.call(link);
        if is_new {
            self.on_entry_changed(entry);
        }
    }
}

fn assert_ends(drops_run_ids: bool) {
    for seed in 0..50 {
        let mut exchange = Exchange::new(seed, drops_run_ids);
        let events = exchange.schedule_events();
        exchange.run();
        let last = exchange.last_report_ms;
        assert!(
            last < QUIET_FROM_MS,
            "seed {seed}: a report was sent at {last} ms"
        );
        // each process sends each event once over each of its links
        let bound = events * 2 * ENTRIES * AGGREGATORS;
        let sent = exchange.reports_sent;
        assert!(
            sent <= bound,
            "seed {seed}: {sent} reports of {events} events"
        );
        for registry in exchange.entries.iter_mut().chain(&mut exchange.aggregators) {
            let now = exchange.start + Duration::from_millis(END_MS);
            assert_eq!(registry.len(), CRASHED_ENGINES * RUNS_PER_ENGINE);
            for run in 0..CRASHED_ENGINES * RUNS_PER_ENGINE {
                let verdict = registry.verdict(&digest(run), now);
                assert_eq!(verdict, RequestVerdict::Clear);
            }
        }
    }
}

/// Guards against reports of completed runs that circulate without end, since each receiver
/// computes a later time from the age in the message.
#[test]
fn reports_end_after_the_last_event() {
    assert_ends(false);
}

/// Guards against passing on the repeats of older builds, which send completed runs without ids.
#[test]
fn reports_without_run_ids_end_after_the_last_event() {
    assert_ends(true);
}

/// Guards against repeats that count as new after the registry has evicted their request.
#[test]
fn a_repeat_of_an_evicted_request_is_not_new() {
    let now = Instant::now();
    let (mut one, mut other) = (CrashRegistry::new(1), CrashRegistry::new(2));
    for run in 0..5_000 {
        one.on_engine_ended(digest(run), run as u64, now, now);
    }
    let mut reports = Vec::new();
    let mut sent = 0;
    while sent < one.revision() {
        let (part, up_to) = one.reports_since(sent, now);
        reports.extend(part);
        sent = up_to;
    }
    assert!(other.merge(&reports, now));
    for run in 5_000..10_000 {
        other.on_engine_ended(digest(run), run as u64, now, now);
    }
    let revision = other.revision();
    assert!(
        !other.merge(&reports, now),
        "evicted requests were added again"
    );
    assert_eq!(other.revision(), revision);
}

/// Guards against a run that is completed anew and mistaken for a repeat of an earlier one.
#[test]
fn each_completed_run_of_a_request_clears_its_crashes() {
    let start = Instant::now();
    let (mut one, mut other) = (CrashRegistry::new(1), CrashRegistry::new(2));
    for round in 0..3u64 {
        let crashed = start + Duration::from_secs(10 * round);
        let completed = crashed + Duration::from_secs(5);
        let revision = one.revision();
        one.on_engine_ended(digest(1), round, crashed, crashed);
        other.merge(&one.reports_since(revision, crashed).0, crashed);
        let revision = one.revision();
        assert!(one.on_completed(digest(1), completed));
        assert!(other.merge(&one.reports_since(revision, completed).0, completed));
        let verdict = other.verdict(&digest(1), completed);
        assert_eq!(verdict, RequestVerdict::Clear);
    }
}
