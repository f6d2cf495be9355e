//! the process beside each engine or plain service, the only way to it:
//! queue, fair shares, adapter slots, fenced orders, run-once table, stream
//! buffer, drain

pub mod app;
pub mod cli;
pub mod conf;
mod crashes;
pub mod placement;
mod relay;
mod server;
mod streams;
