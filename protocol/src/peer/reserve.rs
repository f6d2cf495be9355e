use {
    super::Refusal,
    chalkcart_state::ids::RequestId,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// asks a target for ids
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveOrder {
    pub count: u32,
}

/// the ids, or why there are none
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReserveAnswer {
    Reserved {
        ids: Vec<RequestId>,
        valid_for: Duration,
    },
    Refused(Refusal),
}
