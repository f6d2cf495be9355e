use {
    super::{
        admission::Admission, control::ControlHandle, crashes::Crashes,
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
    pub crashes: Arc<Crashes>,
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
    knows_backends: AtomicBool,
}

impl Shared {
    pub fn new(
        settings: IngressSettings,
        control: ControlHandle,
        crashes: Arc<Crashes>,
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
            knows_backends: AtomicBool::new(false),
        }
    }

    pub fn new_ticket(&self) -> Ticket {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }
    /// whether a request came before, and this is a later try of its client:
    /// then its client waits less than others of the route
    pub fn has_returned(&self, route: &Route, deadline: Option<Duration>) -> bool {
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
    pub async fn wait_for_keeper(&self, account: AccountFingerprint) {
        while self.settings.mechanisms.shared_limits
            && clock::elapsed(self.started) < FIRST_WORD
            && !self.knows_asked(account)
        {
            sleep(LOOK_FOR_KEEPER).await;
        }
    }
    fn knows_asked(&self, account: AccountFingerprint) -> bool {
        let limits = self.admission.limits();
        limits.knows_fleet_demand(account, clock::now())
    }
    pub fn list_pacing(&self) -> ListPacing {
        ListPacing {
            drain: Duration::from_millis(self.settings.drain_ms),
            store_reads_per_s: self.settings.store_reads_per_s,
        }
    }
    pub fn set_knows_backends(&self) {
        self.knows_backends.store(true, Ordering::Relaxed);
    }
    /// whether the platform may send clients here
    fn may_take_clients(&self) -> bool {
        let table = self.table.load();
        let needs_keys = table.as_ref().is_some_and(|t| t.accounts.is_some());
        if needs_keys && !self.admission.is_current() {
            return false;
        }
        let knows = table.is_some() && self.knows_backends.load(Ordering::Relaxed);
        knows && self.control.reaches_backends() && *self.phase.borrow() == Phase::Serving
    }
}

impl ProcessStatus for Shared {
    fn metrics_text(&self) -> String {
        self.metrics.on_waiting(self.control.waiting());
        self.metrics.text()
    }
    fn is_ready(&self) -> bool {
        self.may_take_clients()
    }
}
