//! The back ends behind the ingress, as the platform lists them, and the adapters loaded on
//! their engines.

mod adapter_ref;
mod backend;
mod backend_id;

/// Version of the software of a back end, not of its weights. Versions have no order.
pub type SoftwareVersion = String;

pub use {
    adapter_ref::{AdapterRef, HeldAdapter},
    backend::{Backend, BackendList},
    backend_id::{BackendId, BackendName},
};
