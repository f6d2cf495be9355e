use {
    super::{
        bounded_names::BoundedNames, new_histograms_by, ClientMetrics, CrashMetrics, LoadMetrics,
        RetryBudgetMetrics, VersionMetrics,
    },
    chalkcart_protocol::wire::WireVersion,
    chalkcart_state::published::StorePosition,
    prometheus_client::{
        encoding::{text::encode, EncodeLabelSet},
        metrics::{
            counter::Counter, family::Family, gauge::Gauge, histogram::Histogram, info::Info,
        },
        registry::Registry,
    },
    std::time::Duration,
};

/// The route of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabel {
    pub route: String,
}

/// The route of a request and the status of its response.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResponseLabel {
    pub route: String,
    pub status: u16,
}

/// A rejected client account, and whether the aggregator's limit level was known.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AccountLabel {
    pub account: String,
    pub by_word: u8,
}

/// The name of a client account.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AccountNameLabel {
    pub account: String,
}

/// The name of a header.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct HeaderLabel {
    pub header: String,
}

/// The number of accounts with a label value of their own.
const MAX_ACCOUNTS: usize = 64;
/// The number of header names with a label value of their own.
const MAX_HEADERS: usize = 32;

/// The code of an event.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CodeLabel {
    pub code: &'static str,
}

/// How a back end's response ended: its outcome, what its framing is, what ended it, where in its
/// events, and how it was passed on.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BodyEndLabel {
    pub end: &'static str,
    /// `none` if its head did not arrive.
    pub framing: &'static str,
    pub cause: &'static str,
    pub position: &'static str,
    /// `streamed` as it arrived, or `held` until it was complete.
    pub passed: &'static str,
}

type Histograms = Family<RouteLabel, Histogram, fn() -> Histogram>;

/// Metrics of an ingress about its requests.
pub struct IngressMetrics {
    registry: Registry,
    responses: Family<ResponseLabel, Counter>,
    refusals: Family<CodeLabel, Counter>,
    stream_pacing: Family<CodeLabel, Counter>,
    sends: Family<CodeLabel, Counter>,
    backend_signals: Family<CodeLabel, Counter>,
    resumptions: Family<CodeLabel, Counter>,
    body_ends: Family<BodyEndLabel, Counter>,
    take_ups: Family<CodeLabel, Counter>,
    origins_told: Family<CodeLabel, Counter>,
    retries: Counter,
    pub retry_budgets: RetryBudgetMetrics,
    pub software_versions: VersionMetrics,
    removed_headers: Counter,
    unreadable: Family<CodeLabel, Counter>,
    over_limit: Family<AccountLabel, Counter>,
    outside_regions: Family<AccountNameLabel, Counter>,
    beyond_share: Family<AccountNameLabel, Counter>,
    unknown_headers: Family<HeaderLabel, Counter>,
    account_names: BoundedNames,
    header_names: BoundedNames,
    aggregator_entries: Gauge,
    fleet_entries: Gauge,
    knowledge_age: Histograms,
    wait: Histograms,
    first_part: Histograms,
    pause: Histograms,
    configuration: Gauge,
    list: Gauge,
    store_era: Gauge,
    waiting: Gauge,
    measured_engines: Gauge,
    slow_engines: Gauge,
}

