//! JSON bodies of the engines' HTTP interface

use {
    chalkcart_state::ids::{
        AdapterName, BaseModelName, Fence, Incarnation, RequestId, Sequence, VersionNumber,
        WeightsDigest,
    },
    serde::{Deserialize, Serialize},
};

/// an adapter's version, in orders and in the status
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterBody {
    pub adapter: AdapterName,
    pub version: VersionNumber,
    pub digest: WeightsDigest,
}

/// `GET /engine/status`
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

/// a request that the engine has, whoever ordered it
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningBody {
    pub request: RequestId,
    pub adapter: AdapterBody,
}

/// `POST /engine/fence`, and the head of each order
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceBody {
    pub incarnation: Incarnation,
    pub fence: Fence,
}

/// `POST /engine/generate`
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateBody {
    pub order: FenceBody,
    pub request: RequestId,
    pub adapter: AdapterBody,
    pub prompt: String,
    /// tokens already generated; the answer goes on behind them
    pub generated: Vec<String>,
    pub max_tokens: u32,
    pub priority: u8,
}

/// `POST /engine/resume`
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeBody {
    pub request: RequestId,
    pub from: Sequence,
}

/// `POST /engine/cancel`
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelBody {
    pub request: RequestId,
}

/// where a request stood when it was cancelled
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CancelState {
    Cancelled,
    Ended,
    Unknown,
}

/// answer to a cancel: the request runs no more
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelReply {
    pub state: CancelState,
}

/// answer to an order
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// empty if the order was carried out
    #[serde(default)]
    pub refused: String,
}

/// a line of a stream of tokens
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEvent {
    pub sequence: Sequence,
    #[serde(flatten)]
    pub body: EventBody,
}

/// content of a line
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventBody {
    Token(String),
    /// the end, with what was run
    Finished(AdapterBody),
    Failed(String),
}
