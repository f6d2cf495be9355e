use {
    super::Outcome,
    chalkcart_state::ids::RequestId,
    serde::{Deserialize, Serialize},
};

/// Cancels a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelOrder {
    pub request: RequestId,
}

/// Outcome of the cancelled request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelAnswer {
    pub outcome: Outcome,
}
