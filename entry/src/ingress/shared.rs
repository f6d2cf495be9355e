use {
    super::{
        admission::Admission, control::ControlHandle, doors, load_monitor::LoadMonitor,
        run_timer::SharedRunTimes, shared_crash_registry::SharedCrashRegistry,
        shared_software_versions::SharedSoftwareVersions,
        stream_origin_exchange::StreamOriginExchange, unknown_headers::UnknownHeaders,
    },
    crate::conf::IngressSettings,
    arc_swap::ArcSwapOption,
    chalkcart_coordination::{
        dispatch::Ticket,
        drain::LastStart,
        overload::{HeldBytes, HoldingLimits},
        retry::ListPacing,
        retry_budget::BudgetUsage,
    },
    chalkcart_state::{
        accounts::AccountFingerprint,
        ingress::{Route, RouteTable},
        published::StorePosition,
    },
    chalkcart_transport::{
        clients::Holdings,
        clock,
        inbound::BulkReads,
        ingress::{Dialect, Phase},
        metrics::IngressMetrics,
        server::pages::ProcessStatus,
    },
    std::{
        collections::HashMap,
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc, Mutex, MutexGuard,
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::{watch, Notify},
        time::sleep,
    },
};

/// A deadline counts as a retry's only if it is shorter than the route's longest by more than
/// this, since the deadlines of first attempts vary slightly.
const RETRY_DETECTION_MARGIN: Duration = Duration::from_millis(40);

/// Requests wait for the first fleet-wide usage level only this long after the start.
const STARTUP_WAIT: Duration = Duration::from_millis(1_200);
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State that the tasks of the ingress share.
pub struct Shared {
    pub settings: IngressSettings,
    pub control: ControlHandle,
    /// Requests that were running when engines crashed.
    pub crashes: Arc<SharedCrashRegistry>,
    pub dialect: Arc<dyn Dialect>,
    /// The active configuration; `None` until the first one has been read.
    pub table: ArcSwapOption<RouteTable>,
    /// The store's position at which the configuration was read last.
    configuration_position: Mutex<StorePosition>,
    /// Notified when the first configuration is active.
    configured: Notify,
    pub admission: Arc<Admission>,
    pub metrics: IngressMetrics,
    /// What clients hold, at all doors.
    pub clients: Arc<Holdings>,
    /// The load of this process.
    pub load: Arc<LoadMonitor>,
    /// Memory for responses that are held until they are complete.
    pub held: HeldBytes,
    /// Turns of large responses.
    pub bulk: BulkReads,
    pub unknown_headers: UnknownHeaders,
    pub software_versions: SharedSoftwareVersions,
    pub stream_origins: StreamOriginExchange,
    pub phase: watch::Sender<Phase>,
    /// Until when this process sends requests; `None` until it is told to stop.
    pub last_start: watch::Sender<Option<LastStart>>,
    pub run_times: SharedRunTimes,
    started: Instant,
    next_ticket: AtomicU64,
    /// The longest client deadline seen on each route, by route name.
    longest_deadlines: Mutex<HashMap<String, Duration>>,
    has_backend_list: AtomicBool,
}

impl Shared {
    pub fn new(
        settings: IngressSettings,
        control: ControlHandle,
        crashes: Arc<SharedCrashRegistry>,
        dialect: Arc<dyn Dialect>,
    ) -> Self {
        let (revocation_bound, limits) = (settings.revocation_bound(), settings.limits());
        let client_bytes = settings.client_bytes();
        let clients = Holdings::new(HoldingLimits::of_bytes(client_bytes));
        let door = doors::clients(client_bytes);
        let load = Arc::new(LoadMonitor::new(clients.clone(), door));
        Self {
            admission: Arc::new(Admission::new(&settings.name, revocation_bound, limits)),
            software_versions: SharedSoftwareVersions::new(settings.first_start),
            stream_origins: StreamOriginExchange::new(control.clone(), settings.sidecar_port),
            settings,
            control,
            dialect,
            table: ArcSwapOption::empty(),
            configuration_position: Mutex::default(),
            configured: Notify::new(),
            metrics: IngressMetrics::new(&crashes.metrics, &load.metrics, &clients.metrics),
            clients,
            load,
            held: HeldBytes::default(),
            bulk: BulkReads::default(),
            unknown_headers: UnknownHeaders::default(),
            crashes,
            phase: watch::Sender::new(Phase::Serving),
            last_start: watch::Sender::new(None),
            run_times: SharedRunTimes::default(),
            longest_deadlines: Mutex::default(),
            started: clock::now(),
            next_ticket: AtomicU64::new(1),
            has_backend_list: AtomicBool::new(false),
        }
    }

