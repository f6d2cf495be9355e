//! how chalkcart's processes reach each other, the platform, engines and
//! plain services.
//!
//! Servers are built on `gotham`, clients on `hyper-util`.

pub mod client;
pub mod engine;
pub mod metrics;
pub mod platform;
pub mod server;
pub mod service;
