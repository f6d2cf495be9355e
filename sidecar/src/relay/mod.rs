//! Serves a relay: fans out the views of all engines to the entries of its zone, merges
//! these entries' demands for the engines' sidecars, and caches the platform's store. In a large
//! fleet it reaches the engines of other zones through relays there.

mod handlers;
mod hub;
mod relay_task;
mod store_cache;
mod zone_links;

pub use {
    handlers::{relay_demands, relay_published, relay_views},
    hub::RelayHub,
    relay_task::run_relay,
    store_cache::StoreCache,
};
