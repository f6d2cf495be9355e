use {
    crate::{fence::EngineStatus, slots::AdapterKey},
    chalkcart_protocol::peer::{Outcome, PermitAnswer, Reason, WorkOrder},
    chalkcart_state::{
        config::Root,
        ids::{Fence, Incarnation, RequestId},
    },
    std::{sync::Arc, time::Duration},
};

/// names an asker that waits for an answer
pub type ReplyId = u64;

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
    pub duration: Duration,
    /// the engine may still be running it
    pub may_still_run: bool,
}

/// what happens to a sidecar
#[derive(Debug, Clone)]
pub enum SidecarEvent {
    Arrived(Box<WorkOrder>),
    ReserveRequested {
        reply: ReplyId,
        count: u32,
    },
    CancelRequested {
        reply: ReplyId,
        request: RequestId,
    },
    /// the engine's answer; none if it can't be reached
    EngineRead(Option<EngineStatus>),
    FenceTakeEnded {
        incarnation: Incarnation,
        fence: Fence,
        result: OrderResult,
    },
    LoadEnded {
        adapter: AdapterKey,
        incarnation: Incarnation,
        result: OrderResult,
        duration: Duration,
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
    PermitRequestEnded {
        adapter: AdapterKey,
        response: Option<PermitAnswer>,
    },
    Configured(Arc<Root>),
    DrainRequested,
    Tick,
}
