//! Communication of chalkcart's processes with each other, with the platform, and with
//! engines and other services.
//!
//! Servers are built on `gotham`, clients on `hyper-util`.

pub mod backend;
pub mod client;
pub mod clients;
pub mod clock;
pub mod engine;
pub mod inbound;
pub mod ingress;
pub mod links;
pub mod metadata;
pub mod metrics;
pub mod orders;
pub mod platform;
pub mod server;
pub mod service;
mod sockets;
pub mod supervision;
