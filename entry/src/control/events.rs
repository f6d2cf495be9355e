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
pub struct TargetRow {
    pub listed: FleetBox,
    pub leaving: bool,
    pub suspect: bool,
    pub report: Option<TargetReport>,
    pub heard_ago: Option<Duration>,
}

/// what happens to an entry; questions carry where the answer goes
pub enum EntryEvent {
    /// a request came in
    Requested,
    Route {
        ask: RouteRequest,
        answer: oneshot::Sender<Option<Route>>,
    },
    /// where a target with a reserved id listens
    Find {
        target: BoxName,
        answer: oneshot::Sender<Option<FleetBox>>,
    },
    TakeRetry {
        answer: oneshot::Sender<bool>,
    },
    Reported(TargetReport),
    /// a target gave no sign of life
    Silent(BoxName),
    /// an attempt at a target is over
    Ended(BoxName),
    Listed(Arc<FleetList>),
    StoreLimits {
        loads_per_second: u32,
        loads_at_once: u32,
    },
    Permit {
        ask: PermitRequest,
        answer: oneshot::Sender<PermitResponse>,
    },
    Plan {
        ask: RouteRequest,
        answer: oneshot::Sender<Vec<Route>>,
    },
    Status {
        answer: oneshot::Sender<Vec<TargetRow>>,
    },
}
