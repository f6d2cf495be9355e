//! Timing of a graceful shutdown.

mod ingress_drain;

pub use ingress_drain::IngressDrain;
