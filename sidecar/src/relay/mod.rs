//! Serves a relay: fans out the views of all engines to the entries of its zone, merges
//! these entries' demands for the engines' sidecars, and caches the platform's store.

mod handlers;
mod hub;
mod relay_task;
mod store_cache;

pub use {
    handlers::{relay_demands, relay_published, relay_views},
    hub::RelayHub,
    relay_task::run_relay,
    store_cache::StoreCache,
};
