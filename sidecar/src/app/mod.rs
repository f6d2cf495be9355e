//! Serves the sidecar that queues and runs the requests of its target.

mod config_sync;
mod control_thread;
mod engine_runner;
mod executor;
mod pending_replies;
mod serve;
mod service_run;
mod shared;

pub use {serve::serve, shared::Shared};
