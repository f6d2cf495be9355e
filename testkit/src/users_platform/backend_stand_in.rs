use {
    super::{
        backend_responses::respond,
        engine_orders::{EngineOrders, TakenOrder},
        wire::{read_body, read_head, write_response, Head},
    },
    crate::serving::lock,
    anyhow::Result,
    chalkcart_platform::names,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{watch, Notify},
        task::JoinHandle,
        time::sleep,
    },
};

/// Unix ms at which back ends were started first
pub const FIRST_START_TIME_MS: u64 = 1_700_000_000_000;
/// of the settings of the fleet: a back end that leaves gets nothing after it
pub const DRAIN: Duration = Duration::from_millis(2_000);
/// a limit binds this long after it was first named
pub const LIMIT_GRACE: Duration = Duration::from_secs(3);
/// a caller is bound by a limit this long after an answer named it
const LIMIT_PROPAGATION_DELAY: Duration = Duration::from_millis(500);
/// time over which requests are counted against a limit
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);
pub const HEALTH_PATH: &str = "/health";

/// what a back end is
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendKind {
    Engine,
    Plain,
}

/// how a back end misbehaves
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BackendFault {
    #[default]
    None,
    /// runs the request and closes with no answer
    CloseBeforeResponse,
    /// breaks off within the body
    TruncateBody,
    /// no length: the end of the connection ends the body
    DelimitBodyByClose,
    /// a second answer behind the first
    ExtraResponse,
    /// the answer to another request
    WrongRequestId,
    /// a success without its signature
    WithoutStamp,
    /// a body that something on the way has encoded
    EncodeBody,
    /// runs it, and answers with this status
    Status(u16),
    /// says that it is full, and runs nothing
    Overloaded,
    /// answers, and answers once more a while later
    LateExtraResponse,
    /// runs it and says nothing
    Unresponsive,
    /// runs it and sends bytes that are no answer
    InvalidBytes,
}

/// one request that a back end ran
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    pub headers: std::collections::HashMap<String, String>,
    /// its caller closed the connection before the end
    pub client_disconnected: bool,
}

