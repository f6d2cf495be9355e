use {
    crate::{fence::EngineStatus, slots::AdapterKey},
    chalkcart_protocol::peer::{Outcome, PermitResponse, Reason, WorkOrder},
    chalkcart_state::{
        config::Root,
        ids::{Fence, Incarnation, RequestId},
    },
    std::{sync::Arc, time::Duration},
};

/// names an asker that waits for an answer
pub type Ticket = u64;

/// how an order to an engine ended
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    Done,
    /// the engine says that it did not do it
    Failed,
    /// the engine refused the fence or the incarnation
    Fenced,
    /// no answer: it may be done now or later
    Unknown,
}

/// how a run ended
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    pub outcome: Outcome,
    /// none if the answer is whole
    pub failure: Option<Reason>,
    pub detail: String,
    /// tokens generated
    pub tokens: u64,
    pub took: Duration,
    /// the engine may still be running it
    pub may_run_on: bool,
}

/// what happens to a sidecar
#[derive(Debug, Clone)]
pub enum SidecarEvent {
    Arrived(Box<WorkOrder>),
    ReserveAsked {
        ticket: Ticket,
        count: u32,
    },
    CancelAsked {
        ticket: Ticket,
        request: RequestId,
    },
    /// the engine's answer; none if it can't be reached
    EngineRead(Option<EngineStatus>),
    FenceAnswered {
        incarnation: Incarnation,
        fence: Fence,
        result: OrderResult,
    },
    LoadEnded {
        adapter: AdapterKey,
        incarnation: Incarnation,
        result: OrderResult,
        took: Duration,
    },
    UnloadEnded {
        adapter: AdapterKey,
        incarnation: Incarnation,
        result: OrderResult,
    },
    RunEnded {
        request: RequestId,
        end: RunEnd,
    },
    /// the giver's answer; none if it can't be reached
    PermitAnswered {
        adapter: AdapterKey,
        answer: Option<PermitResponse>,
    },
    Configured(Arc<Root>),
    DrainAsked,
    Tick,
}