impl IngressMetrics {
    pub fn new(crashes: &CrashMetrics, load: &LoadMetrics, clients: &ClientMetrics) -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("chalkcart_ingress"),
            responses: Family::default(),
            refusals: Family::default(),
            stream_pacing: Family::default(),
            sends: Family::default(),
            backend_signals: Family::default(),
            resumptions: Family::default(),
            body_ends: Family::default(),
            take_ups: Family::default(),
            origins_told: Family::default(),
            retries: Counter::default(),
            retry_budgets: RetryBudgetMetrics::default(),
            software_versions: VersionMetrics::default(),
            removed_headers: Counter::default(),
            unreadable: Family::default(),
            over_limit: Family::default(),
            outside_regions: Family::default(),
            beyond_share: Family::default(),
            unknown_headers: Family::default(),
            account_names: BoundedNames::new(MAX_ACCOUNTS),
            header_names: BoundedNames::new(MAX_HEADERS),
            aggregator_entries: Gauge::default(),
            fleet_entries: Gauge::default(),
            knowledge_age: new_histograms_by(),
            wait: new_histograms_by(),
            first_part: new_histograms_by(),
            pause: new_histograms_by(),
            configuration: Gauge::default(),
            list: Gauge::default(),
            store_era: Gauge::default(),
            waiting: Gauge::default(),
            measured_engines: Gauge::default(),
            slow_engines: Gauge::default(),
        };
        metrics.register();
        let build = [
            ("version", env!("CARGO_PKG_VERSION").to_string()),
            ("wire_version", WireVersion::CURRENT.to_string()),
        ];
        let build = Info::new(build.to_vec());
        metrics
            .registry
            .register("build", "The build that runs", build);
        crashes.register(&mut metrics.registry);
        load.register(&mut metrics.registry);
        clients.register(&mut metrics.registry);
        metrics.retry_budgets.register(&mut metrics.registry);
        metrics.software_versions.register(&mut metrics.registry);
        metrics
    }

    /// Counts a response to a client; a stream is counted when it starts.
    pub fn on_response(&self, route: &str, status: u16) {
        let route = route.to_string();
        let label = ResponseLabel { route, status };
        self.responses.get_or_create(&label).inc();
    }
    pub fn on_refused(&self, code: &'static str) {
        self.refusals.get_or_create(&CodeLabel { code }).inc();
    }
    /// Counts a decision on a stream with a gap objective, by its outcome.
    pub fn on_stream_paced(&self, code: &'static str) {
        self.stream_pacing.get_or_create(&CodeLabel { code }).inc();
    }
    /// Counts a request sent to a back end, and observes how long it waited before.
    pub fn on_sent(&self, route: &str, waited: Duration, is_retry: bool) {
        observe(&self.wait, route, waited);
        if is_retry {
            self.retries.inc();
        }
    }
    /// Counts a stream that was cut, by whether it was resumed or the cause why not.
    pub fn on_resumption(&self, code: &'static str) {
        self.resumptions.get_or_create(&CodeLabel { code }).inc();
    }
    /// Counts the end of a back end's response.
    pub fn on_body_end(&self, label: BodyEndLabel) {
        self.body_ends.get_or_create(&label).inc();
    }
    /// Counts a stream that its client takes up, by where it may go on.
    pub fn on_take_up(&self, code: &'static str) {
        self.take_ups.get_or_create(&CodeLabel { code }).inc();
    }
    /// Counts the origins of streams that a sidecar was to keep, by the outcome.
    pub fn on_origins_told(&self, code: &'static str, origins: usize) {
        let told = self.origins_told.get_or_create(&CodeLabel { code });
        told.inc_by(origins as u64);
    }
    /// Counts headers that were removed from a client's request.
    pub fn on_headers_removed(&self, headers: usize) {
        self.removed_headers.inc_by(headers as u64);
    }
    /// Counts a record of the platform's store that could not be decoded.
    pub fn on_unreadable(&self, code: &'static str) {
        self.unreadable.get_or_create(&CodeLabel { code }).inc();
    }
    /// Counts a request above its account's limit, by whether the aggregator's limit level was
    /// known.
    pub fn on_over_limit(&self, account: &str, is_level_known: bool) {
        let account = self.account_names.label_for(account);
        let by_word = u8::from(is_level_known);
        let label = AccountLabel { account, by_word };
        self.over_limit.get_or_create(&label).inc();
    }
    /// Counts a request beyond its account's share of the fleet.
    pub fn on_beyond_share(&self, account: &str) {
        let account = self.account_names.label_for(account);
        let label = AccountNameLabel { account };
        self.beyond_share.get_or_create(&label).inc();
    }
    /// Counts a back end's response header that this build does not know, and returns whether
    /// it has a label value of its own.
    pub fn on_unknown_header(&self, name: &str) -> bool {
        let header = self.header_names.label_for(name);
        let is_named = header == name;
        let label = HeaderLabel { header };
        self.unknown_headers.get_or_create(&label).inc();
        is_named
    }
    /// Counts a request of an account for which no allowed region had a back end.
    pub fn on_outside_regions(&self, account: &str) {
        let account = self.account_names.label_for(account);
        let label = AccountNameLabel { account };
        self.outside_regions.get_or_create(&label).inc();
    }
    /// Observes the ages of the configuration and of the aggregator's limit level that a
    /// decision was based on.
    pub fn on_decision_inputs(&self, configuration: Option<Duration>, limit: Option<Duration>) {
        for (input, age) in [("configuration", configuration), ("limit", limit)] {
            if let Some(age) = age {
                observe(&self.knowledge_age, input, age);
            }
        }
    }
    /// Records the number of entries that report to the usage aggregator, and of all entries of
    /// the fleet.
    pub fn on_usage_response(&self, reporting_entries: u32, fleet_entries: u32) {
        self.aggregator_entries.set(i64::from(reporting_entries));
        self.fleet_entries.set(i64::from(fleet_entries));
    }
    pub fn on_send_ended(&self, code: &'static str) {
        self.sends.get_or_create(&CodeLabel { code }).inc();
    }
    /// Counts a signal in the head of a back end's response.
    pub fn on_backend_signal(&self, code: &'static str) {
        self.backend_signals
            .get_or_create(&CodeLabel { code })
            .inc();
    }
    /// Observes the time to the first part of a stream, or to the end of another response.
    pub fn on_first_part(&self, route: &str, after: Duration) {
        observe(&self.first_part, route, after);
    }
    /// Observes the longest pause between two parts of a stream.
    pub fn on_pause(&self, route: &str, pause: Duration) {
        observe(&self.pause, route, pause);
    }
    pub fn on_configuration(&self, generation: u64) {
        self.configuration.set(generation as i64);
    }
    /// Records the position of the store at which the list was read.
    pub fn on_list(&self, at: StorePosition) {
        self.list.set(at.revision as i64);
        self.store_era.set(at.era as i64);
    }
    pub fn on_waiting(&self, requests: usize) {
        self.waiting.set(requests as i64);
    }

    /// Records the number of engines whose sidecars report how fast they are, and of those among
    /// them that are slow.
    pub fn on_engine_performance(&self, measured: u32, slow: u32) {
        self.measured_engines.set(i64::from(measured));
        self.slow_engines.set(i64::from(slow));
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
        let responses = self.responses.clone();
        registry.register(
            "answers",
            "Requests answered, by route and status",
            responses,
        );
        let resumptions = self.resumptions.clone();
        registry.register(
            "resumptions",
            "Streams that were cut, by outcome: resumed, or the cause why not",
            resumptions,
        );
        registry.register(
            "body_ends",
            "Responses of back ends, by how they ended, their framing, what ended them and where in \
             their events",
            self.body_ends.clone(),
        );
        registry.register(
            "take_ups",
            "Streams that clients take up, by where they may go on",
            self.take_ups.clone(),
        );
        registry.register(
            "origins_told",
            "Sidecars that were to keep which software version began a stream, by outcome",
            self.origins_told.clone(),
        );
        let refusals = self.refusals.clone();
        registry.register("refusals", "Requests refused, by cause", refusals);
        registry.register(
            "stream_pacing",
            "Decisions on streams with a gap objective, by outcome",
            self.stream_pacing.clone(),
        );
        let sends = self.sends.clone();
        registry.register("sends", "Sends to back ends, by outcome", sends);
        registry.register(
            "backend_words",
            "Answers in which back ends say that they leave, or ask for rest",
            self.backend_signals.clone(),
        );
        let retries = self.retries.clone();
        registry.register("repeats", "Sends beyond the first of a request", retries);
        let removed_headers = self.removed_headers.clone();
        registry.register(
            "withheld_headers",
            "Headers of clients not passed on",
            removed_headers,
        );
        registry.register(
            "unreadable_records",
            "Records of the platform's store that can't be read, by cause",
            self.unreadable.clone(),
        );
        registry.register(
            "over_limit",
            "Requests refused beyond their account's limit",
            self.over_limit.clone(),
        );
        registry.register(
            "beyond_share",
            "Requests beyond their account's share of the fleet, by account",
            self.beyond_share.clone(),
        );
        registry.register(
            "unknown_headers",
            "Answers of back ends with a header that this build does not know, by its name",
            self.unknown_headers.clone(),
        );
        registry.register(
            "outside_regions",
            "Requests refused, as no region allowed to them had a back end",
            self.outside_regions.clone(),
        );
        registry.register(
            "limit_keeper_entries",
            "Entries that the keeper of limits hears",
            self.aggregator_entries.clone(),
        );
        registry.register(
            "limit_fleet_entries",
            "Entries of the fleet, as the limits are shared",
            self.fleet_entries.clone(),
        );
        registry.register(
            "knowledge_age_seconds",
            "Age of what a request was judged by: configuration, limit",
            self.knowledge_age.clone(),
        );
        let wait = self.wait.clone();
        registry.register("wait_seconds", "Time from arrival to a send", wait);
        let first_part = self.first_part.clone();
        registry.register(
            "first_part_seconds",
            "Time from arrival to the first part of the answer",
            first_part,
        );
        let pause = self.pause.clone();
        registry.register("pause_seconds", "Longest pause within a stream", pause);
        let configuration = self.configuration.clone();
        registry.register("configuration", "Configuration in force", configuration);
        let list = self.list.clone();
        registry.register("list", "Version of the list of back ends", list);
        registry.register(
            "store_era",
            "Era of the store in which the list was read",
            self.store_era.clone(),
        );
        let waiting = self.waiting.clone();
        registry.register("waiting", "Requests that wait for a back end", waiting);
        registry.register(
            "measured_engines",
            "Engines whose sidecars report how fast they are",
            self.measured_engines.clone(),
        );
        registry.register(
            "slow_engines",
            "Engines that take twice as long as the median of their service",
            self.slow_engines.clone(),
        );
    }
}

fn observe(histograms: &Histograms, route: &str, value: Duration) {
    let route = route.to_string();
    let histogram = histograms.get_or_create(&RouteLabel { route });
    histogram.observe(value.as_secs_f64());
}
