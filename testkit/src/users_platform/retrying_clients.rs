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

/// how clients press on an ingress
#[derive(Debug, Clone)]
pub struct RetryingClients {
    /// requests, begun one after the other
    pub requests: u32,
    pub gap: Duration,
    /// tries of one request beyond its first
    pub retries: u32,
    /// come back when told to; otherwise at once
    pub honors_retry_after: bool,
}

/// all tries of one request
#[derive(Debug)]
pub struct AttemptHistory {
    /// ids of the tries, in order
    pub request_ids: Vec<String>,
    pub responses: Vec<ClientResponse>,
    pub took: Duration,
}

/// press with copies of a request; each try has an id of its own
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
