//! when a request may be sent again, and how often the store is asked

mod backoff;
mod list_pacing;
mod retry_budget;
mod retry_rule;

pub use {
    backoff::Backoff,
    list_pacing::ListPacing,
    retry_budget::RetryBudget,
    retry_rule::{may_retry, Attempt},
};
