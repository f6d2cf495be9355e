use {
    chalkcart_coordination::routing::{Route, RouteRequest},
    chalkcart_protocol::peer::{PermitRequest, PermitResponse, TargetReport},
    chalkcart_state::{
        fleet::{FleetBox, FleetList},
        ids::BoxName,
    },
    std::{sync::Arc, time::Duration},
    tokio::sync::oneshot,
};

/// one target, for operators
#[derive(Debug, Clone)]
pub struct TargetSummary {
    pub listed: FleetBox,
    pub is_leaving: bool,
    pub is_suspect: bool,
    pub report: Option<TargetReport>,
    pub report_age: Option<Duration>,
}

/// what happens to an entry; questions carry where the answer goes
pub enum EntryEvent {
    /// a request came in
    RequestArrived,
    Route {
        request: RouteRequest,
        reply: oneshot::Sender<Option<Route>>,
    },
    /// where a target with a reserved id listens
    FindTarget {
        target: BoxName,
        reply: oneshot::Sender<Option<FleetBox>>,
    },
    TryTakeRetry {
        reply: oneshot::Sender<bool>,
    },
    ReportReceived(TargetReport),
    /// a target gave no sign of life
    TargetUnresponsive(BoxName),
    /// an attempt at a target is over
    RequestEnded(BoxName),
    ListUpdated(Arc<FleetList>),
    StoreLimitsUpdated {
        loads_per_second: u32,
        loads_at_once: u32,
    },
    Permit {
        request: PermitRequest,
        reply: oneshot::Sender<PermitResponse>,
    },
    Plan {
        request: RouteRequest,
        reply: oneshot::Sender<Vec<Route>>,
    },
    TargetSummaries {
        reply: oneshot::Sender<Vec<TargetSummary>>,
    },
}
