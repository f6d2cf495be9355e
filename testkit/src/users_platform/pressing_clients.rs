use {
    super::{request, Answer, ClientRequest},
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
pub struct Pressing {
    /// requests, begun one after the other
    pub requests: u32,
    pub gap: Duration,
    /// tries of one request beyond its first
    pub retries: u32,
    /// come back when told to; otherwise at once
    pub heeds_retry_after: bool,
}

/// all tries of one request
#[derive(Debug)]
pub struct Story {
    /// ids of the tries, in order
    pub ids: Vec<String>,
    pub answers: Vec<Answer>,
    pub took: Duration,
}

/// press with copies of a request; each try has an id of its own
pub async fn press(addr: SocketAddr, sent: &ClientRequest, how: &Pressing) -> Result<Vec<Story>> {
    let stories = (0..how.requests).map(|number| async move {
        sleep(how.gap * number).await;
        tell(addr, sent, how, number).await
    });
    join_all(stories).await.into_iter().collect()
}

async fn tell(
    addr: SocketAddr,
    sent: &ClientRequest,
    how: &Pressing,
    number: u32,
) -> Result<Story> {
    let started = Instant::now();
    let mut story = Story {
        ids: Vec::new(),
        answers: Vec::new(),
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
        story.ids.push(one.id);
        story.answers.push(answer);
        if !refused {
            break;
        }
        if how.heeds_retry_after {
            sleep(Duration::from_secs_f64(after)).await;
        }
    }
    story.took = started.elapsed();
    Ok(story)
}
