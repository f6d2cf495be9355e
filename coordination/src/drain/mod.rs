//! the steps of a planned stop

mod ingress_drain;

pub use ingress_drain::IngressDrain;
