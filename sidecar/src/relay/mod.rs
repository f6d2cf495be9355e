//! the part of a sidecar that passes on what all sidecars say to the entries of
//! its zone, and tells all sidecars what these entries need

mod handlers;
mod hub;
mod published;
mod relay_task;

pub use {
    handlers::{relay_demands, relay_published, relay_views},
    hub::RelayHub,
    published::Published,
    relay_task::run_relay,
};
