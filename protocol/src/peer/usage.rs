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
    /// Since wire version 7: the fraction of the limit that the entry uses while it has no
    /// recent level; 0 if it uses an equal part.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub share: f64,
    /// Since wire version 7: what is left of that share, in units; negative if it was
    /// exceeded. Only with `share`.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub share_level: f64,
    /// Since wire version 7: units charged at the entry in the window that ends now. Only with
    /// `share`.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub taken_in_window: f64,
    /// Since wire version 7: time since an aggregator acknowledged the counters, in ms.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unacked_ms: u32,
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
    /// Since wire version 7: the fraction of the limit that the entry may use while it has no
    /// recent level; 0 if the account isn't in its report.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub share: f64,
    /// Since wire version 7: the fraction of the limit that this aggregator grants to the
    /// entries that report to it; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub granted: f64,
}

/// Returns whether a field has the value that it has if it is missing.
fn is_zero<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
