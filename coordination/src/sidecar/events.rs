use {
    crate::{fence::EngineStatus, slots::AdapterKey},
    chalkcart_protocol::peer::{Outcome, PermitResponse, Reason, WorkOrder},
    chalkcart_state::{
        config::Root,
        ids::{Fence, Incarnation, RequestId},
    },
    std::{sync::Arc, time::Duration},
};

/// Identifies a caller that waits for a response.
pub type ReplyId = u64;

/// The result of an order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    Done,
    /// The engine reported a failure.
    Failed,
    /// The engine refused the fence or the incarnation.
    Fenced,
    /// No response: the order may be executed now or later.
    Unknown,
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    pub outcome: Outcome,
    /// `None` if the response is complete.
    pub failure: Option<Reason>,
    pub detail: String,
    /// Number of generated tokens.
    pub tokens: u64,
    pub duration: Duration,
    /// Whether the engine may still execute the request.
    pub may_still_run: bool,
}

/// An input of `SidecarControl`.
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
    /// The engine's status; `None` if the engine can't be reached.
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
    /// The permit issuer's response; `None` if the issuer can't be reached.
    PermitRequestEnded {
        adapter: AdapterKey,
        response: Option<PermitResponse>,
    },
    Configured(Arc<Root>),
    DrainRequested,
    Tick,
}
