use {
    super::ReplyId,
    crate::slots::AdapterKey,
    chalkcart_protocol::peer::{Outcome, PermitAsk, Refusal, ReserveAnswer, WorkOrder},
    chalkcart_state::ids::{Fence, Incarnation, RequestId},
    std::{net::SocketAddr, time::Instant},
};

/// what each order to an engine carries
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderFence {
    pub incarnation: Incarnation,
    pub fence: Fence,
}

/// what a sidecar does next
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
        /// none for a plain service
        order: Option<OrderFence>,
        /// aged priority, for the engine
        priority: u8,
        /// not sent after this
        deadline: Instant,
        /// when the request came in
        arrived: Instant,
        /// it waited for a load
        has_stalled: bool,
    },
    /// stop a run; its end is still awaited
    StopRun {
        request: RequestId,
    },
    Reject {
        request: RequestId,
        refusal: Refusal,
    },
    RequestPermit {
        issuer: SocketAddr,
        request: PermitAsk,
        adapter: AdapterKey,
    },
    ReturnPermit {
        issuer: SocketAddr,
        request: PermitAsk,
    },
    RespondToReserve {
        reply: ReplyId,
        response: ReserveAnswer,
    },
    RespondToCancel {
        reply: ReplyId,
        outcome: Outcome,
    },
    /// nothing runs and nothing will
    Drained,
}
