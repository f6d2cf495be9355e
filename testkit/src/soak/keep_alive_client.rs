use {
    super::{Outcome, RequestKind, RequestRecord},
    crate::users_platform::{send_on, ClientRequest, MODEL},
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        time::Duration,
    },
    tokio::{net::TcpStream, time::sleep},
};

/// Number of adapters that clients send prompts to.
const ADAPTER_COUNT: u32 = 4;
/// Maximum pause of a client between two requests, in ms.
const MAX_THINK_TIME_MS: u64 = 120;
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// Client that sends its requests on one connection while it stays open.
pub struct KeepAliveClient {
    addr: SocketAddr,
    number: u32,
    rng: StdRng,
    socket: Option<TcpStream>,
    requests: Vec<RequestRecord>,
}

impl KeepAliveClient {
    pub fn new(addr: SocketAddr, seed: u64, number: u32) -> Self {
        Self {
            addr,
            number,
            rng: StdRng::seed_from_u64(seed ^ (u64::from(number) << 32)),
            socket: None,
            requests: Vec::new(),
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
            let (kind, request) = self.random_request();
            let (outcome, socket) = send(socket, &request).await;
            self.socket = socket;
            self.requests.push(RequestRecord {
                id: request.id,
                kind,
                outcome,
            });
        }
        self.requests
    }

    async fn connection(&mut self) -> Option<TcpStream> {
        match self.socket.take() {
            Some(socket) => Some(socket),
            None => TcpStream::connect(self.addr).await.ok(),
        }
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
            id,
            deadline_ms: 3_000,
            adapter: (kind == RequestKind::Stream).then(|| format!("{MODEL}/a{adapter}")),
            ..ClientRequest::default()
        };
        (kind, request)
    }
}

/// Sends a request; returns the connection if it can be reused.
async fn send(socket: TcpStream, request: &ClientRequest) -> (Outcome, Option<TcpStream>) {
    let Ok(stream) = send_on(socket, request).await else {
        return (Outcome::ConnectionLost, None);
    };
    let Ok((response, socket)) = stream.finish_and_keep_connection().await else {
        return (Outcome::ConnectionLost, None);
    };
    let closes = response.head.get("connection") == Some("close");
    let socket = (response.is_complete && !closes).then_some(socket);
    let id = response
        .head
        .get("chalkcart-request-id")
        .unwrap_or_default();
    let outcome = Outcome::Responded {
        status: response.status,
        is_complete: response.is_complete,
        id: id.to_string(),
        has_stamp: response.head.get("chalkcart-response-stamp").is_some(),
        body: response.body,
    };
    (outcome, socket)
}
