//! Retries of requests, and the pace of list requests to the store.

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
