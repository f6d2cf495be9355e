use {
    super::ReplyId,
    crate::slots::AdapterKey,
    chalkcart_protocol::peer::{Outcome, PermitRequest, Refusal, ReserveAnswer, WorkOrder},
    chalkcart_state::ids::{Fence, Incarnation, RequestId},
    std::{net::SocketAddr, time::Instant},
};

/// The incarnation and the fence that each order to an engine carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderFence {
    pub incarnation: Incarnation,
    pub fence: Fence,
}

/// What the sidecar must do next.
#[derive(Debug, Clone)]
pub enum SidecarAction {
    ReadEngine,
    TakeFence(OrderFence),
    Load {
        adapter: AdapterKey,
        order: OrderFence,
    },
    Unload {
        adapter: AdapterKey,
        order: OrderFence,
    },
    Run {
        work: Box<WorkOrder>,
        /// `None` for a plain service.
        order: Option<OrderFence>,
        /// The request's priority after aging, for the engine.
        priority: u8,
        /// The work is not sent after this time.
        deadline: Instant,
        arrived: Instant,
        /// Whether the request waited for the load of its adapter.
        has_stalled: bool,
    },
    /// Stop a run; `SidecarEvent::RunEnded` still follows.
    StopRun {
        request: RequestId,
    },
    Reject {
        request: RequestId,
        refusal: Refusal,
    },
    RequestPermit {
        issuer: SocketAddr,
        request: PermitRequest,
        adapter: AdapterKey,
    },
    ReturnPermit {
        issuer: SocketAddr,
        request: PermitRequest,
    },
    RespondToReserve {
        reply: ReplyId,
        response: ReserveAnswer,
    },
    RespondToCancel {
        reply: ReplyId,
        outcome: Outcome,
    },
    /// The drain is complete: nothing runs, and nothing more will start.
    Drained,
}
