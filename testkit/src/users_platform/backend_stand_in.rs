use {
    super::{
        backend_responses::respond,
        crash_moment::{CausedCrash, CrashMoment},
        endless_responses::{send_endless, EndlessPart},
        engine_orders::{AcceptedOrder, EngineOrders},
        raw_responses::RawResponse,
        wire::{read_body, read_head, write_response, Head},
    },
    crate::serving::lock,
    anyhow::Result,
    chalkcart_coordination::response_end::Framing,
    chalkcart_platform::names,
    chalkcart_state::ingress::PartId,
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

/// Start time of the first incarnation of each back end, in Unix milliseconds.
pub const FIRST_START_TIME_MS: u64 = 1_700_000_000_000;
/// Same as `drain_ms` of the ingress settings: a leaving back end receives no request after it.
pub const DRAIN: Duration = Duration::from_millis(2_000);
/// Time from the first announcement of a limit until it is enforced.
pub const LIMIT_GRACE: Duration = Duration::from_secs(3);
/// Time from the first announcement until requests count against the limit.
const LIMIT_PROPAGATION_DELAY: Duration = Duration::from_millis(500);
/// Window over which requests are counted against a limit.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Number of events in a stream unless a test sets another one.
pub const DEFAULT_EVENT_COUNT: u32 = 3;
pub const HEALTH_PATH: &str = "/health";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendKind {
    Engine,
    Plain,
}

/// Fault that a back end injects into its responses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BackendFault {
    #[default]
    None,
    /// Runs the request and closes the connection without a response.
    CloseBeforeResponse,
    /// Closes the connection in the middle of the body.
    TruncateBody,
    /// Sends no `Content-Length`; the end of the connection ends the body.
    DelimitBodyByClose,
    /// Sends a second response right after the first one.
    ExtraResponse,
    /// Sends a response with the id of another request.
    WrongRequestId,
    /// Sends a successful response without the response stamp.
    WithoutStamp,
    /// Declares a content encoding, as if an intermediary had encoded the body.
    EncodeBody,
    /// Runs the request and responds with this status.
    Status(u16),
    /// Responds with 503 and does not run the request.
    Overloaded,
    /// Sends a second response some time after the first one.
    LateExtraResponse,
    /// Runs the request and sends nothing.
    Unresponsive,
    /// Runs the request and sends bytes that are not HTTP.
    InvalidBytes,
    /// Runs the request and sends a response of which a part has no end.
    Endless(EndlessPart),
    /// Sends a body of this many bytes, in chunks or events.
    LargeBody(usize),
    /// Cuts a stream.
    Cut(StreamFault),
    /// Runs the request, sends this many bytes of the head, or all of it, and closes the
    /// connection.
    CutHead(usize, Framing),
    /// Runs the request and sends `BackendState::raw_response`.
    Raw,
    /// The same with a reset of the connection.
    ResetInHead(usize, Framing),
    /// Starts a resumed stream this many events too late, or too early if it is negative.
    ShiftEvents(i32),
}

/// How a back end cuts a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamFault {
    pub kind: CutKind,
    /// Number of events that are sent before.
    pub after: u32,
    /// Number of bytes of the next event that are sent too.
    pub extra_bytes: usize,
    pub framing: Framing,
}

