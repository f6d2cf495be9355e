use {
    chalkcart_state::ids::{AdapterName, BoxName},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// whether a permit is wanted or given back
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitPurpose {
    Ask,
    Return,
}

/// asks for the permit to load one adapter from the weight store
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    pub purpose: PermitPurpose,
    pub target: BoxName,
    pub adapter: AdapterName,
    /// of the most urgent request that waits; 0 is the most urgent
    pub priority: u8,
    /// how long that request has waited
    pub waited: Duration,
}

/// a permit with a lease, or when to ask again
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitResponse {
    Granted { lease: Duration },
    Wait { retry_after: Duration },
}
