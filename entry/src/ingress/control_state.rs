use {
    arc_swap::ArcSwap,
    chalkcart_coordination::{
        dispatch::MeasuredEngines, retry_budget::BudgetUsage, software_versions::ListedEngines,
    },
    chalkcart_state::ids::ServiceName,
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, AtomicU32, AtomicUsize},
            Mutex,
        },
    },
};

/// State that the control thread publishes for other threads.
#[derive(Debug)]
pub(super) struct ControlState {
    /// Whether any back end was reachable recently.
    pub can_reach_backends: AtomicBool,
    /// Number of requests queued for a back end.
    pub waiting_count: AtomicUsize,
    pub measured_engines: ArcSwap<MeasuredEngines>,
    /// Usage of each service's retry budget, as of the last second.
    pub budget_usages: ArcSwap<Vec<(ServiceName, BudgetUsage)>>,
    /// Number of entries as reported by sidecars; 0 before the first report.
    pub entry_count: AtomicU32,
    /// Addresses of the listed engines.
    pub engines: ArcSwap<Vec<SocketAddr>>,
    /// The same by whether they are leaving.
    pub listed_engines: ArcSwap<ListedEngines>,
    /// Engines whose sidecars were lost, until they are taken.
    pub lost_sidecars: Mutex<HashSet<SocketAddr>>,
}

impl Default for ControlState {
    fn default() -> Self {
        Self {
            can_reach_backends: AtomicBool::new(true),
            waiting_count: AtomicUsize::default(),
            measured_engines: ArcSwap::default(),
            budget_usages: ArcSwap::default(),
            entry_count: AtomicU32::default(),
            engines: ArcSwap::default(),
            listed_engines: ArcSwap::default(),
            lost_sidecars: Mutex::default(),
        }
    }
}
