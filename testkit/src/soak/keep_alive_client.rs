use {
    super::{Outcome, RequestKind, RequestRecord, TakenUp},
    crate::users_platform::{send_on, ClientRequest, ClientResponse, MODEL},
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, time::sleep},
};

/// Number of adapters that clients send prompts to.
const ADAPTER_COUNT: u32 = 4;
/// Maximum pause of a client between two requests, in ms.
const MAX_THINK_TIME_MS: u64 = 120;
/// Number of times that a stream is taken up.
const MAX_TAKE_UPS: u32 = 8;
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Longest time that a client waits before it takes a stream up again, whatever it is asked for.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// How clients of a soak behave.
#[derive(Debug, Clone, Copy)]
pub struct ClientSettings {
    pub seed: u64,
    /// Whether they take up streams that broke off.
    pub takes_up: bool,
    /// Time that their requests may take, in ms.
    pub deadline_ms: u64,
    /// Whether each stream has a body of its own: engines that end in a release would be counted
    /// as crashes of the one request that all clients send.
    pub has_own_bodies: bool,
}

impl ClientSettings {
    /// Returns the body of the request for a stream, which is the same when it is taken up.
    pub fn body(&self, first_attempt: &str) -> Vec<u8> {
        match self.has_own_bodies {
            true => first_attempt.as_bytes().to_vec(),
            false => Vec::new(),
        }
    }
}

/// Client that sends its requests on one connection while it stays open.
pub struct KeepAliveClient {
    /// Entries; the client moves to the next one if it can't connect.
    addrs: Vec<SocketAddr>,
    entry: usize,
    number: u32,
    rng: StdRng,
    socket: Option<TcpStream>,
    requests: Vec<RequestRecord>,
    settings: ClientSettings,
    /// Adapter of the stream that broke off.
    adapter: Option<String>,
    /// A stream that broke off, and the number of times that it was taken up.
    broken: Option<(TakenUp, u32)>,
}

impl KeepAliveClient {
    pub fn new(addrs: Vec<SocketAddr>, number: u32, settings: ClientSettings) -> Self {
        Self {
            entry: number as usize % addrs.len(),
            addrs,
            number,
            rng: StdRng::seed_from_u64(settings.seed ^ (u64::from(number) << 32)),
            socket: None,
            requests: Vec::new(),
            settings,
            adapter: None,
            broken: None,
        }
    }

    /// Sends requests until `stop` is set, and returns their records.
    pub async fn run(mut self, stop: Arc<AtomicBool>) -> Vec<RequestRecord> {
        while !stop.load(Ordering::Relaxed) {
            let think_time_ms = self.rng.random_range(0..MAX_THINK_TIME_MS);
            sleep(Duration::from_millis(think_time_ms)).await;
            let Some(socket) = self.connection().await else {
                sleep(RECONNECT_DELAY).await;
                continue;
            };
            let taken_up = self.broken.as_ref().map(|(stream, _)| stream.clone());
            let (kind, request) = match &taken_up {
                Some(stream) => (RequestKind::Stream, self.take_up(stream)),
                None => self.random_request(),
            };
            let sent_at = Instant::now();
            let is_take_up = taken_up.is_some();
            let (outcome, socket, retry_after) = send(socket, &request).await;
            self.socket = socket;
            let record = RequestRecord {
                id: request.id,
                kind,
                sent_at: Some(sent_at),
                taken_up,
                outcome,
            };
            self.remember_if_broken(&record, request.adapter);
            self.requests.push(record);
            if self.broken.is_some() {
                self.leave_entry();
            }
            if is_take_up {
                sleep(retry_after.min(MAX_RETRY_AFTER)).await;
            }
        }
        self.requests
    }

    async fn connection(&mut self) -> Option<TcpStream> {
        match self.socket.take() {
            Some(socket) => Some(socket),
            None => {
                let addr = self.addrs[self.entry];
                let connected = TcpStream::connect(addr).await.ok();
                if connected.is_none() {
                    self.entry = (self.entry + 1) % self.addrs.len();
                }
                connected
            }
        }
    }