    /// Activates a configuration.
    pub fn set_configuration(&self, table: Arc<RouteTable>) {
        self.table.store(Some(table));
        self.configured.notify_waiters();
    }

    pub fn set_configuration_position(&self, at: StorePosition) {
        *self.locked_position() = at;
    }

    pub fn configuration_position(&self) -> StorePosition {
        *self.locked_position()
    }

    fn locked_position(&self) -> MutexGuard<'_, StorePosition> {
        // No holder panics in the middle of an update.
        let position = self.configuration_position.lock();
        position.unwrap_or_else(|e| e.into_inner())
    }

    /// Waits until there is an active configuration and returns it.
    pub async fn configuration(&self) -> Arc<RouteTable> {
        loop {
            let configured = self.configured.notified();
            if let Some(table) = self.table.load_full() {
                return table;
            }
            configured.await;
        }
    }

    pub fn new_ticket(&self) -> Ticket {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether a request is probably a client's retry.
    ///
    /// A retry carries the rest of the client's deadline, so its deadline is shorter than the
    /// longest one seen on the route.
    pub fn is_client_retry(&self, route: &Route, deadline: Option<Duration>) -> bool {
        let Some(deadline) = deadline else {
            return false;
        };
        // No holder panics in the middle of an update.
        let deadlines = self.longest_deadlines.lock();
        let mut deadlines = deadlines.unwrap_or_else(|e| e.into_inner());
        let longest = deadlines.entry(route.name.clone()).or_default();
        *longest = (*longest).max(deadline);
        deadline + RETRY_DETECTION_MARGIN < *longest
    }

    /// Waits, shortly after the start only, until the fleet's demand for an account is known.
    ///
    /// An entry that has just started does not know how much of the account's limit the others
    /// use, and would reject requests that are below the limit.
    pub async fn wait_for_fleet_demand(&self, account: AccountFingerprint) {
        while self.settings.mechanisms.shared_limits
            && clock::elapsed(self.started) < STARTUP_WAIT
            && !self.knows_fleet_demand(account)
        {
            sleep(STARTUP_POLL_INTERVAL).await;
        }
    }

    fn knows_fleet_demand(&self, account: AccountFingerprint) -> bool {
        let limits = self.admission.limits();
        limits.knows_fleet_demand(account, clock::now())
    }

    pub fn list_pacing(&self) -> ListPacing {
        ListPacing {
            drain: Duration::from_millis(self.settings.drain_ms),
            store_reads_per_s: self.settings.store_reads_per_s,
        }
    }

    pub fn set_has_backend_list(&self) {
        self.has_backend_list.store(true, Ordering::Relaxed);
    }

    pub fn has_backend_list(&self) -> bool {
        self.has_backend_list.load(Ordering::Relaxed)
    }

    /// Returns whether the platform may route clients to this process.
    fn may_accept_clients(&self) -> bool {
        let table = self.table.load();
        let needs_keys = table.as_ref().is_some_and(|t| t.accounts.is_some());
        if needs_keys && !self.admission.is_config_current() {
            return false;
        }
        let is_configured = table.is_some() && self.has_backend_list();
        let can_decide = !self.control.end().has_ended() && self.control.can_reach_backends();
        is_configured && can_decide && *self.phase.borrow() == Phase::Serving
    }
}

impl Shared {
    fn export_software_versions(&self) {
        for service in self.software_versions.services() {
            let known = self.software_versions.known(&service);
            let metrics = &self.metrics.software_versions;
            metrics.set(&service, known.count(), known.covered_s());
        }
    }
}

impl ProcessStatus for Shared {
    fn metrics_text(&self) -> String {
        self.metrics.on_waiting(self.control.waiting_count());
        let engines = self.control.measured_engines();
        self.metrics
            .on_engine_performance(engines.measured, engines.slow);
        for (service, usage) in self.control.budget_usages().iter() {
            self.metrics
                .retry_budgets
                .set(service, &metric_parts(usage));
            let known = (usage.known.entries, usage.known.age_s);
            self.metrics.retry_budgets.set_entries(usage.entries, known);
        }
        self.export_software_versions();
        self.metrics.text()
    }
    fn is_ready(&self) -> bool {
        self.may_accept_clients()
    }
}

/// Returns the parts of a retry budget's usage as metrics name them.
fn metric_parts(usage: &BudgetUsage) -> [(&'static str, u32); 5] {
    [
        ("requests", usage.requests),
        ("repeats", usage.retries),
        ("reserved", usage.reserved),
        ("unanswered", usage.unanswered),
        ("may_be_read", usage.may_be_read),
    ]
}