impl Default for StreamFault {
    fn default() -> Self {
        Self {
            kind: CutKind::Close,
            after: 2,
            extra_bytes: 0,
            framing: Framing::Chunks,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutKind {
    /// Closes the connection.
    Close,
    /// Ends the body as its framing requires, as if it were whole.
    End,
    /// Resets the connection.
    Reset,
    /// The back end ends with all its connections and starts again.
    Crash,
}

/// A request that a back end ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    pub headers: std::collections::HashMap<String, String>,
    /// Whether the caller closed the connection before the end.
    pub has_client_disconnected: bool,
}

/// State of a back end that tests inspect and change.
#[derive(Debug)]
pub struct BackendState {
    pub id: String,
    /// Start time of this incarnation, in Unix milliseconds.
    pub start_time_ms: u64,
    pub kind: BackendKind,
    /// Version of its software, which its record has.
    pub software_version: String,
    pub fault: BackendFault,
    /// Number of further requests that the fault affects.
    pub fault_requests_left: u32,
    /// Sent by `BackendFault::Raw`.
    pub raw_response: RawResponse,
    pub runs: Vec<Run>,
    /// Time and id of all requests received, including rejected ones.
    pub arrivals: Vec<(Instant, String)>,
    /// Orders accepted by all incarnations.
    pub all_orders: Vec<AcceptedOrder>,
    pub orders: EngineOrders,
    /// Maximum number of concurrent requests; further ones are rejected as not run.
    pub slots: u32,
    pub running: u32,
    /// Time that a request to a plain back end takes.
    pub delay: Duration,
    /// Number of events in a stream and the time between two of them.
    pub event_count: u32,
    /// Content of each event's data.
    pub event_data: String,
    /// Whether events have ids.
    pub has_event_ids: bool,
    pub event_interval: Duration,
    /// Added to `event_interval` for each running request.
    pub event_interval_per_run: Duration,
    /// A request with this body crashes the back end.
    pub crash_body: Option<Vec<u8>>,
    /// A request whose prompt shares one of these parts crashes the back end.
    pub crash_parts: Vec<PartId>,
    pub crash_moment: CrashMoment,
    /// Framing of the stream that a crashing request gets.
    pub crash_framing: Framing,
    /// Number of events that a crashing request gets.
    pub events_before_crash: u32,
    /// Whether all responses carry the `Server-Leaving` header.
    pub is_leaving: bool,
    /// Limit in requests per second that all responses carry, if any.
    pub advertised_limit: Option<f64>,
    /// Time of the first request that was answered with the limit.
    limit_announced_at: Option<Instant>,
    /// Maximum number of requests beyond the limit in one window.
    pub requests_over_limit: usize,
    /// Headers added to all responses that are not part of the protocol.
    pub extra_headers: Vec<(&'static str, String)>,
    /// Back-off requested by responses that reject a request as overloaded.
    pub requested_backoff: Option<Duration>,
    /// Time of the first request that was answered with the leaving signal.
    pub leaving_announced_at: Option<Instant>,
    /// Number of requests received more than `DRAIN` after that.
    pub requests_while_leaving: usize,
    /// Whether orders are rejected too.
    pub should_reject_orders: bool,
    /// Times of the sidecar's calls: orders, reports and instance id queries; recorded while
    /// orders are rejected.
    pub sidecar_calls: Vec<Instant>,
    /// Start and duration of each requested back-off.
    pub backoffs: Vec<(Instant, Duration)>,
    /// Time from a crash until the next incarnation starts.
    pub restart_delay: Duration,
    /// The part of each report that has no end, if any.
    pub endless_report: Option<EndlessPart>,
    /// Bytes of endless responses that were sent, and how many of these were ended by callers.
    pub endless_bytes: u64,
    pub endless_closed: u32,
    /// Number of crashes caused by a request.
    pub crashes: u32,
    /// The crashes that requests caused.
    pub caused_crashes: Vec<CausedCrash>,
    /// Times at which streams were cut, other than by a crash.
    pub cuts: Vec<Instant>,
    has_crashed: Arc<Notify>,
}

impl BackendState {
    /// Returns the headers with which every response reports the state of the back end.
    pub fn signal_headers(&self) -> Vec<(&'static str, String)> {
        let leaving = self.is_leaving.then(|| ("Server-Leaving", "1".to_string()));
        let limit = self
            .advertised_limit
            .map(|per_s| ("Server-Limit", per_s.to_string()));
        let extra = self.extra_headers.iter().cloned();
        leaving.into_iter().chain(limit).chain(extra).collect()
    }
    /// Returns the headers of a response that rejects a request.
    pub fn rejection_headers(&mut self, now: Instant) -> Vec<(&'static str, String)> {
        let mut headers = self.signal_headers();
        if let Some(backoff) = self.requested_backoff {
            self.backoffs.push((now, backoff));
            headers.push(("Retry-After", backoff.as_secs_f64().to_string()));
        }
        headers
    }
    /// Records a received request.
    pub fn on_arrival(&mut self, request: &str, now: Instant) {
        self.arrivals.push((now, request.to_string()));
        self.check_limit(now);
        if self.is_leaving {
            let announced_at = *self.leaving_announced_at.get_or_insert(now);
            self.requests_while_leaving += usize::from(now - announced_at > DRAIN);
        }
    }
    /// Sets the advertised limit in requests per second; `None` removes it.
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
        let arrival_times = self.arrivals.iter().map(|(at, _)| *at);
        let counted = arrival_times
            .filter(|at| *at >= announced_at + LIMIT_PROPAGATION_DELAY && now - *at < LIMIT_WINDOW);
        let excess = counted
            .count()
            .saturating_sub(max_requests_in_window(per_s));
        self.requests_over_limit = self.requests_over_limit.max(excess);
    }
    /// Forgets which signals were sent, so that callers are no longer expected to honor them.
    pub fn reset_signals(&mut self) {
        self.limit_announced_at = None;
        self.leaving_announced_at = None;
        self.backoffs.clear();
    }
    /// Returns the maximum number of requests and calls received during one back-off, not
    /// counting the first `known_after` of it.
    pub fn max_requests_in_backoff(&self, known_after: Duration) -> usize {
        let requests_in_backoff = |(requested_at, backoff): &(Instant, Duration)| {
            let arrivals = self.arrivals.iter().map(|(at, _)| *at);
            let all = arrivals.chain(self.sidecar_calls.iter().copied());
            all.filter(|at| *at > *requested_at + known_after && *at < *requested_at + *backoff)
                .count()
        };
        self.backoffs
            .iter()
            .map(requests_in_backoff)
            .max()
            .unwrap_or(0)
    }
    /// Returns the maximum number of requests received after a moment within any interval of a
    /// length.
    pub fn max_arrivals_within(&self, time: Duration, after: Instant) -> usize {
        let arrival_times = self.arrivals.iter().map(|(at, _)| *at);
        let mut arrival_times: Vec<Instant> = arrival_times.filter(|at| *at > after).collect();
        arrival_times.sort();
        let requests_from = |(from, first): (usize, &Instant)| {
            arrival_times[from..].partition_point(|at| *at - *first < time)
        };
        arrival_times
            .iter()
            .enumerate()
            .map(requests_from)
            .max()
            .unwrap_or(0)
    }
    /// Returns whether the back end crashes when it begins to write a response to this request.
    pub fn crashes_on(&self, request: &str, prompt: &str, body: &[u8]) -> bool {
        let shared = prompt.rsplit_once(',').map_or("", |(shared, _)| shared);
        let ids = shared.split(',').filter_map(|part| part.split(':').next());
        let mut parts = ids.map(PartId::of);
        let has_crash_part = parts.any(|part| self.crash_parts.contains(&part))
            && !self.crash_moment.is_spared(request);
        has_crash_part || self.crash_body.as_deref() == Some(body)
    }
    /// Crashes under a request, unless its run ended with an earlier incarnation.
    pub fn crash_under(&mut self, request: &str, born: u64) {
        if self.start_time_ms == born {
            self.caused_crashes.push(CausedCrash {
                at: Instant::now(),
                request: request.to_string(),
            });
            self.crash();
        }
    }
    /// Ends the current incarnation; the next one has another id and holds no adapters.
    pub fn crash(&mut self) {
        self.crashes += 1;
        self.start_time_ms += 1;
        let name = self.id.split('.').next().unwrap_or_default();
        self.id = format!("{name}.{}", self.crashes);
        self.orders = self.orders.next_incarnation();
        self.has_crashed.notify_one();
    }
}

/// Returns the maximum number of requests that a caller may send within a window.
pub fn max_requests_in_window(per_s: f64) -> usize {
    (1.5 * per_s * LIMIT_WINDOW.as_secs_f64() + 5.0) as usize
}

/// Stand-in for an engine or for a replica of a plain service.
pub struct BackendStandIn {
    pub addr: SocketAddr,
    state: Arc<Mutex<BackendState>>,
    /// Changes with each incarnation, which closes the connections of the previous one.
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
            software_version: "v1".to_string(),
            fault: BackendFault::None,
            fault_requests_left: 0,
            raw_response: RawResponse::default(),
            runs: Vec::new(),
            arrivals: Vec::new(),
            all_orders: Vec::new(),
            orders: EngineOrders::default(),
            slots: u32::MAX,
            running: 0,
            delay: Duration::ZERO,
            event_count: DEFAULT_EVENT_COUNT,
            event_data: "x".to_string(),
            has_event_ids: true,
            event_interval: Duration::from_millis(5),
            event_interval_per_run: Duration::ZERO,
            crash_body: None,
            crash_parts: Vec::new(),
            crash_moment: CrashMoment::default(),
            crash_framing: Framing::Chunks,
            events_before_crash: 0,
            is_leaving: false,
            advertised_limit: None,
            limit_announced_at: None,
            requests_over_limit: 0,
            extra_headers: Vec::new(),
            requested_backoff: None,
            leaving_announced_at: None,
            requests_while_leaving: 0,
            should_reject_orders: false,
            sidecar_calls: Vec::new(),
            backoffs: Vec::new(),
            restart_delay: Duration::from_millis(300),
            endless_report: None,
            endless_bytes: 0,
            endless_closed: 0,
            crashes: 0,
            caused_crashes: Vec::new(),
            cuts: Vec::new(),
            has_crashed: has_crashed.clone(),
        }));
        let incarnations = watch::Sender::new(FIRST_START_TIME_MS);
        let (server_state, incarnation_changes) = (state.clone(), incarnations.clone());
        let server = tokio::spawn(async move {
            loop {
                tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((socket, _)) => {
                            let incarnation = incarnation_changes.subscribe();
                            spawn_connection(socket, &server_state, incarnation);
                        }
                        Err(_) => return,
                    },
                    () = has_crashed.notified() => {
                        drop(listener);
                        incarnation_changes.send_modify(|incarnation| *incarnation += 1);
                        let restart_delay = lock(&server_state).restart_delay;
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
    pub fn orders(&self) -> Vec<AcceptedOrder> {
        self.state().orders.accepted.clone()
    }
    /// Injects a fault into the next requests.
    pub fn set_fault(&self, fault: BackendFault, requests: u32) {
        let mut state = self.state();
        state.fault = fault;
        state.fault_requests_left = requests;
    }
    /// Restarts under the same id: the engine holds nothing, its sequence numbers start again and
    /// all connections are closed.
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
    /// Continues as another incarnation that holds nothing.
    pub fn restart_with_id(&self, id: &str) {
        let mut state = self.state();
        state.id = id.to_string();
        state.is_leaving = false;
        state.leaving_announced_at = None;
        state.orders = state.orders.next_incarnation();
    }
}

/// Serves a connection until it or the incarnation of the back end ends.
fn spawn_connection(
    socket: TcpStream,
    state: &Arc<Mutex<BackendState>>,
    mut incarnation: watch::Receiver<u64>,
) {
    let connection = serve(socket, state.clone());
    tokio::spawn(async move {
        tokio::select! {
            () = connection => {}
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
    let target = head.start_line.get(1).cloned().unwrap_or_default();
    let id = lock(state).id.clone();
    let headers = lock(state).signal_headers();
    let mut headers_with_id = headers.clone();
    headers_with_id.push(("Chalkcart-Instance-Id", id.clone()));
    let is_sidecar_call =
        [HEALTH_PATH, names::REPORT_PATH, names::ORDER_PATH].contains(&target.as_str());
    if is_sidecar_call && lock(state).should_reject_orders {
        lock(state).sidecar_calls.push(Instant::now());
    }
    if target == HEALTH_PATH {
        return write_response(socket, 200, &headers_with_id, b"").await;
    }
    let endless_report = lock(state).endless_report;
    if let Some(part) = endless_report.filter(|_| target == names::REPORT_PATH) {
        return send_endless(socket, state, &headers, part).await;
    }
    if target == names::REPORT_PATH {
        let report = {
            let mut state = lock(state);
            let mut report = state.orders.report(Instant::now());
            report["born"] = state.start_time_ms.into();
            report.to_string()
        };
        return write_response(socket, 200, &headers, report.as_bytes()).await;
    }
    if target != names::ORDER_PATH {
        let request = head.get("chalkcart-request-id").unwrap_or_default();
        lock(state).on_arrival(request, Instant::now());
    }
    let expected = head.get("chalkcart-expect-instance");
    if expected.is_some_and(|expected| expected != id) {
        return write_response(socket, 421, &headers_with_id, b"").await;
    }
    if target == names::ORDER_PATH && lock(state).should_reject_orders {
        let headers = lock(state).rejection_headers(Instant::now());
        return write_response(socket, 503, &headers, b"").await;
    }
    if target == names::ORDER_PATH {
        let status = {
            let mut state = lock(state);
            let status = state.orders.order(&body, Instant::now());
            if matches!(status, 200 | 202) {
                let order = state.orders.accepted.last().cloned();
                state.all_orders.extend(order);
            }
            status
        };
        return write_response(socket, status, &headers, b"").await;
    }
    respond(socket, state, head, body).await
}
