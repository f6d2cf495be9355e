//! JSON bodies of the engines' HTTP interface.

use {
    chalkcart_state::ids::{
        AdapterName, BaseModelName, Fence, Incarnation, RequestId, Sequence, VersionNumber,
        WeightsDigest,
    },
    serde::{Deserialize, Serialize},
};

/// A version of an adapter, in orders and in the engine's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterBody {
    pub adapter: AdapterName,
    pub version: VersionNumber,
    pub digest: WeightsDigest,
}

/// The response to `GET /engine/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    pub incarnation: Incarnation,
    pub fence: Fence,
    pub base_model: BaseModelName,
    pub slots: usize,
    pub max_batch: u32,
    pub loaded: Vec<AdapterBody>,
    pub running: Vec<RunningBody>,
}

/// A request that the engine runs, whichever process ordered it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningBody {
    pub request: RequestId,
    pub adapter: AdapterBody,
}

/// The body of `POST /engine/fence`, and the first field of each order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceBody {
    pub incarnation: Incarnation,
    pub fence: Fence,
}

/// The body of `POST /engine/generate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateBody {
    pub order: FenceBody,
    pub request: RequestId,
    pub adapter: AdapterBody,
    pub prompt: String,
    /// Tokens already generated; the engine continues after them.
    pub generated: Vec<String>,
    pub max_tokens: u32,
    pub priority: u8,
}

/// The body of `POST /engine/resume`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeBody {
    pub request: RequestId,
    pub from: Sequence,
}

/// The body of `POST /engine/cancel`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelBody {
    pub request: RequestId,
}

/// The state of a request when its cancellation arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CancelState {
    Cancelled,
    Ended,
    Unknown,
}

/// The response to a cancellation: the request no longer runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelReply {
    pub state: CancelState,
}

/// The response to an order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// The reason for a refusal; empty if the order was executed.
    #[serde(default)]
    pub refused: String,
}

/// A line of a token stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEvent {
    pub sequence: Sequence,
    #[serde(flatten)]
    pub body: EventBody,
}

/// The content of a line of a token stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventBody {
    Token(String),
    /// The end of the stream, with the adapter version that ran.
    Finished(AdapterBody),
    Failed(String),
}
