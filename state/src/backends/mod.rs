//! the back ends behind the ingress, as the platform lists them, and the
//! adapters that their engines hold

mod adapter_ref;
mod backend;

pub use {
    adapter_ref::{AdapterRef, HeldAdapter},
    backend::{Backend, BackendId, BackendList},
};
