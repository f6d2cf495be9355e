use {
    super::Outcome,
    chalkcart_state::ids::RequestId,
    serde::{Deserialize, Serialize},
};

/// stops a request
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelOrder {
    pub request: RequestId,
}

/// what is known of the stopped request
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelAnswer {
    pub outcome: Outcome,
}
