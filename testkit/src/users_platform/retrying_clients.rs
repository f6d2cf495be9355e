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
    pub honors_retry_after: bool,
}

/// All attempts of one request.
#[derive(Debug)]
pub struct AttemptHistory {
    /// Request ids of the attempts, in order.
    pub request_ids: Vec<String>,
    pub responses: Vec<ClientResponse>,
    pub took: Duration,
}

/// Sends copies of a request and retries those that are rejected; each attempt has its own id.
pub async fn send_with_retries(
    addr: SocketAddr,
    sent: &ClientRequest,
    how: &RetryingClients,
) -> Result<Vec<AttemptHistory>> {
    let histories = (0..how.requests).map(|number| async move {
        sleep(how.gap * number).await;
        send_request(addr, sent, how, number).await
    });
    join_all(histories).await.into_iter().collect()
}

async fn send_request(
    addr: SocketAddr,
    sent: &ClientRequest,
    how: &RetryingClients,
    number: u32,
) -> Result<AttemptHistory> {
    let started = Instant::now();
    let mut history = AttemptHistory {
        request_ids: Vec::new(),
        responses: Vec::new(),
        took: Duration::ZERO,
    };
    for attempt in 0..=how.retries {
        let one = ClientRequest {
            id: format!("{}-{number}-{attempt}", sent.id),
            ..sent.clone()
        };
        let answer = request(addr, &one).await?;
        let refused = answer.status == 503;
        let after = answer.head.get("retry-after");
        let after = after.and_then(|s| s.parse::<f64>().ok()).unwrap_or(0.0);
        history.request_ids.push(one.id);
        history.responses.push(answer);
        if !refused {
            break;
        }
        if how.honors_retry_after {
            sleep(Duration::from_secs_f64(after)).await;
        }
    }
    history.took = started.elapsed();
    Ok(history)
}
