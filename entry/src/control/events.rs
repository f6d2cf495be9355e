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

/// The state of a target, for operators.
#[derive(Debug, Clone)]
pub struct TargetSummary {
    pub listed: FleetBox,
    pub is_leaving: bool,
    pub is_suspect: bool,
    pub report: Option<TargetReport>,
    pub report_age: Option<Duration>,
}

/// An event for the control thread. Requests carry the channel for their reply.
pub enum EntryEvent {
    RequestArrived,
    Route {
        request: RouteRequest,
        reply: oneshot::Sender<Option<Route>>,
    },
    /// Looks up a target by its name, for a reserved id.
    FindTarget {
        target: BoxName,
        reply: oneshot::Sender<Option<FleetBox>>,
    },
    TryTakeRetry {
        reply: oneshot::Sender<bool>,
    },
    ReportReceived(TargetReport),
    /// A target sent no frame in time or could not be reached.
    TargetUnresponsive(BoxName),
    /// An attempt at this target ended.
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
