use {
    super::{GroupClass, RefusalLabel},
    chalkcart_protocol::peer::Refusal,
    prometheus_client::{
        encoding::text::encode,
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{exponential_buckets, Histogram},
        },
        registry::Registry,
    },
    std::{hash::Hash, time::Duration},
};

type Histograms = Family<GroupClass, Histogram, fn() -> Histogram>;

const FIRST_BUCKET_SECONDS: f64 = 0.001;
const BUCKET_GROWTH: f64 = 2.0;
const BUCKET_COUNT: u16 = 16;

/// Metrics of a process about its requests, by group and class.
pub struct RequestMetrics {
    registry: Registry,
    requests: Family<GroupClass, Counter>,
    completed: Family<GroupClass, Counter>,
    tokens: Family<GroupClass, Counter>,
    refusals: Family<RefusalLabel, Counter>,
    wait: Histograms,
    load_stall: Histograms,
    first_token: Histograms,
    between_tokens: Histograms,
    batch_fill: Histogram,
    generation: Gauge,
}

impl Default for RequestMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl RequestMetrics {
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("chalkcart"),
            requests: Family::default(),
            completed: Family::default(),
            tokens: Family::default(),
            refusals: Family::default(),
            wait: new_histograms_by(),
            load_stall: new_histograms_by(),
            first_token: new_histograms_by(),
            between_tokens: new_histograms_by(),
            batch_fill: Histogram::new((1..=10).map(|step| f64::from(step) / 10.0)),
            generation: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    pub fn on_request(&self, labels: &GroupClass) {
        self.requests.get_or_create(labels).inc();
    }
    pub fn on_completed(&self, labels: &GroupClass) {
        self.completed.get_or_create(labels).inc();
    }
    pub fn on_refused(&self, refusal: &Refusal) {
        let label = RefusalLabel {
            outcome: refusal.outcome.to_string(),
            reason: refusal.reason.code().to_string(),
        };
        self.refusals.get_or_create(&label).inc();
    }
    pub fn on_wait(&self, labels: &GroupClass, wait: Duration) {
        self.wait.get_or_create(labels).observe(wait.as_secs_f64());
    }
    pub fn on_load_stall(&self, labels: &GroupClass, stall: Duration) {
        let histogram = self.load_stall.get_or_create(labels);
        histogram.observe(stall.as_secs_f64());
    }
    pub fn on_first_token(&self, labels: &GroupClass, after: Duration) {
        self.tokens.get_or_create(labels).inc();
        let histogram = self.first_token.get_or_create(labels);
        histogram.observe(after.as_secs_f64());
    }
    pub fn on_next_token(&self, labels: &GroupClass, after: Duration) {
        self.tokens.get_or_create(labels).inc();
        let histogram = self.between_tokens.get_or_create(labels);
        histogram.observe(after.as_secs_f64());
    }
    /// Observes the fraction of the engine's batch that is in use.
    pub fn on_batch(&self, running: u32, max_running: u32) {
        let fill = f64::from(running) / f64::from(max_running.max(1));
        self.batch_fill.observe(fill);
    }
    pub fn on_generation(&self, generation: u64) {
        self.generation.set(generation as i64);
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests that came in", self.requests.clone());
        registry.register(
            "completed",
            "Requests answered whole",
            self.completed.clone(),
        );
        registry.register("tokens", "Tokens passed on", self.tokens.clone());
        registry.register("refusals", "Requests refused", self.refusals.clone());
        registry.register("wait_seconds", "Time in the queue", self.wait.clone());
        registry.register(
            "load_stall_seconds",
            "Time that requests waited for an adapter to be loaded",
            self.load_stall.clone(),
        );
        registry.register(
            "first_token_seconds",
            "Time to the first token or the answer",
            self.first_token.clone(),
        );
        registry.register(
            "between_tokens_seconds",
            "Time between two tokens",
            self.between_tokens.clone(),
        );
        registry.register(
            "batch_fill",
            "Running requests as a part of the engine's batch",
            self.batch_fill.clone(),
        );
        registry.register(
            "generation",
            "Generation of the configuration in force",
            self.generation.clone(),
        );
    }
}

/// Returns a family of histograms in seconds, with any labels.
pub fn new_histograms_by<L: Clone + Eq + Hash>() -> Family<L, Histogram, fn() -> Histogram> {
    Family::new_with_constructor(new_histogram as fn() -> Histogram)
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_BUCKET_SECONDS,
        BUCKET_GROWTH,
        BUCKET_COUNT,
    ))
}
