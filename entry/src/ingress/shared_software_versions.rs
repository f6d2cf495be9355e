use {
    chalkcart_coordination::software_versions::{
        stream_memory, EarlierVersions, SoftwareVersions, VersionMix,
    },
    chalkcart_protocol::peer::VersionReport,
    chalkcart_state::{
        backends::{BackendId, BackendList, SoftwareVersion},
        ids::ServiceName,
        ingress::{Route, RouteTable},
        published::Record,
    },
    chalkcart_transport::clock,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time::timeout},
};

/// The longest known time in logs and metrics; it may be since always.
const MAX_SHOWN: Duration = Duration::from_secs(3_600);

/// The software versions that may have begun streams which are still taken up.
pub struct SharedSoftwareVersions {
    state: Mutex<State>,
    /// Whether the store's history was read, or can't be.
    is_history_read: watch::Sender<bool>,
    /// Notifies of each moment at which the list in use was the newest.
    currents: watch::Sender<()>,
}

/// What this process knows of the versions of a service, for logs and metrics.
#[derive(Debug, Default)]
pub struct KnownVersions {
    /// Those listed now or within the memory.
    versions: Vec<SoftwareVersion>,
    /// Time of which all versions are known; `None` before the first list.
    covered: Option<Duration>,
}

impl KnownVersions {
    /// Returns the versions, separated by commas.
    pub fn names(&self) -> String {
        self.versions.join(",")
    }

    /// Returns the number of versions.
    pub fn count(&self) -> usize {
        self.versions.len()
    }

    /// Returns the time of which all versions are known, an hour at most.
    fn capped(&self) -> Option<Duration> {
        self.covered.map(|time| time.min(MAX_SHOWN))
    }

    /// Returns the time of which all versions are known, in s; -1 before the first list.
    pub fn covered_s(&self) -> i64 {
        self.capped().map_or(-1, |time| time.as_secs() as i64)
    }

    /// Returns the time of which all versions are known, in ms; -1 before the first list.
    pub fn covered_ms(&self) -> i64 {
        self.capped().map_or(-1, |time| time.as_millis() as i64)
    }
}

struct State {
    versions: SoftwareVersions,
    /// The version of each back end in the list.
    listed: HashMap<BackendId, SoftwareVersion>,
    /// The longest time that one attempt of a stream may take.
    longest_attempt: Duration,
    /// The versions of each service as logged last.
    logged: HashMap<ServiceName, String>,
}

impl State {
    /// Returns the time after which no stream is taken up any more.
    fn memory(&self) -> Duration {
        stream_memory(self.longest_attempt)
    }

    /// Logs the versions of services that have changed.
    fn log_changes(&mut self) {
        let now = clock::now();
        for service in self.versions.services() {
            let versions = self.versions.versions(&service, self.memory(), now);
            let covered = self.versions.covered(&service, now);
            let known = KnownVersions { versions, covered };
            let names = known.names();
            let before = self.logged.get(&service).cloned().unwrap_or_default();
            if names == before {
                continue;
            }
            log::info!(
                service = service.as_str(),
                versions = names.as_str(),
                before = before.as_str(),
                known_ms = known.covered_ms();
                "store: software versions"
            );
            self.logged.insert(service, names);
        }
    }
}

impl SharedSoftwareVersions {
    /// `is_first_start` says that the whole fleet starts with this process, so that no other version
    /// has served.
    pub fn new(is_first_start: bool) -> Self {
        Self {
            state: Mutex::new(State {
                versions: SoftwareVersions::new(is_first_start),
                listed: HashMap::new(),
                longest_attempt: Duration::ZERO,
                logged: HashMap::new(),
            }),
            is_history_read: watch::Sender::new(false),
            currents: watch::Sender::new(()),
        }
    }

    /// Takes the records of an update, before the list that they lead to.
    pub fn on_update(&self, records: &[Record], is_full: bool) {
        let mut state = self.lock();
        state.versions.on_update(records, is_full, clock::now());
    }

    /// Applies a list.
    pub fn on_list(&self, list: &BackendList) {
        let mut state = self.lock();
        let memory = state.memory();
        state.versions.on_list(list, memory, clock::now());
        state.log_changes();
        let versions = list.iter().filter_map(|backend| {
            let version = backend.software_version.clone()?;
            Some((backend.id.clone(), version))
        });
        state.listed = versions.collect();
    }

