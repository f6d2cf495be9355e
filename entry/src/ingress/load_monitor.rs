use {
    chalkcart_coordination::overload::{ConnectDelay, StandingDelay},
    chalkcart_transport::{clock, ingress::ConnectionControl, metrics::LoadMetrics},
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
/// Delay from which on the load is logged.
const LOGGED_FROM: Duration = Duration::from_millis(10);
/// Time between two log lines about the load.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Measures the load of this process: how late its event loop is, how long handshakes wait at
/// its link, and how many connections it has.
pub struct LoadMonitor {
    state: Mutex<LoadState>,
    pub metrics: LoadMetrics,
}

struct LoadState {
    event_loop: StandingDelay,
    connect: ConnectDelay,
    logged_at: Option<Instant>,
    accepted: u64,
    /// Most connections accepted in one step since the last log line.
    accept_queue: usize,
    open: usize,
}

impl Default for LoadMonitor {
    fn default() -> Self {
        Self {
            state: Mutex::new(LoadState {
                event_loop: StandingDelay::new(TICKS_PER_WINDOW, MAX_TICK_AGE),
                connect: ConnectDelay::default(),
                logged_at: None,
                accepted: 0,
                accept_queue: 0,
                open: 0,
            }),
            metrics: LoadMetrics::default(),
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

    fn end_window(&self, now: Instant) {
        let mut state = self.state();
        let (event_loop, connect) = (state.event_loop.get(now), state.connect.get(now));
        self.metrics.on_delays(event_loop, connect);
        let is_due = state
            .logged_at
            .is_none_or(|at| now.saturating_duration_since(at) >= LOG_INTERVAL);
        if event_loop.max(connect) < LOGGED_FROM || !is_due {
            return;
        }
        state.logged_at = Some(now);
        let accept_queue = std::mem::take(&mut state.accept_queue);
        log::warn!(
            loop_delay_ms = event_loop.as_millis() as u64,
            connect_delay_ms = connect.as_millis() as u64,
            open = state.open,
            accepted = state.accepted,
            accept_queue = accept_queue;
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
        state.open += connections;
        self.metrics.accepted.inc_by(connections as u64);
        self.metrics.open.set(state.open as i64);
        self.metrics.accept_queue.set(state.accept_queue as i64);
    }

    fn on_accept_failed(&self, e: &io::Error) {
        self.metrics.accept_failures.inc();
        log::warn!("ingress: no connection can be accepted: {e}");
    }

    fn on_ended(&self) {
        let mut state = self.state();
        state.open = state.open.saturating_sub(1);
        self.metrics.open.set(state.open as i64);
    }
}
