use {
    chalkcart_state::{
        accounts::AccountFingerprint,
        ids::{BoxName, Incarnation},
    },
    serde::{Deserialize, Serialize},
};

/// Usage of client accounts at one entry, sent to the aggregator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    pub entry: BoxName,
    pub incarnation: Incarnation,
    /// Number of entries that this entry knows of; 0 while unknown.
    pub entries: u32,
    /// Length of the window in which limits are counted, in ms.
    pub window_ms: u32,
    pub accounts: Vec<AccountUsage>,
}

/// Usage of one account at one entry, in units of its limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountUsage {
    pub account: AccountFingerprint,
    /// Units charged since the entry's start, minus refunds for requests that did not run.
    pub taken: i64,
    /// Units requested by clients since the entry's start, including rejected requests.
    pub asked: i64,
    /// `taken` as of the aggregator's latest response.
    pub told_taken: i64,
    /// `asked` as of the aggregator's latest response.
    pub told_asked: i64,
    /// The entry's estimate of the units that the fleet may use at once.
    pub level: f64,
    /// Fleet-wide limit in units per second.
    pub per_s: f64,
    /// Fleet-wide burst limit in units.
    pub most: f64,
    /// Fleet-wide limit in units per window.
    pub in_window: f64,
}

/// Levels of the accounts in the report and of all accounts with little left. Every other
/// account has at least half of its level left.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageResponse {
    /// Incarnation of the aggregator's process.
    pub incarnation: Incarnation,
    /// Number of entries that report to it.
    pub entries: u32,
    pub accounts: Vec<AccountLevel>,
}

/// Fleet-wide state of an account's limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountLevel {
    pub account: AccountFingerprint,
    /// Units that the fleet may use at once; negative if the limit was exceeded.
    pub level: f64,
    /// Units per second that clients request at all entries together.
    pub asked_per_s: f64,
}
