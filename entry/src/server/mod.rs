//! what the entry answers to: RPCs, peers, metrics

mod grpc;
mod handlers;
mod router;

pub use router::new_router;
