//! what was said of requests that run at most once, against what ran

mod at_most_once_ledger;

pub use at_most_once_ledger::{AtMostOnceLedger, Violation};
