use {
    chalkcart_coordination::overload::{
        AdmissionLimit, AdmissionLimitSettings, ConnectDelay, Door, LoadSample, StandingDelay,
    },
    chalkcart_transport::{
        clients::{Connection, Holdings},
        clock,
        ingress::{AcceptPacing, ConnectionControl, RequestPlace},
        metrics::LoadMetrics,
    },
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Time between two measurements of how late the event loop is.
const TICK: Duration = Duration::from_millis(25);
/// Ticks in a window, over which the delays are compared.
const TICKS_PER_WINDOW: usize = 4;
const MAX_TICK_AGE: Duration = Duration::from_secs(10);
/// Time between two steps in which connections are accepted during an overload.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(15);
/// Connections that may wait in the queue of the socket in any case.
const MIN_QUEUE: usize = 16;
/// Delay from which on the load is logged.
const LOGGED_FROM: Duration = Duration::from_millis(10);
/// Time between two log lines about the load.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Measures the load of this process: how late its event loop is, how long handshakes wait at
/// its link, and how many connections it has.
pub struct LoadMonitor {
    state: Mutex<LoadState>,
    /// What all clients hold, and the places for their connections.
    holdings: Arc<Holdings>,
    door: Door,
    pub metrics: LoadMetrics,
}

struct LoadState {
    event_loop: StandingDelay,
    connect: ConnectDelay,
    limit: AdmissionLimit,
    /// When the window began, and how long the event loop had been idle by then.
    window_began: (Instant, Duration),
    logged_at: Option<Instant>,
    accepted: u64,
    closed_unread: u64,
    /// Most connections accepted in one step since the last log line.
    accept_queue: usize,
    open: usize,
    /// Whether a connection could not be accepted since the last log line.
    has_accept_failure: bool,
}

impl LoadMonitor {
    /// Measures the load of a process with this many places for connections of clients.
    pub fn new(holdings: Arc<Holdings>, door: Door) -> Self {
        Self {
            state: Mutex::new(LoadState {
                event_loop: StandingDelay::new(TICKS_PER_WINDOW, MAX_TICK_AGE),
                connect: ConnectDelay::default(),
                limit: AdmissionLimit::new(AdmissionLimitSettings::default(), clock::now()),
                window_began: (clock::now(), clock::idle_time()),
                logged_at: None,
                accepted: 0,
                closed_unread: 0,
                accept_queue: 0,
                open: 0,
                has_accept_failure: false,
            }),
            holdings,
            door,
            metrics: LoadMetrics::default(),
        }
    }
}

impl LoadState {
    /// Returns what was measured in the window that ends.
    fn take_sample(&mut self, now: Instant) -> LoadSample {
        let (began, idle_before) = self.window_began;
        let idle = clock::idle_time();
        self.window_began = (now, idle);
        let window = now.saturating_duration_since(began).as_secs_f64();
        let idle_share = (idle - idle_before).as_secs_f64() / window.max(f64::EPSILON);
        LoadSample {
            loop_delay: self.event_loop.get(now),
            connect_delay: self.connect.get(now),
            utilization: (1.0 - idle_share).clamp(0.0, 1.0),
        }
    }
}

impl LoadMonitor {
    /// Measures until the process ends.
    pub async fn run(self: Arc<Self>) {
        loop {
            for _ in 0..TICKS_PER_WINDOW {
                let planned = clock::now() + TICK;
                sleep(TICK).await;
                let now = clock::now();
                let late = now.saturating_duration_since(planned);
                self.state().event_loop.record(now, late);
            }
            self.end_window(clock::now());
        }
    }

    /// Records how long a connect to a target took.
    pub fn on_connected(&self, addr: SocketAddr, took: Duration) {
        self.state().connect.record(clock::now(), addr, took);
    }

    /// Returns whether responses announce that their connection closes: open connections alone
    /// bring more requests than this process carries, or there are too many.
    pub fn should_close_kept(&self) -> bool {
        let state = self.state();
        state.limit.is_overdrawn() || state.open >= self.door.places
    }

    fn end_window(&self, now: Instant) {
        let mut state = self.state();
        let sample = state.take_sample(now);
        self.metrics
            .on_sample(sample.loop_delay, sample.connect_delay, sample.utilization);
        state.limit.on_window(now, sample);
        let limit = state.limit.limit().map_or(-1, |limit| limit as i64);
        self.metrics.limit.set(limit);
        let is_due = state
            .logged_at
            .is_none_or(|at| now.saturating_duration_since(at) >= LOG_INTERVAL);
        let is_behind = sample.loop_delay.max(sample.connect_delay) >= LOGGED_FROM;
        let is_logged = is_behind || limit >= 0 || state.has_accept_failure;
        if !is_logged || !is_due {
            return;
        }
        state.logged_at = Some(now);
        state.has_accept_failure = false;
        let accept_queue = std::mem::take(&mut state.accept_queue);
        log::warn!(
            loop_delay_ms = sample.loop_delay.as_millis() as u64,
            connect_delay_ms = sample.connect_delay.as_millis() as u64,
            open = state.open,
            utilization = sample.utilization,
            limit = limit,
            accepted = state.accepted,
            closed_unread = state.closed_unread,
            accept_queue = accept_queue,
            accept_failures = self.metrics.accept_failures.get();
            "ingress: behind its load"
        );
    }

    fn state(&self) -> MutexGuard<'_, LoadState> {
        // No holder panics in the middle of an update.
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl ConnectionControl for LoadMonitor {
    fn on_accepted(&self, connections: usize) {
        let mut state = self.state();
        state.accepted += connections as u64;
        state.accept_queue = state.accept_queue.max(connections);
        self.metrics.accepted.inc_by(connections as u64);
        self.metrics.accept_queue.set(state.accept_queue as i64);
    }

    fn admit(&self) -> Option<Connection> {
        let place = self.holdings.connect(self.door);
        let mut state = self.state();
        let place = match place {
            Some(place) => Some(place).filter(|_| state.limit.admits(clock::now())),
            None => {
                state.limit.on_closed_unread();
                None
            }
        };
        match place {
            Some(_) => {
                state.open += 1;
                self.metrics.open.set(state.open as i64);
            }
            None => {
                state.closed_unread += 1;
                self.metrics.closed_unread.inc();
            }
        }
        place
    }

    fn on_request(&self, place: RequestPlace) {
        let is_first = place == RequestPlace::First;
        self.state().limit.on_request_began(is_first);
    }

    fn accept_pacing(&self) -> AcceptPacing {
        let free = AcceptPacing::default();
        let mut state = self.state();
        let Some(batch) = state.limit.acceptable(clock::now()) else {
            return free;
        };
        let queue = state.limit.queue_length().unwrap_or(free.queue);
        AcceptPacing {
            batch: batch.min(free.batch),
            interval: ACCEPT_INTERVAL,
            // a power of two, so that it is seldom set
            queue: queue.next_power_of_two().clamp(MIN_QUEUE, free.queue),
        }
    }

    fn on_accept_failed(&self, e: &io::Error) {
        self.metrics.accept_failures.inc();
        self.state().has_accept_failure = true;
        log::debug!("ingress: no connection can be accepted: {e}");
    }

    fn on_connection_ended(&self) {
        let mut state = self.state();
        state.open = state.open.saturating_sub(1);
        self.metrics.open.set(state.open as i64);
    }

    fn on_request_ended(&self) {
        self.state().limit.on_request_ended();
    }
}