/// what a stand-in's tests look at and change
#[derive(Debug)]
pub struct BackendState {
    pub id: String,
    /// Unix ms of its start
    pub start_time_ms: u64,
    pub kind: BackendKind,
    pub fault: BackendFault,
    /// requests that the fault still strikes
    pub fault_requests_left: u32,
    pub runs: Vec<Run>,
    /// requests that arrived, also those that were refused
    pub arrivals: Vec<(Instant, String)>,
    /// orders taken in all lives
    pub all_orders: Vec<TakenOrder>,
    pub orders: EngineOrders,
    /// requests that run at once; more are refused as not run
    pub slots: u32,
    pub running: u32,
    /// time that a plain request runs
    pub delay: Duration,
    /// parts of a stream, and the time between two
    pub event_count: u32,
    pub event_interval: Duration,
    /// added to that time for each request that runs in the batch
    pub event_interval_per_run: Duration,
    /// a run of a request with this body ends the back end
    pub crash_body: Option<Vec<u8>>,
    /// it says in all its answers that it leaves
    pub announces_leaving: bool,
    /// the requests a second that it says, in all its answers, that it takes
    pub advertised_limit: Option<f64>,
    /// when a request was first answered with a limit
    limit_announced_at: Option<Instant>,
    /// requests that came beyond its limit in the worst window
    pub requests_over_limit: usize,
    /// headers of all its answers that no page names
    pub extra_headers: Vec<(&'static str, String)>,
    /// the rest that it asks for when it says that it is full
    pub requested_backoff: Option<Duration>,
    /// when a request was first answered with the word that it leaves
    pub leaving_announced_at: Option<Instant>,
    /// requests that came later than its drain after that
    pub requests_while_leaving: usize,
    /// it turns orders away, too, while it asks for rest
    pub rejects_orders: bool,
    /// calls of its sidecar: orders, reports and questions for its identity
    pub calls: Vec<Instant>,
    /// when it asked for rest
    pub backoffs: Vec<(Instant, Duration)>,
    /// time after its end until it is back, as another incarnation
    pub restart_delay: Duration,
    /// times that it has ended under a run
    pub crashes: u32,
    has_crashed: Arc<Notify>,
}

impl BackendState {
    /// headers of all its answers
    pub fn signal_headers(&self) -> Vec<(&'static str, String)> {
        let leaving = self
            .announces_leaving
            .then(|| ("Server-Leaving", "1".to_string()));
        let limit = self
            .advertised_limit
            .map(|per_s| ("Server-Limit", per_s.to_string()));
        let odd = self.extra_headers.iter().cloned();
        leaving.into_iter().chain(limit).chain(odd).collect()
    }
    /// headers of an answer that turns a request away
    pub fn rejection_headers(&mut self, now: Instant) -> Vec<(&'static str, String)> {
        let mut signals = self.signal_headers();
        if let Some(rest) = self.requested_backoff {
            self.backoffs.push((now, rest));
            signals.push(("Retry-After", rest.as_secs_f64().to_string()));
        }
        signals
    }
    /// a request has come
    pub fn on_arrival(&mut self, request: &str, now: Instant) {
        self.arrivals.push((now, request.to_string()));
        self.check_limit(now);
        if self.announces_leaving {
            let announced_at = *self.leaving_announced_at.get_or_insert(now);
            self.requests_while_leaving += usize::from(now - announced_at > DRAIN);
        }
    }
    /// it takes so many requests a second from now on, or what comes
    pub fn set_limit(&mut self, per_s: Option<f64>) {
        self.advertised_limit = per_s;
        self.limit_announced_at = None;
    }
    fn check_limit(&mut self, now: Instant) {
        let Some(per_s) = self.advertised_limit else {
            return;
        };
        let announced_at = *self.limit_announced_at.get_or_insert(now);
        if now < announced_at + LIMIT_GRACE {
            return;
        }
        let came = self.arrivals.iter().map(|(at, _)| *at);
        let bound = came
            .filter(|at| *at >= announced_at + LIMIT_PROPAGATION_DELAY && now - *at < LIMIT_WINDOW);
        let over = bound.count().saturating_sub(max_requests_in_window(per_s));
        self.requests_over_limit = self.requests_over_limit.max(over);
    }
    /// nobody is bound any more by what it has said
    pub fn reset_signals(&mut self) {
        self.limit_announced_at = None;
        self.leaving_announced_at = None;
        self.backoffs.clear();
    }
    /// the most requests that came in one of its rests, once the callers could know of it
    pub fn max_requests_in_backoff(&self, known_after: Duration) -> usize {
        let within = |(asked, rest): &(Instant, Duration)| {
            let arrivals = self.arrivals.iter().map(|(at, _)| *at);
            let all = arrivals.chain(self.calls.iter().copied());
            all.filter(|at| *at > *asked + known_after && *at < *asked + *rest)
                .count()
        };
        self.backoffs.iter().map(within).max().unwrap_or(0)
    }
    /// the most requests that came within some time, of those that came after a moment
    pub fn max_arrivals_within(&self, time: Duration, after: Instant) -> usize {
        let came = self.arrivals.iter().map(|(at, _)| *at);
        let mut came: Vec<Instant> = came.filter(|at| *at > after).collect();
        came.sort();
        let until = |(from, first): (usize, &Instant)| {
            came[from..].partition_point(|at| *at - *first < time)
        };
        came.iter().enumerate().map(until).max().unwrap_or(0)
    }
    pub fn crashes_on(&self, body: &[u8]) -> bool {
        self.crash_body.as_deref() == Some(body)
    }
    /// it ends with all that it runs and holds, and comes back under another name
    pub fn crash(&mut self) {
        self.crashes += 1;
        self.start_time_ms += 1;
        let name = self.id.split('.').next().unwrap_or_default();
        self.id = format!("{name}.{}", self.crashes);
        self.orders = self.orders.next_incarnation();
        self.has_crashed.notify_one();
    }
}

/// the most requests that may come within a window, where a limit is named
pub fn max_requests_in_window(per_s: f64) -> usize {
    (1.5 * per_s * LIMIT_WINDOW.as_secs_f64() + 5.0) as usize
}

/// an engine or a copy of a plain service
pub struct BackendStandIn {
    pub addr: SocketAddr,
    state: Arc<Mutex<BackendState>>,
    /// changes with each life; connections end with theirs
    incarnations: watch::Sender<u64>,
    server: JoinHandle<()>,
}

impl Drop for BackendStandIn {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl BackendStandIn {
    pub async fn start(id: &str, kind: BackendKind, addr: SocketAddr) -> Result<Self> {
        let mut listener = TcpListener::bind(addr).await?;
        let has_crashed = Arc::new(Notify::new());
        let state = Arc::new(Mutex::new(BackendState {
            id: id.to_string(),
            start_time_ms: FIRST_START_TIME_MS,
            kind,
            fault: BackendFault::None,
            fault_requests_left: 0,
            runs: Vec::new(),
            arrivals: Vec::new(),
            all_orders: Vec::new(),
            orders: EngineOrders::default(),
            slots: u32::MAX,
            running: 0,
            delay: Duration::ZERO,
            event_count: 3,
            event_interval: Duration::from_millis(5),
            event_interval_per_run: Duration::ZERO,
            crash_body: None,
            announces_leaving: false,
            advertised_limit: None,
            limit_announced_at: None,
            requests_over_limit: 0,
            extra_headers: Vec::new(),
            requested_backoff: None,
            leaving_announced_at: None,
            requests_while_leaving: 0,
            rejects_orders: false,
            calls: Vec::new(),
            backoffs: Vec::new(),
            restart_delay: Duration::from_millis(300),
            crashes: 0,
            has_crashed: has_crashed.clone(),
        }));
        let incarnations = watch::Sender::new(FIRST_START_TIME_MS);
        let (shared, ended) = (state.clone(), incarnations.clone());
        let server = tokio::spawn(async move {
            loop {
                tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((socket, _)) => spawn_connection(socket, &shared, ended.subscribe()),
                        Err(_) => return,
                    },
                    () = has_crashed.notified() => {
                        drop(listener);
                        ended.send_modify(|incarnation| *incarnation += 1);
                        let restart_delay = lock(&shared).restart_delay;
                        sleep(restart_delay).await;
                        listener = match TcpListener::bind(addr).await {
                            Ok(listener) => listener,
                            Err(_) => return,
                        };
                    }
                }
            }
        });
        Ok(Self {
            addr,
            state,
            incarnations,
            server,
        })
    }

