//! when a request may be sent again

mod backoff;
mod retry_budget;
mod retry_rule;

pub use {
    backoff::Backoff,
    retry_budget::RetryBudget,
    retry_rule::{may_retry, Attempt},
};
