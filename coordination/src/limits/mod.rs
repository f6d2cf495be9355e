//! Rate limits of client accounts, shared by all entries.

mod account_limiter;
mod account_state;
mod aged_share;
mod decayed_sum;
mod fraction_credit;
mod settings;
mod shared_bucket;
mod token_bucket;
mod usage_aggregator;
mod window_sum;

pub use {
    account_limiter::{AccountLimiter, LimitChange, LimitDecisionInputs, LimitExceeded},
    settings::{LimitBounds, LimitSettings},
    token_bucket::TokenBucket,
    usage_aggregator::UsageAggregator,
    window_sum::WindowSum,
};
