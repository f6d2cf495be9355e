//! Entries in simulated time, each with a share of a processor and a link, and clients of which
//! most open their connections at one of them.

mod config_feed;

pub use config_feed::ConfigPlan;
use {
    chalkcart_coordination::overload::{
        AdmissionLimit, AdmissionLimitSettings, ConnectDelay, LoadSample, StandingDelay,
    },
    config_feed::{ConfigState, CALL_BYTES, CONFIG_BYTES, CONFIG_WORK},
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const TICK: Duration = Duration::from_millis(25);
const ACCEPT_INTERVAL: Duration = Duration::from_millis(15);
const TICKS_PER_WINDOW: u64 = 4;
const EVENTS: u32 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(35);
/// Work of an entry on a core: for the start of a request, for an event, and to close a
/// connection unread.
const START_WORK: Duration = Duration::from_micros(400);
const EVENT_WORK: Duration = Duration::from_micros(8);
const CLOSE_WORK: Duration = Duration::from_micros(60);
/// Bytes on the link for a request and for an event.
const REQUEST_BYTES: f64 = 2_000.0;
const EVENT_BYTES: f64 = 130.0;
const CONNECT_TIME: Duration = Duration::from_millis(1);
/// The longest response time of a store that is slow but sound.
const SLOW_STORE: Duration = Duration::from_millis(240);
/// Time that a request which was read may wait for its first event.
pub const MAX_WAIT: Duration = Duration::from_secs(1);

/// What an entry's machine has.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    /// Share of a core.
    pub cores: f64,
    pub link_mbps: f64,
}

pub const SMALL: Machine = Machine {
    cores: 0.09,
    link_mbps: 10.0,
};
pub const SMALL_LINK: Machine = Machine {
    cores: 0.5,
    link_mbps: 10.0,
};
pub const LARGE: Machine = Machine {
    cores: 0.5,
    link_mbps: 200.0,
};

/// A resource that serves work in order; the work that waits is a time.
#[derive(Debug, Clone, Copy, Default)]
struct Queue {
    /// Time from the start of the simulation until which it is busy.
    busy_until: Duration,
}

impl Queue {
    fn add(&mut self, now: Duration, work: Duration) -> Duration {
        self.busy_until = self.busy_until.max(now) + work;
        self.busy_until
    }

    fn backlog(&self, now: Duration) -> Duration {
        self.busy_until.saturating_sub(now)
    }
}

struct Entry {
    machine: Machine,
    processor: Queue,
    link: Queue,
    limit: AdmissionLimit,
    loop_delay: StandingDelay,
    connect_delay: ConnectDelay,
    /// Work done since the start of the window, for the utilization.
    work_in_window: Duration,
    /// Attempts in the queue of its socket.
    queued: usize,
    closed: usize,
    served: usize,
    config: ConfigState,
}

/// An attempt of a request that waits in the queue of an entry's socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    request: usize,
    entry: usize,
    retries: u32,
    opened_at: Duration,
    /// Whether it is in the queue of the entry's socket.
    has_waited: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Action {
    Tick(usize),
    /// A request's attempt at an entry.
    Attempt(Attempt),
    /// An engine sent an event; `left` more follow.
    Event {
        request: usize,
        entry: usize,
        left: u32,
    },
    Config(ConfigStep),
}

/// A step of an entry's call for the next configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ConfigStep {
    Call {
        entry: usize,
    },
    Responded {
        entry: usize,
        call: u64,
    },
    Received {
        entry: usize,
        call: u64,
        version: u64,
    },
    TimedOut {
        entry: usize,
        call: u64,
    },
}

/// What became of a request at the first attempt that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    NotRead,
    /// Read; the time to its first event.
    Began(Duration),
    Served(Duration),
}

/// A fleet in simulated time.
pub struct CrowdedFleet {
    begin: Instant,
    now: Duration,
    entries: Vec<Entry>,
    engines: usize,
    actions: BinaryHeap<Reverse<(Duration, u64, Action)>>,
    next_action: u64,
    /// When each request was sent and read, and what became of it.
    pub requests: Vec<(Duration, Duration, Fate)>,
    configs: ConfigPlan,
    rng: StdRng,
}

