use {
    super::{
        admission::Admission, control::ControlHandle, shared_crash_registry::SharedCrashRegistry,
        unknown_headers::UnknownHeaders,
    },
    crate::conf::IngressSettings,
    arc_swap::ArcSwapOption,
    chalkcart_coordination::{dispatch::Ticket, retry::ListPacing},
    chalkcart_state::{
        accounts::AccountFingerprint,
        ingress::{Route, RouteTable},
    },
    chalkcart_transport::{
        clock,
        ingress::{Dialect, Phase},
        metrics::IngressMetrics,
        server::pages::ProcessStatus,
    },
    std::{
        collections::HashMap,
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc, Mutex,
        },
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time::sleep},
};

/// a first try's time may be shorter by this much
const RETURN_MARGIN: Duration = Duration::from_millis(40);

/// time from the start in which requests wait for the first word of a keeper
const FIRST_WORD: Duration = Duration::from_millis(1_200);
const LOOK_FOR_KEEPER: Duration = Duration::from_millis(20);

/// what the tasks of the ingress share
pub struct Shared {
    pub settings: IngressSettings,
    pub control: ControlHandle,
    /// requests under which engines ended
    pub crashes: Arc<SharedCrashRegistry>,
    pub dialect: Arc<dyn Dialect>,
    /// the configuration in force, none before the first was read
    pub table: ArcSwapOption<RouteTable>,
    pub admission: Arc<Admission>,
    pub metrics: IngressMetrics,
    pub unknown_headers: UnknownHeaders,
    pub phase: watch::Sender<Phase>,
    started: Instant,
    next_ticket: AtomicU64,
    /// the longest time that clients of a route wait
    patience: Mutex<HashMap<String, Duration>>,
    has_backend_list: AtomicBool,
}

impl Shared {
    pub fn new(
        settings: IngressSettings,
        control: ControlHandle,
        crashes: Arc<SharedCrashRegistry>,
        dialect: Arc<dyn Dialect>,
    ) -> Self {
        let (within, limits) = (settings.revoked_within(), settings.limits());
        Self {
            admission: Arc::new(Admission::new(&settings.name, within, limits)),
            settings,
            control,
            dialect,
            table: ArcSwapOption::empty(),
            metrics: IngressMetrics::new(&crashes.metrics),
            unknown_headers: UnknownHeaders::default(),
            crashes,
            phase: watch::Sender::new(Phase::Serving),
            patience: Mutex::default(),
            started: clock::now(),
            next_ticket: AtomicU64::new(1),
            has_backend_list: AtomicBool::new(false),
        }
    }

    pub fn new_ticket(&self) -> Ticket {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }
    /// whether a request came before, and this is a later try of its client:
    /// then its client waits less than others of the route
    pub fn is_client_retry(&self, route: &Route, deadline: Option<Duration>) -> bool {
        let Some(deadline) = deadline else {
            return false;
        };
        // no holder panics halfway through a change
        let mut patience = self.patience.lock().unwrap_or_else(|e| e.into_inner());
        let longest = patience.entry(route.name.clone()).or_default();
        *longest = (*longest).max(deadline);
        deadline + RETURN_MARGIN < *longest
    }
    /// An entry that has just started does not know what others let run, nor what they
    /// are asked for. A short wait for the keeper's word beats refusing what may run:
    /// after all machines lost power 200 to 500 requests below their limits were refused
    /// without it.
    pub async fn wait_for_fleet_demand(&self, account: AccountFingerprint) {
        while self.settings.mechanisms.shared_limits
            && clock::elapsed(self.started) < FIRST_WORD
            && !self.knows_fleet_demand(account)
        {
            sleep(LOOK_FOR_KEEPER).await;
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
    /// whether the platform may send clients here
    fn may_accept_clients(&self) -> bool {
        let table = self.table.load();
        let needs_keys = table.as_ref().is_some_and(|t| t.accounts.is_some());
        if needs_keys && !self.admission.is_config_current() {
            return false;
        }
        let knows = table.is_some() && self.has_backend_list.load(Ordering::Relaxed);
        knows && self.control.can_reach_backends() && *self.phase.borrow() == Phase::Serving
    }
}

impl ProcessStatus for Shared {
    fn metrics_text(&self) -> String {
        self.metrics.on_waiting(self.control.waiting_count());
        self.metrics.text()
    }
    fn is_ready(&self) -> bool {
        self.may_accept_clients()
    }
}