    pub fn state(&self) -> MutexGuard<'_, BackendState> {
        lock(&self.state)
    }
    pub fn id(&self) -> String {
        self.state().id.clone()
    }
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }
    pub fn orders(&self) -> Vec<TakenOrder> {
        self.state().orders.taken.clone()
    }
    /// strike the next requests with a fault
    pub fn set_fault(&self, fault: BackendFault, requests: u32) {
        let mut state = self.state();
        state.fault = fault;
        state.fault_requests_left = requests;
    }
    /// start again under the same name: it holds nothing, counts anew, and all its
    /// connections are closed
    pub fn restart(&self, start_time_ms: u64) {
        let mut state = self.state();
        state.start_time_ms = start_time_ms;
        state.orders = EngineOrders {
            is_base_model_missing: true,
            ..state.orders.next_incarnation()
        };
        drop(state);
        self.incarnations.send_replace(start_time_ms);
    }
    /// come back as another incarnation that holds nothing
    pub fn restart_with_id(&self, id: &str) {
        let mut state = self.state();
        state.id = id.to_string();
        state.announces_leaving = false;
        state.leaving_announced_at = None;
        state.orders = state.orders.next_incarnation();
    }
}

/// serve a connection until it ends, or the life of the back end
fn spawn_connection(
    socket: TcpStream,
    state: &Arc<Mutex<BackendState>>,
    mut incarnation: watch::Receiver<u64>,
) {
    let served = serve(socket, state.clone());
    tokio::spawn(async move {
        tokio::select! {
            () = served => {}
            _ = incarnation.changed() => {}
        }
    });
}

async fn serve(mut socket: TcpStream, state: Arc<Mutex<BackendState>>) {
    while let Ok(Some(head)) = read_head(&mut socket).await {
        let Ok(body) = read_body(&mut socket, &head).await else {
            return;
        };
        if serve_one(&mut socket, &state, &head, body).await.is_err() {
            return;
        }
    }
}

async fn serve_one(
    socket: &mut TcpStream,
    state: &Arc<Mutex<BackendState>>,
    head: &Head,
    body: Vec<u8>,
) -> Result<()> {
    let target = head.line.get(1).cloned().unwrap_or_default();
    let id = lock(state).id.clone();
    let signals = lock(state).signal_headers();
    let mut own_id = signals.clone();
    own_id.push(("Chalkcart-Instance-Id", id.clone()));
    let is_call = [HEALTH_PATH, names::REPORT_PATH, names::ORDER_PATH].contains(&target.as_str());
    if is_call && lock(state).rejects_orders {
        lock(state).calls.push(Instant::now());
    }
    if target == HEALTH_PATH {
        return write_response(socket, 200, &own_id, b"").await;
    }
    if target == names::REPORT_PATH {
        let report = {
            let mut state = lock(state);
            let mut report = state.orders.report(Instant::now());
            report["born"] = state.start_time_ms.into();
            report.to_string()
        };
        return write_response(socket, 200, &signals, report.as_bytes()).await;
    }
    if target != names::ORDER_PATH {
        let request = head.get("chalkcart-request-id").unwrap_or_default();
        lock(state).on_arrival(request, Instant::now());
    }
    let expected = head.get("chalkcart-expect-instance");
    if expected.is_some_and(|expected| expected != id) {
        return write_response(socket, 421, &own_id, b"").await;
    }
    if target == names::ORDER_PATH && lock(state).rejects_orders {
        let signals = lock(state).rejection_headers(Instant::now());
        return write_response(socket, 503, &signals, b"").await;
    }
    if target == names::ORDER_PATH {
        let status = {
            let mut state = lock(state);
            let status = state.orders.order(&body, Instant::now());
            if matches!(status, 200 | 202) {
                let order = state.orders.taken.last().cloned();
                state.all_orders.extend(order);
            }
            status
        };
        return write_response(socket, status, &signals, b"").await;
    }
    respond(socket, state, head, body).await
}
