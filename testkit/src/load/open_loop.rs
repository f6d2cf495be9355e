use {
    super::{
        check_completion, generate, report::LoadReport, ClassReport, Completion, CompletionCheck,
        Failure, Popularity,
    },
    chalkcart_protocol::{
        peer::Outcome,
        v1::{inference_client::InferenceClient, GenerateRequest},
    },
    rand::{rngs::SmallRng, RngExt, SeedableRng},
    std::time::{Duration, Instant},
    tokio::{sync::mpsc, time::sleep_until},
    tonic::transport::Channel,
};

/// Requests of one group and class.
#[derive(Debug, Clone)]
pub struct RequestStream {
    pub group: String,
    pub class: String,
    /// Adapters are named `PREFIX-N`.
    pub prefix: String,
    pub adapters: usize,
    /// Zipf exponent of the adapters' popularity; 0 makes it uniform.
    pub exponent: f64,
    /// Requests per second.
    pub rate: f64,
    pub max_tokens: u32,
    pub timeout_ms: u32,
    /// Maximum time to first token of a request that counts as within its target.
    pub first_token_target: Duration,
}

/// Open-loop load: requests are sent on schedule, independent of responses.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    pub streams: Vec<RequestStream>,
    pub span: Duration,
    /// Time at which the popularity shifts.
    pub shift: Option<Duration>,
    /// Requests sent before are checked but not measured.
    pub warm_up: Duration,
    pub seed: u64,
}

enum Event {
    Sent,
    Completed(Box<GenerateRequest>, Completion),
    Failed(Box<Failure>),
}

/// Event of a request in a stream.
struct StreamEvent {
    stream: usize,
    /// Whether the request was sent after the warm-up.
    is_measured: bool,
    event: Event,
}

/// Sends a load to the entries round-robin and checks every completion.
pub async fn run_load(clients: &[InferenceClient<Channel>], settings: &LoadSettings) -> LoadReport {
    let (tx, rx) = mpsc::unbounded_channel();
    let started = Instant::now();
    for (index, stream) in settings.streams.iter().enumerate() {
        tokio::spawn(send_stream(
            index,
            stream.clone(),
            settings.clone(),
            clients.to_vec(),
            tx.clone(),
        ));
    }
    drop(tx);
    let mut report = collect(settings, rx).await;
    report.span = started.elapsed();
    report
}

async fn send_stream(
    index: usize,
    stream: RequestStream,
    settings: LoadSettings,
    clients: Vec<InferenceClient<Channel>>,
    events: mpsc::UnboundedSender<StreamEvent>,
) {
    let seed = settings.seed.wrapping_mul(1_000).wrapping_add(index as u64);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut popularity = Popularity::new(stream.adapters, stream.exponent, seed ^ 1);
    let start = Instant::now();
    let mut at = Duration::ZERO;
    let mut has_shifted = false;
    for number in 0u64.. {
        // exponentially distributed gaps make the arrivals a Poisson process
        let uniform: f64 = rng.random::<f64>().max(f64::MIN_POSITIVE);
        at += Duration::from_secs_f64(-uniform.ln() / stream.rate);
        if at >= settings.span {
            return;
        }
        if !has_shifted && settings.shift.is_some_and(|shift| at >= shift) {
            popularity.shift();
            has_shifted = true;
        }
        sleep_until((start + at).into()).await;
        let req = GenerateRequest {
            group: stream.group.clone(),
            class: stream.class.clone(),
            adapter: format!("{}-{}", stream.prefix, popularity.draw()),
            version: 2,
            prompt: format!("request {number} of stream {index} seed {seed}"),
            max_tokens: stream.max_tokens,
            timeout_ms: stream.timeout_ms,
            ..GenerateRequest::default()
        };
        let client = clients[number as usize % clients.len()].clone();
        let to_stream_event = move |event| StreamEvent {
            stream: index,
            is_measured: at >= settings.warm_up,
            event,
        };
        // the receiver is dropped only after all senders
        let _ = events.send(to_stream_event(Event::Sent));
        tokio::spawn(send_one(client, req, events.clone(), to_stream_event));
    }
}

async fn send_one(
    mut client: InferenceClient<Channel>,
    req: GenerateRequest,
    events: mpsc::UnboundedSender<StreamEvent>,
    to_stream_event: impl Fn(Event) -> StreamEvent,
) {
    let event = match generate(&mut client, req.clone()).await {
        Ok(completion) => Event::Completed(Box::new(req), completion),
        Err(failure) => Event::Failed(failure),
    };
    let _ = events.send(to_stream_event(event));
}

async fn collect(
    settings: &LoadSettings,
    mut events: mpsc::UnboundedReceiver<StreamEvent>,
) -> LoadReport {
    let started = Instant::now();
    let mut report = LoadReport::default();
    while let Some(stream_event) = events.recv().await {
        count_outcome(&mut report, &stream_event.event);
        let stream = &settings.streams[stream_event.stream];
        let name = format!("{}/{}", stream.group, stream.class);
        let class = report.classes.entry(name).or_default();
        let now = started.elapsed();
        if now >= settings.warm_up && now <= settings.span {
            class.window_tokens += token_count(&stream_event.event);
        }
        if !stream_event.is_measured {
            continue;
        }
        match stream_event.event {
            Event::Sent => class.sent += 1,
            Event::Failed(failure) => count_failure(class, &failure),
            Event::Completed(req, completion) => {
                let is_good = check_completion(&req, &completion) == CompletionCheck::Correct;
                count_completion(class, stream, &completion, is_good);
            }
        }
    }
    report
}

fn token_count(event: &Event) -> u64 {
    match event {
        Event::Completed(_, completion) => completion.tokens.len() as u64,
        Event::Sent | Event::Failed(_) => 0,
    }
}

/// Counts wrong and unfinished completions over the whole run, including the warm-up.
fn count_outcome(report: &mut LoadReport, event: &Event) {
    match event {
        Event::Sent => report.unfinished += 1,
        Event::Failed(_) => report.unfinished -= 1,
        Event::Completed(req, completion) => {
            report.unfinished -= 1;
            match check_completion(req, completion) {
                CompletionCheck::Correct => {}
                CompletionCheck::Mismatched => report.mismatched += 1,
                CompletionCheck::Incomplete => report.incomplete += 1,
            }
        }
    }
}

fn count_completion(
    class: &mut ClassReport,
    stream: &RequestStream,
    completion: &Completion,
    is_good: bool,
) {
    if !is_good {
        return;
    }
    class.completed += 1;
    class.tokens += completion.tokens.len() as u64;
    class.within_target += u64::from(completion.time_to_first_token <= stream.first_token_target);
    // auto-resizing histograms accept all values
    let _ = class
        .first_token
        .record(completion.time_to_first_token.as_micros() as u64);
    let _ = class.total.record(completion.duration.as_micros() as u64);
}

fn count_failure(class: &mut ClassReport, failure: &Failure) {
    match failure.outcome {
        Outcome::NotRun => class.not_run += 1,
        Outcome::MayHaveRun | Outcome::Ran => class.may_have_run += 1,
    }
    *class.reasons.entry(failure.reason.clone()).or_insert(0) += 1;
    class.rejected_with_retry_after += u64::from(failure.retry_after.is_some());
    let _ = class
        .rejection_time
        .record(failure.duration.as_micros() as u64);
}
