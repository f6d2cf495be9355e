//! The ingress proxy: matches clients' HTTP requests against the configured routes and
//! forwards them to the back ends that the control thread selects.

mod admission;
mod admission_exchange;
mod control;
mod control_state;
mod crash_check;
mod crash_exchange;
mod doors;
mod earlier_versions;
mod ended_engines;
mod engine_stats_buffer;
mod fleet_links;
mod load_monitor;
mod local_response;
mod observers;
mod operator_pages;
mod records;
mod relay_discovery;
mod request_exchange;
mod request_exchange_log;
mod request_exchange_response;
mod response_end_log;
mod run_timer;
mod serve;
mod service;
mod shared;
mod shared_crash_registry;
mod shared_software_versions;
mod store_relay_client;
mod store_relays;
mod stream_origin_exchange;
mod stream_origin_telling;
mod stream_recovery;
mod stream_recovery_log;
mod stream_response;
mod stream_take_up;
mod unknown_headers;
mod unreadable_records;
mod usage_reports;
mod zone_source;

pub use {
    admission_exchange::AdmissionExchange,
    control::{start as start_control, ControlHandle},
    fleet_links::{FleetLinks, LinkSettings},
    serve::serve,
    shared::Shared,
    shared_crash_registry::SharedCrashRegistry,
    store_relays::StoreRelays,
};
