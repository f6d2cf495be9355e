//! The process of an entry box, which serves the RPCs of callers and operators and routes
//! requests to targets, and the operators' command line.

pub mod app;
pub mod cli;
pub mod conf;
mod config;
mod control;
pub mod ingress;
mod rpc;
mod server;
mod traffic;
