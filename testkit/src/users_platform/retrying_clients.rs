use {
    super::{request, ClientRequest, ClientResponse},
    anyhow::Result,
    futures::future::join_all,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Clients that each send a request and retry it when it is rejected.
#[derive(Debug, Clone)]
pub struct RetryingClients {
    /// Number of requests, started one after the other.
    pub requests: u32,
    pub gap: Duration,
    /// Maximum number of retries per request.
    pub retries: u32,
    /// Whether retries wait for `Retry-After`; otherwise they are sent at once.
    pub should_honor_retry_after: bool,
    /// Whether attempts whose connection is closed without a response are retried too; otherwise
    /// they are errors.
    pub should_retry_closed: bool,
}

/// All attempts of one request.
#[derive(Debug)]
pub struct AttemptHistory {
    /// Request ids of the attempts that got a response, in order.
    pub request_ids: Vec<String>,
    pub responses: Vec<ClientResponse>,
    /// Request ids of the attempts whose connection was closed without a response.
    pub closed: Vec<String>,
    pub duration: Duration,
}

/// Sends copies of a request and retries those that are rejected; each attempt has its own id.
pub async fn send_with_retries(
    addr: SocketAddr,
    template: &ClientRequest,
    settings: &RetryingClients,
) -> Result<Vec<AttemptHistory>> {
    let histories = (0..settings.requests).map(|number| async move {
        sleep(settings.gap * number).await;
        send_request(addr, template, settings, number).await
    });
    join_all(histories).await.into_iter().collect()
}

async fn send_request(
    addr: SocketAddr,
    template: &ClientRequest,
    settings: &RetryingClients,
    number: u32,
) -> Result<AttemptHistory> {
    let started = Instant::now();
    let mut history = AttemptHistory {
        request_ids: Vec::new(),
        responses: Vec::new(),
        closed: Vec::new(),
        duration: Duration::ZERO,
    };
    for attempt in 0..=settings.retries {
        let attempt_request = ClientRequest {
            id: format!("{}-{number}-{attempt}", template.id),
            ..template.clone()
        };
        let response = match request(addr, &attempt_request).await {
            Err(_) if settings.should_retry_closed => {
                history.closed.push(attempt_request.id);
                continue;
            }
            result => result?,
        };
        let is_rejected = response.status == 503;
        let retry_after_s = response.head.get("retry-after");
        let retry_after_s = retry_after_s
            .and_then(|s| s.parse::<f64>().ok())
            .unwrap_or(0.0);
        history.request_ids.push(attempt_request.id);
        history.responses.push(response);
        if !is_rejected {
            break;
        }
        if settings.should_honor_retry_after {
            sleep(Duration::from_secs_f64(retry_after_s)).await;
        }
    }
    history.duration = started.elapsed();
    Ok(history)
}