    /// Notes that the list in use was the newest at `at`.
    pub fn on_current(&self, at: Instant) {
        self.lock().versions.on_current(at);
        self.currents.send_replace(());
    }

    /// Waits until the list in use is known to have been the newest at `at` or later, or until
    /// `max_wait` is over.
    pub async fn wait_until_current(&self, at: Instant, max_wait: Duration) {
        let mut currents = self.currents.subscribe();
        let current = async {
            while !self.lock().versions.is_current_since(at) {
                if currents.changed().await.is_err() {
                    return;
                }
            }
        };
        // whether it is current is asked again
        let _ = timeout(max_wait, current).await;
    }

    /// Takes what others report of versions.
    pub fn on_reports(&self, reports: &[VersionReport]) {
        let mut state = self.lock();
        let now = clock::now();
        for report in reports {
            state.versions.on_report(report, now);
        }
        state.log_changes();
    }

    /// Takes the versions that lists had in the time of which streams are taken up, before this
    /// process started.
    pub fn on_earlier(&self, earlier: &EarlierVersions) {
        let mut state = self.lock();
        let memory = state.memory();
        state.versions.on_earlier(earlier, memory, clock::now());
        state.log_changes();
    }

    /// Called once the store's history was read, or can't be.
    pub fn on_history_read(&self) {
        self.is_history_read.send_replace(true);
    }

    /// Waits until the store's history was read, but not for longer than `limit`.
    pub async fn wait_for_history(&self, limit: Duration) {
        let mut is_read = self.is_history_read.subscribe();
        // The sender lives as long as this value.
        let _ = timeout(limit, is_read.wait_for(|is_read| *is_read)).await;
    }

    /// Returns what this process knows of the versions of a service, for others.
    pub fn report(&self, service: &ServiceName) -> Option<VersionReport> {
        self.lock().versions.report(service, clock::now())
    }

    /// Returns the same of the services of a route.
    pub fn reports(&self, route: &Route) -> Vec<VersionReport> {
        let services = route.services.iter();
        let reports = services.filter_map(|weighted| self.report(&weighted.service));
        reports.collect()
    }

    /// Returns the same of the services of which too little is known.
    pub fn short_reports(&self) -> Vec<VersionReport> {
        let state = self.lock();
        let now = clock::now();
        let short = state.versions.not_covered(state.memory(), now);
        let reports = short.iter().filter_map(|s| state.versions.report(s, now));
        reports.collect()
    }

    /// Returns what is known of the versions of a service.
    pub fn known(&self, service: &str) -> KnownVersions {
        let state = self.lock();
        let now = clock::now();
        KnownVersions {
            versions: state.versions.versions(service, state.memory(), now),
            covered: state.versions.covered(service, now),
        }
    }

    /// Returns the services with listed back ends.
    pub fn services(&self) -> Vec<ServiceName> {
        self.lock().versions.services()
    }

    /// Returns the version of a listed back end.
    pub fn version_of(&self, backend: &BackendId) -> Option<SoftwareVersion> {
        self.lock().listed.get(backend).cloned()
    }

    pub fn on_configuration(&self, table: &RouteTable) {
        let is_stream = |route: &&Arc<Route>| route.kind.is_stream();
        let streams = table.routes().filter(is_stream);
        let longest = streams.map(|route| route.timeout).max();
        self.lock().longest_attempt = longest.unwrap_or_default();
    }

    /// Returns the time after which no stream is taken up any more.
    pub fn memory(&self) -> Duration {
        self.lock().memory()
    }

    /// Returns which versions may have begun a stream of a service that is taken up now.
    pub fn mix(&self, service: &str) -> VersionMix {
        let state = self.lock();
        state.versions.mix(service, state.memory(), clock::now())
    }

    /// Returns which versions of a service may have begun a stream that a request takes up which
    /// arrived at `arrived`.
    pub fn mix_for(&self, service: &str, arrived: Instant) -> VersionMix {
        let state = self.lock();
        let (memory, now) = (state.memory(), clock::now());
        state.versions.mix_for(service, arrived, memory, now)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No holder panics in the middle of an update.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
