//! the entry box's process: callers' and operators' RPCs, admission,
//! routing, retries, streams; and the operators' command line

pub mod app;
pub mod cli;
pub mod conf;
mod config;
mod control;
pub mod ingress;
mod rpc;
mod server;
mod traffic;
