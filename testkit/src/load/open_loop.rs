use {
    super::{
        check_answer, generate, report::LoadReport, Answer, ClassReport, Failure, Popularity,
        Verdict,
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

/// requests of one group and class
#[derive(Debug, Clone)]
pub struct Stream {
    pub group: String,
    pub class: String,
    /// adapter names are PREFIX-N
    pub prefix: String,
    pub adapters: usize,
    /// how fast popularity falls with the rank; 0 makes all alike
    pub exponent: f64,
    /// requests a second
    pub rate: f64,
    pub max_tokens: u32,
    pub timeout_ms: u32,
    /// an answer counts as in time if its first token came by then
    pub in_time: Duration,
}

/// an open-loop load: requests leave on schedule, whatever the answers do
#[derive(Debug, Clone)]
pub struct LoadSettings {
    pub streams: Vec<Stream>,
    pub span: Duration,
    /// when popularity shifts
    pub shift: Option<Duration>,
    /// requests sent before are checked but not counted
    pub warm_up: Duration,
    pub seed: u64,
}

enum Event {
    Sent,
    Answered(Box<GenerateRequest>, Answer),
    Failed(Box<Failure>),
}

/// what happened to a request of a stream
struct Noted {
    stream: usize,
    /// it was sent after the warm-up
    counted: bool,
    event: Event,
}

/// run a load over the entries in turn, and check every answer
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
    stream: Stream,
    settings: LoadSettings,
    clients: Vec<InferenceClient<Channel>>,
    events: mpsc::UnboundedSender<Noted>,
) {
    let seed = settings.seed.wrapping_mul(1_000).wrapping_add(index as u64);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut popularity = Popularity::new(stream.adapters, stream.exponent, seed ^ 1);
    let start = Instant::now();
    let mut at = Duration::ZERO;
    let mut shifted = false;
    for number in 0u64.. {
        // exponential gaps make arrivals a Poisson process
        let uniform: f64 = rng.random::<f64>().max(f64::MIN_POSITIVE);
        at += Duration::from_secs_f64(-uniform.ln() / stream.rate);
        if at >= settings.span {
            return;
        }
        if !shifted && settings.shift.is_some_and(|shift| at >= shift) {
            popularity.shift();
            shifted = true;
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
        let noted = move |event| Noted {
            stream: index,
            counted: at >= settings.warm_up,
            event,
        };
        // the collector lives until all senders are gone
        let _ = events.send(noted(Event::Sent));
        tokio::spawn(send_one(client, req, events.clone(), noted));
    }
}

async fn send_one(
    mut client: InferenceClient<Channel>,
    req: GenerateRequest,
    events: mpsc::UnboundedSender<Noted>,
    noted: impl Fn(Event) -> Noted,
) {
    let event = match generate(&mut client, req.clone()).await {
        Ok(answer) => Event::Answered(Box::new(req), answer),
        Err(failure) => Event::Failed(failure),
    };
    let _ = events.send(noted(event));
}

async fn collect(
    settings: &LoadSettings,
    mut events: mpsc::UnboundedReceiver<Noted>,
) -> LoadReport {
    let started = Instant::now();
    let mut report = LoadReport::default();
    while let Some(noted) = events.recv().await {
        check(&mut report, &noted.event);
        let stream = &settings.streams[noted.stream];
        let name = format!("{}/{}", stream.group, stream.class);
        let class = report.classes.entry(name).or_default();
        let now = started.elapsed();
        if now >= settings.warm_up && now <= settings.span {
            class.window_tokens += tokens_of(&noted.event);
        }
        if !noted.counted {
            continue;
        }
        match noted.event {
            Event::Sent => class.sent += 1,
            Event::Failed(failure) => count_failure(class, &failure),
            Event::Answered(req, answer) => {
                let is_good = check_answer(&req, &answer) == Verdict::Good;
                count_answer(class, stream, &answer, is_good);
            }
        }
    }
    report
}

fn tokens_of(event: &Event) -> u64 {
    match event {
        Event::Answered(_, answer) => answer.tokens.len() as u64,
        Event::Sent | Event::Failed(_) => 0,
    }
}

/// bad outcomes are counted over the whole run, the warm-up included
fn check(report: &mut LoadReport, event: &Event) {
    match event {
        Event::Sent => report.open += 1,
        Event::Failed(_) => report.open -= 1,
        Event::Answered(req, answer) => {
            report.open -= 1;
            match check_answer(req, answer) {
                Verdict::Good => {}
                Verdict::Wrong => report.wrong += 1,
                Verdict::CutOff => report.cut_off += 1,
            }
        }
    }
}

fn count_answer(class: &mut ClassReport, stream: &Stream, answer: &Answer, is_good: bool) {
    if !is_good {
        return;
    }
    class.completed += 1;
    class.tokens += answer.tokens.len() as u64;
    class.in_time += u64::from(answer.first_token <= stream.in_time);
    // the histograms grow with their values
    let _ = class
        .first_token
        .record(answer.first_token.as_micros() as u64);
    let _ = class.total.record(answer.took.as_micros() as u64);
}

fn count_failure(class: &mut ClassReport, failure: &Failure) {
    match failure.outcome {
        Outcome::NotRun => class.not_run += 1,
        Outcome::MayHaveRun | Outcome::Ran => class.may_have_run += 1,
    }
    *class.reasons.entry(failure.reason.clone()).or_insert(0) += 1;
    class.refused_with_retry_after += u64::from(failure.retry_after.is_some());
    let _ = class.refused_after.record(failure.took.as_micros() as u64);
}
