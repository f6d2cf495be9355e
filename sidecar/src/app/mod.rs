//! the running sidecar

mod config_sync;
mod control_thread;
mod engine_run;
mod executor;
mod serve;
mod service_run;
mod shared;
mod tickets;

pub use {serve::serve, shared::Shared};
