use {
    super::Completion,
    chalkcart_protocol::{
        peer::Outcome,
        status::{outcome_of, reason_of, retry_after_of},
        v1::{
            generate_event::Event, inference_client::InferenceClient, reserve_request::Work,
            CallRequest, GenerateRequest, ReserveRequest,
        },
    },
    std::time::{Duration, Instant},
    tonic::{transport::Channel, Status},
};

/// Failed request as seen by its caller.
#[derive(Debug, Clone)]
pub struct Failure {
    pub outcome: Outcome,
    pub reason: String,
    pub retry_after: Option<Duration>,
    pub duration: Duration,
    pub status: Status,
    /// Number of tokens received before the failure.
    pub tokens: usize,
}

impl Failure {
    fn new(status: Status, duration: Duration, tokens: usize) -> Self {
        Self {
            outcome: outcome_of(&status),
            reason: reason_of(&status).unwrap_or_else(|| status.code().to_string()),
            retry_after: retry_after_of(&status),
            duration,
            status,
            tokens,
        }
    }
}

/// Runs a prompt and collects its completion.
pub async fn generate(
    client: &mut InferenceClient<Channel>,
    req: GenerateRequest,
) -> Result<Completion, Box<Failure>> {
    let started = Instant::now();
    let mut completion = Completion::default();
    let failed = |status, tokens| Box::new(Failure::new(status, started.elapsed(), tokens));
    let response = client.generate(req).await.map_err(|e| failed(e, 0))?;
    let mut events = response.into_inner();
    loop {
        let event = events.message().await;
        match event.map_err(|e| failed(e, completion.tokens.len()))? {
            None => break,
            Some(event) => match event.event {
                Some(Event::Token(token)) => {
                    if completion.tokens.is_empty() {
                        completion.time_to_first_token = started.elapsed();
                    }
                    completion.tokens.push(token.text);
                }
                Some(Event::Finished(finished)) => completion.finished = Some(finished),
                None => {}
            },
        }
    }
    completion.duration = started.elapsed();
    Ok(completion)
}

/// Calls a service; without a reserved id the call is repeatable.
pub async fn call_once(
    client: &mut InferenceClient<Channel>,
    service: &str,
    body: &[u8],
    reserved_id: &str,
    timeout_ms: u32,
) -> Result<Vec<u8>, Box<Failure>> {
    let started = Instant::now();
    let req = CallRequest {
        group: "branches".to_string(),
        class: "counter".to_string(),
        service: service.to_string(),
        body: body.to_vec(),
        timeout_ms,
        not_repeatable: !reserved_id.is_empty(),
        reserved_id: reserved_id.to_string(),
    };
    let response = client.call(req).await;
    let response = response.map_err(|e| Box::new(Failure::new(e, started.elapsed(), 0)))?;
    Ok(response.into_inner().body)
}

pub async fn reserve_for_service(
    client: &mut InferenceClient<Channel>,
    service: &str,
    count: u32,
) -> Result<Vec<String>, Status> {
    reserve(client, Work::Service(service.to_string()), count).await
}

pub async fn reserve_for_adapter(
    client: &mut InferenceClient<Channel>,
    adapter: &str,
    count: u32,
) -> Result<Vec<String>, Status> {
    reserve(client, Work::Adapter(adapter.to_string()), count).await
}

async fn reserve(
    client: &mut InferenceClient<Channel>,
    work: Work,
    count: u32,
) -> Result<Vec<String>, Status> {
    let req = ReserveRequest {
        group: "branches".to_string(),
        count,
        work: Some(work),
    };
    Ok(client.reserve(req).await?.into_inner().reserved_ids)
}
