//! Checks the reported outcomes of at-most-once requests against the actual runs.

mod at_most_once_ledger;

pub use at_most_once_ledger::{AtMostOnceLedger, Violation};