impl CrowdedFleet {
    pub fn new(seed: u64, machines: &[Machine], engines: usize) -> Self {
        let begin = Instant::now();
        let entries = machines.iter().map(|machine| Entry {
            machine: *machine,
            processor: Queue::default(),
            link: Queue::default(),
            limit: AdmissionLimit::new(AdmissionLimitSettings::default(), begin),
            loop_delay: StandingDelay::new(TICKS_PER_WINDOW as usize, Duration::from_secs(10)),
            connect_delay: ConnectDelay::default(),
            work_in_window: Duration::ZERO,
            queued: 0,
            closed: 0,
            served: 0,
            config: ConfigState::default(),
        });
        let mut fleet = Self {
            begin,
            now: Duration::ZERO,
            entries: entries.collect(),
            engines,
            actions: BinaryHeap::new(),
            next_action: 0,
            requests: Vec::new(),
            configs: ConfigPlan::default(),
            rng: StdRng::seed_from_u64(seed),
        };
        for entry in 0..fleet.entries.len() {
            let first = fleet.rng.random_range(0..TICK.as_micros() as u64);
            fleet.schedule(Duration::from_micros(first), Action::Tick(entry));
        }
        fleet
    }

    /// Plans requests at a rate per second, of which a share goes to one entry at first.
    pub fn plan(&mut self, from: Duration, to: Duration, rate: f64, crowd: Option<(usize, f64)>) {
        let mut at = from;
        while at < to {
            at += Duration::from_secs_f64(-(1.0 - self.rng.random::<f64>()).ln() / rate);
            let entry = match crowd {
                Some((entry, share)) if self.rng.random_bool(share) => entry,
                _ => self.rng.random_range(0..self.entries.len()),
            };
            let request = self.requests.len();
            self.requests.push((at, at, Fate::NotRead));
            let attempt = Attempt {
                request,
                entry,
                retries: 2,
                opened_at: at,
                has_waited: false,
            };
            self.schedule(at, Action::Attempt(attempt));
        }
    }

    /// Plans the store's configurations, which all entries watch.
    pub fn plan_configs(&mut self, configs: ConfigPlan) {
        self.configs = configs;
        for entry in 0..self.entries.len() {
            let first = self.rng.random_range(0..1_000_000);
            let call = ConfigStep::Call { entry };
            self.schedule(Duration::from_micros(first), Action::Config(call));
        }
    }

    /// Returns when a version came into force at an entry.
    pub fn config_applied_at(&self, entry: usize, version: u64) -> Option<Duration> {
        self.entries[entry].config.applied_at(version)
    }

