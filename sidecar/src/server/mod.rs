//! HTTP endpoints of the sidecar.

mod handlers;
mod router;

pub use router::new_router;
