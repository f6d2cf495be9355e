use {
    super::Refusal,
    chalkcart_state::ids::RequestId,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Requests reserved ids from a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveOrder {
    pub count: u32,
}

/// The reserved ids, or the reason for their refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReserveAnswer {
    Reserved {
        ids: Vec<RequestId>,
        valid_for: Duration,
    },
    Refused(Refusal),
}
