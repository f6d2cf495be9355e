//! The entry's server for RPCs, peer messages, metrics and health checks.

mod grpc;
mod handlers;
mod router;

pub use router::new_router;
