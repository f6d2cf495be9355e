use {
    super::Ticket,
    crate::slots::AdapterKey,
    chalkcart_protocol::peer::{Outcome, PermitRequest, Refusal, ReserveAnswer, WorkOrder},
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
        stalled: bool,
    },
    /// stop a run; its end is still awaited
    StopRun {
        request: RequestId,
    },
    Refuse {
        request: RequestId,
        refusal: Refusal,
    },
    AskPermit {
        giver: SocketAddr,
        ask: PermitRequest,
        adapter: AdapterKey,
    },
    ReturnPermit {
        giver: SocketAddr,
        ask: PermitRequest,
    },
    AnswerReserve {
        ticket: Ticket,
        answer: ReserveAnswer,
    },
    AnswerCancel {
        ticket: Ticket,
        outcome: Outcome,
    },
    /// nothing runs and nothing will
    Drained,
}