    /// Turns to the next entry, so that streams are taken up at any of them.
    fn leave_entry(&mut self) {
        self.socket = None;
        self.entry = (self.entry + 1) % self.addrs.len();
    }

    /// Returns a request that takes a stream up.
    fn take_up(&self, stream: &TakenUp) -> ClientRequest {
        let id = format!("c{}-{}", self.number, self.requests.len());
        let headers = [
            ("Last-Event-Id", stream.last_event.to_string()),
            ("Resumes", stream.first_attempt.clone()),
        ];
        ClientRequest {
            target: "/stream/".to_string(),
            id,
            deadline_ms: self.settings.deadline_ms,
            adapter: self.adapter.clone(),
            headers: headers
                .map(|(name, value)| (name.to_string(), value))
                .to_vec(),
            body: self.settings.body(&stream.first_attempt),
            ..ClientRequest::default()
        }
    }

    /// Remembers a stream that broke off after its first event, to take it up.
    fn remember_if_broken(&mut self, record: &RequestRecord, adapter: Option<String>) {
        let tries = self.broken.take().map_or(0, |(_, tries)| tries + 1);
        let is_complete = matches!(
            record.outcome,
            Outcome::Responded {
                status: 200,
                is_complete: true,
                ..
            }
        );
        let last_event = record.complete_events().last().copied();
        let before = record.taken_up.clone();
        let last_event = last_event.or(before.as_ref().map(|t| t.last_event));
        let (Some(last_event), true) = (last_event, self.settings.takes_up) else {
            return;
        };
        if is_complete || record.kind != RequestKind::Stream || tries >= MAX_TAKE_UPS {
            return;
        }
        let first_attempt = before.map_or(record.id.clone(), |t| t.first_attempt);
        let stream = TakenUp {
            first_attempt,
            last_event,
        };
        self.broken = Some((stream, tries));
        self.adapter = adapter;
    }

    fn random_request(&mut self) -> (RequestKind, ClientRequest) {
        let id = format!("c{}-{}", self.number, self.requests.len());
        let (kind, target) = match self.rng.random_range(0..4) {
            0 => (RequestKind::Safe, "/safe/"),
            1 => (RequestKind::Unsafe, "/unsafe/"),
            _ => (RequestKind::Stream, "/stream/"),
        };
        let adapter = self.rng.random_range(0..ADAPTER_COUNT);
        let request = ClientRequest {
            target: target.to_string(),
            body: self.settings.body(&id),
            id,
            deadline_ms: self.settings.deadline_ms,
            adapter: (kind == RequestKind::Stream).then(|| format!("{MODEL}/a{adapter}")),
            ..ClientRequest::default()
        };
        (kind, request)
    }
}

/// Sends a request; returns the connection if it can be reused, and how long the client is asked to
/// wait.
async fn send(
    socket: TcpStream,
    request: &ClientRequest,
) -> (Outcome, Option<TcpStream>, Duration) {
    let lost = (Outcome::ConnectionLost, None, Duration::ZERO);
    let Ok(stream) = send_on(socket, request).await else {
        return lost;
    };
    let Ok((response, socket)) = stream.finish_and_keep_connection().await else {
        return lost;
    };
    let head = &response.head;
    let closes = head.get("connection") == Some("close");
    let socket = (response.is_complete && !closes).then_some(socket);
    let retry_after_s = head.get("retry-after").and_then(|s| s.parse().ok());
    let retry_after = retry_after_s.and_then(|s| Duration::try_from_secs_f64(s).ok());
    (
        outcome_of(&response),
        socket,
        retry_after.unwrap_or_default(),
    )
}

/// Returns what a client records of a response.
pub(super) fn outcome_of(response: &ClientResponse) -> Outcome {
    let head = &response.head;
    let id = head.get("chalkcart-request-id").unwrap_or_default();
    Outcome::Responded {
        status: response.status,
        is_complete: response.is_complete,
        id: id.to_string(),
        has_stamp: head.get("chalkcart-response-stamp").is_some(),
        body: response.data(),
    }
}
