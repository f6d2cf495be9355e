//! Sidecar of an engine or a plain service, through which all of the target's requests pass:
//! queueing with fair shares, adapter slots, fenced orders, run-once requests, resumable
//! response streams and drain. With `--place`, it only places an engine's adapters.

pub mod app;
pub mod cli;
pub mod conf;
mod crashes;
pub mod placement;
mod relay;
mod server;
mod stream_origins;
mod streams;