    pub fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, _, action))) = self.actions.pop() {
            if at > until {
                break;
            }
            self.now = at;
            match action {
                Action::Tick(entry) => self.tick(entry),
                Action::Attempt(attempt) => self.accept(attempt),
                Action::Event {
                    request,
                    entry,
                    left,
                } => self.event(request, entry, left),
                Action::Config(step) => self.config_step(step),
            }
        }
    }

    /// Returns the share of the requests sent in a span that were served at the first attempt
    /// that was read, began within `MAX_WAIT`, and how many began later.
    pub fn served(&self, from: Duration, to: Duration) -> (f64, usize) {
        let sent = self.requests.iter();
        let sent: Vec<_> = sent.filter(|(at, ..)| (from..to).contains(at)).collect();
        let served = sent
            .iter()
            .filter(|(_, _, fate)| matches!(fate, Fate::Served(wait) if *wait <= MAX_WAIT));
        let late = sent.iter().filter(|(_, _, fate)| {
            matches!(fate, Fate::Served(wait) | Fate::Began(wait) if *wait > MAX_WAIT)
        });
        (served.count() as f64 / sent.len() as f64, late.count())
    }

    /// Returns the connections that an entry closed unread, and the requests that it served.
    pub fn outcome(&self, entry: usize) -> (usize, usize) {
        (self.entries[entry].closed, self.entries[entry].served)
    }

    fn schedule(&mut self, at: Duration, action: Action) {
        self.next_action += 1;
        self.actions.push(Reverse((at, self.next_action, action)));
    }

    /// Measures as the process does: a timer is late by what waits for the processor.
    fn tick(&mut self, number: usize) {
        let (now, at) = (self.now, self.begin + self.now);
        let entry = &mut self.entries[number];
        let late = entry.processor.backlog(now);
        entry.loop_delay.record(at + late, late);
        let ticks = now.as_micros() / TICK.as_micros();
        if ticks.is_multiple_of(u128::from(TICKS_PER_WINDOW)) {
            let window = TICK * TICKS_PER_WINDOW as u32;
            let busy = std::mem::take(&mut entry.work_in_window).min(window) + late.min(window);
            let sample = LoadSample {
                loop_delay: entry.loop_delay.get(at),
                connect_delay: entry.connect_delay.get(at),
                utilization: (busy.as_secs_f64() / window.as_secs_f64()).min(1.0),
            };
            entry.limit.on_window(at, sample);
        }
        self.schedule(now + TICK + late, Action::Tick(number));
    }

    /// Takes an attempt from the queue of the socket once the event loop has turned to it.
    fn accept(&mut self, attempt: Attempt) {
        let (now, at) = (self.now, self.begin + self.now);
        let entry = &mut self.entries[attempt.entry];
        if now - attempt.opened_at > MAX_WAIT {
            // the client has left
            if attempt.has_waited {
                entry.queued -= 1;
            }
            return self.retry(attempt);
        }
        let backlog = entry.processor.backlog(now);
        if !backlog.is_zero() {
            return self.schedule(now + backlog, Action::Attempt(attempt));
        }
        if entry.limit.acceptable(at) == Some(0) {
            return self.wait_in_queue(attempt);
        }
        if attempt.has_waited {
            entry.queued -= 1;
        }
        if !entry.limit.admits(at) {
            entry.closed += 1;
            work(entry, now, CLOSE_WORK);
            return self.retry(attempt);
        }
        self.serve(attempt);
    }

    /// Leaves an attempt in the queue of the socket. If that is full, the kernel drops the opening
    /// packet, and the client tries another entry after a time.
    fn wait_in_queue(&mut self, attempt: Attempt) {
        let entry = &mut self.entries[attempt.entry];
        if !attempt.has_waited {
            if entry
                .limit
                .queue_length()
                .is_some_and(|most| entry.queued >= most)
            {
                return self.retry_at(self.now + MAX_WAIT, attempt);
            }
            entry.queued += 1;
        }
        let waiting = Attempt {
            has_waited: true,
            ..attempt
        };
        self.schedule(self.now + ACCEPT_INTERVAL, Action::Attempt(waiting));
    }

    /// Has the client of an attempt that was not read try another entry.
    fn retry(&mut self, attempt: Attempt) {
        self.retry_at(self.now + 2 * CONNECT_TIME, attempt);
    }

    fn retry_at(&mut self, opened_at: Duration, attempt: Attempt) {
        if attempt.retries == 0 {
            return;
        }
        let next = Attempt {
            entry: self.other_entry(attempt.entry),
            retries: attempt.retries - 1,
            opened_at,
            has_waited: false,
            ..attempt
        };
        self.schedule(opened_at, Action::Attempt(next));
    }

    fn serve(&mut self, attempt: Attempt) {
        let (now, at) = (self.now, self.begin + self.now);
        let engine = self.rng.random_range(0..self.engines);
        let entry = &mut self.entries[attempt.entry];
        entry.limit.on_request_began(true);
        let processed = work(entry, now, START_WORK);
        let sent = transfer(entry, now, REQUEST_BYTES).max(processed);
        let peer = SocketAddr::from(([10, 0, (engine / 250) as u8, (engine % 250) as u8], 80));
        let connect = CONNECT_TIME + sent.saturating_sub(now);
        entry.connect_delay.record(at, peer, connect);
        let request = &mut self.requests[attempt.request];
        request.1 = now;
        request.2 = Fate::Began(Duration::MAX);
        let first = Action::Event {
            request: attempt.request,
            entry: attempt.entry,
            left: EVENTS,
        };
        self.schedule(sent + EVENT_INTERVAL, first);
    }

    fn event(&mut self, request: usize, number: usize, left: u32) {
        let now = self.now;
        let entry = &mut self.entries[number];
        let processed = work(entry, now, EVENT_WORK);
        let forwarded = transfer(entry, now, EVENT_BYTES).max(processed);
        let (_, read_at, fate) = &mut self.requests[request];
        let wait = match *fate {
            Fate::Began(wait) if wait != Duration::MAX => wait,
            _ => forwarded - *read_at,
        };
        *fate = Fate::Began(wait);
        if left == 0 {
            *fate = Fate::Served(wait);
            entry.served += 1;
            entry.limit.on_request_ended();
            return;
        }
        let next = Action::Event {
            request,
            entry: number,
            left: left - 1,
        };
        self.schedule(now + EVENT_INTERVAL, next);
    }

    fn config_step(&mut self, step: ConfigStep) {
        match step {
            ConfigStep::Call { entry } => self.call_store(entry),
            ConfigStep::Responded { entry, call } => self.receive_config(entry, call),
            ConfigStep::Received {
                entry,
                call,
                version,
            } => self.apply_config(entry, call, version),
            ConfigStep::TimedOut { entry, call } => self.fail_call(entry, call),
        }
    }

    /// Calls the store once the processor turns to it; the call passes the link after what waits
    /// there.
    fn call_store(&mut self, number: usize) {
        let now = self.now;
        let entry = &mut self.entries[number];
        let begins = work(entry, now, EVENT_WORK);
        let arrives = transfer(entry, now, CALL_BYTES).max(begins) + CONNECT_TIME;
        entry.config.call += 1;
        let call = entry.config.call;
        let times = entry.config.pacing.next_call(entry.config.failures);
        let known = entry.config.version();
        if let Some(at) = self.configs.response_at(arrives, known, times.hold) {
            let latency = self.rng.random_range(4..SLOW_STORE.as_millis() as u64);
            let at = at + Duration::from_millis(latency);
            let step = ConfigStep::Responded {
                entry: number,
                call,
            };
            self.schedule(at, Action::Config(step));
        }
        let step = ConfigStep::TimedOut {
            entry: number,
            call,
        };
        self.schedule(begins + times.timeout(), Action::Config(step));
    }

    fn receive_config(&mut self, number: usize, call: u64) {
        let now = self.now;
        if self.configs.is_silent(now) {
            return;
        }
        let version = self.configs.newest(now);
        let entry = &mut self.entries[number];
        let received = transfer(entry, now, CONFIG_BYTES);
        let processed = entry
            .processor
            .add(received, CONFIG_WORK.div_f64(entry.machine.cores));
        let step = ConfigStep::Received {
            entry: number,
            call,
            version,
        };
        self.schedule(processed, Action::Config(step));
    }

    fn apply_config(&mut self, number: usize, call: u64, version: u64) {
        let now = self.now;
        let config = &mut self.entries[number].config;
        if config.call != call {
            return;
        }
        config.call += 1;
        config.failures = 0;
        if version > config.version() {
            config.applied.push((now, version));
        }
        self.call_store(number);
    }

    fn fail_call(&mut self, number: usize, call: u64) {
        let jitter = self.rng.random();
        let now = self.now;
        let config = &mut self.entries[number].config;
        if config.call != call {
            return;
        }
        config.call += 1;
        config.failures += 1;
        let pause = config.pacing.pause(config.failures, jitter);
        let call = ConfigStep::Call { entry: number };
        self.schedule(now + pause, Action::Config(call));
    }

    fn other_entry(&mut self, entry: usize) -> usize {
        match self.entries.len() {
            1 => 0,
            entries => (entry + self.rng.random_range(1..entries)) % entries,
        }
    }
}

/// Adds work on a core, and returns when it is done.
fn work(entry: &mut Entry, now: Duration, work: Duration) -> Duration {
    let time = work.div_f64(entry.machine.cores);
    entry.work_in_window += time;
    entry.processor.add(now, time)
}

/// Sends bytes, and returns when they have passed the link.
fn transfer(entry: &mut Entry, now: Duration, bytes: f64) -> Duration {
    let time = Duration::from_secs_f64(bytes * 8.0 / (entry.machine.link_mbps * 1e6));
    entry.link.add(now, time)
}
