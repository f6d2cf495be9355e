use {
    chalkcart_state::ids::{AdapterName, BoxName},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Whether a permit is requested or returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitPurpose {
    Ask,
    Return,
}

/// Requests the permit to load an adapter from the weight store, or returns it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    pub purpose: PermitPurpose,
    pub target: BoxName,
    pub adapter: AdapterName,
    /// Priority of the most urgent waiting request; 0 is the most urgent.
    pub priority: u8,
    /// How long that request has waited.
    pub waited: Duration,
}

/// A leased permit, or the delay before the next attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitResponse {
    Granted { lease: Duration },
    Wait { retry_after: Duration },
}
