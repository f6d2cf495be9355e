//! what the sidecar answers to

mod handlers;
mod router;

pub use router::new_router;
