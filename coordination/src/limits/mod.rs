//! limits of client accounts that all entries share: what an entry may let run by
//! what it knows of the others

mod limit_book;
mod settings;
mod shared_bucket;
mod token_bucket;
mod usage_keeper;
mod window_sum;

pub use {
    limit_book::{LimitBasis, LimitBook, LimitChange, OverLimit},
    settings::{LimitBounds, LimitSettings},
    token_bucket::TokenBucket,
    usage_keeper::UsageKeeper,
    window_sum::WindowSum,
};
