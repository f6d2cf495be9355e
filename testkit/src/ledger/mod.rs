//! what was said of requests that run at most once, against what ran

mod once_ledger;

pub use once_ledger::{OnceLedger, Violation};
