//! Client accounts as operators publish them: their keys, priorities and rate limits.

mod account_table;
mod api_key;
mod client_account;
mod rate_limit;

pub use {
    account_table::{AccountTable, DuplicateKey},
    api_key::{ApiKeyDigest, ApiKeyError, MAX_KEY_BYTES},
    client_account::{AccountFingerprint, ClientAccount, ClientAccountName},
    rate_limit::{LimitUnit, RateLimit},
};
