use {
    super::{send_on, ClientRequest, MODEL},
    futures::future::join_all,
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpStream,
        time::{sleep_until, timeout},
    },
};

/// Time that a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Clients that open a connection for each request, most of them to the first entry.
#[derive(Debug, Clone)]
pub struct Crowd {
    pub seed: u64,
    /// Requests per second.
    pub rate: f64,
    pub duration: Duration,
    /// Share of the first attempts that go to the first entry; the others, and all retries, go
    /// to the remaining entries, if there are any.
    pub share: f64,
    /// Retries of a request that was not read.
    pub retries: u32,
    /// Time after which a client leaves.
    pub patience: Duration,
    /// One in this many requests is a stream; none if it is 0.
    pub stream_every: usize,
}

/// What became of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrowdAttempt {
    /// The connection was refused, or closed or reset without a response.
    Closed,
    /// A success with its whole body.
    Served,
    /// Another status, or a response that broke off.
    Failed,
    /// The client left.
    GaveUp,
}

/// The attempts of one request.
#[derive(Debug, Clone)]
pub struct CrowdRequest {
    /// Time from the start of the crowd.
    pub at: Duration,
    /// The id and the entry of each attempt, and what became of it.
    pub attempts: Vec<(String, usize, CrowdAttempt)>,
}

impl CrowdRequest {
    /// Returns what became of the first attempt that was read.
    pub fn first_read(&self) -> Option<CrowdAttempt> {
        let mut outcomes = self.attempts.iter().map(|(_, _, outcome)| *outcome);
        outcomes.find(|outcome| *outcome != CrowdAttempt::Closed)
    }
}

/// Sends the requests of a crowd to entries, and returns what became of each.
pub async fn send_crowd(entries: &[SocketAddr], name: &str, crowd: &Crowd) -> Vec<CrowdRequest> {
    let mut rng = StdRng::seed_from_u64(crowd.seed);
    let begin = tokio::time::Instant::now();
    let count = (crowd.rate * crowd.duration.as_secs_f64()) as usize;
    let requests = (0..count).map(|number| {
        let at = Duration::from_secs_f64(number as f64 / crowd.rate);
        let route = route(&mut rng, entries.len(), crowd);
        let is_stream = crowd.stream_every > 0 && number % crowd.stream_every == 0;
        let request = ClientRequest {
            id: format!("{name}-{number}"),
            target: if is_stream { "/stream/" } else { "/safe/" }.to_string(),
            adapter: is_stream.then(|| format!("{MODEL}/a0")),
            ..ClientRequest::default()
        };
        async move {
            sleep_until(begin + at).await;
            let attempts = send_request(entries, &route, &request, crowd.patience).await;
            CrowdRequest { at, attempts }
        }
    });
    join_all(requests.collect::<Vec<_>>()).await
}

/// Returns the entries that a request tries, in order.
fn route(rng: &mut StdRng, entries: usize, crowd: &Crowd) -> Vec<usize> {
    let other = |rng: &mut StdRng| match entries {
        1 => 0,
        entries => rng.random_range(1..entries),
    };
    let first = match rng.random_bool(crowd.share) {
        true => 0,
        false => other(rng),
    };
    let retries = (0..crowd.retries).map(|_| other(rng));
    std::iter::once(first)
        .chain(retries.collect::<Vec<_>>())
        .collect()
}

async fn send_request(
    entries: &[SocketAddr],
    route: &[usize],
    request: &ClientRequest,
    patience: Duration,
) -> Vec<(String, usize, CrowdAttempt)> {
    let mut attempts = Vec::new();
    let leaves_at = Instant::now() + patience;
    for (number, entry) in route.iter().enumerate() {
        let id = format!("{}-{number}", request.id);
        let attempt = ClientRequest {
            id: id.clone(),
            ..request.clone()
        };
        let left = leaves_at.saturating_duration_since(Instant::now());
        let outcome = timeout(left, send_attempt(entries[*entry], &attempt)).await;
        let outcome = outcome.unwrap_or(CrowdAttempt::GaveUp);
        attempts.push((id, *entry, outcome));
        if outcome != CrowdAttempt::Closed {
            break;
        }
    }
    attempts
}

async fn send_attempt(entry: SocketAddr, request: &ClientRequest) -> CrowdAttempt {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(entry)).await;
    let Ok(Ok(socket)) = connected else {
        return CrowdAttempt::Closed;
    };
    let Ok(stream) = send_on(socket, request).await else {
        return CrowdAttempt::Closed;
    };
    match stream.finish().await {
        Ok(response) if response.status == 200 && response.is_complete => CrowdAttempt::Served,
        _ => CrowdAttempt::Failed,
    }
}
