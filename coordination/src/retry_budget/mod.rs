//! Retries of a service that all entries share.

mod earned_retries;
mod settings;
mod shared_retry_budget;
mod time_slots;
mod usage;

pub use {
    settings::RetryBudgetSettings,
    shared_retry_budget::{SharedRetryBudget, MAX_UNREAD_TIME},
    usage::BudgetUsage,
};
