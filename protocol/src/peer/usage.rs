use {
    chalkcart_state::{
        accounts::AccountFingerprint,
        ids::{BoxName, Incarnation},
    },
    serde::{Deserialize, Serialize},
};

/// what an entry has let client accounts run, told to the keeper of the fleet's sums
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    pub entry: BoxName,
    pub incarnation: Incarnation,
    /// entries of the fleet, as this one knows; 0 if it does not know yet
    pub entries: u32,
    /// in which limits are counted, in ms
    pub window_ms: u32,
    pub accounts: Vec<AccountUsage>,
}

/// what an entry has let one account run, in units of its limit
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountUsage {
    pub account: AccountFingerprint,
    /// since the entry's start, less what did not run
    pub taken: i64,
    /// what clients asked for here since its start, also what was refused
    pub asked: i64,
    /// both when a keeper last answered
    pub told_taken: i64,
    pub told_asked: i64,
    /// what the fleet may run at once, as the entry believes
    pub level: f64,
    /// units a second, at once, and in each window, for the whole fleet
    pub per_s: f64,
    pub most: f64,
    pub in_window: f64,
}

/// the keeper's answer, for the accounts of the report and for all of which little
/// is left; of each other one at least half is left
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageResponse {
    /// of the keeper's process
    pub incarnation: Incarnation,
    /// entries that report to it
    pub entries: u32,
    pub accounts: Vec<AccountLevel>,
}

/// what the fleet may run for an account
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountLevel {
    pub account: AccountFingerprint,
    /// at once; below 0 more was run than was due
    pub level: f64,
    /// units a second that clients ask for, at all entries
    pub asked_per_s: f64,
}
