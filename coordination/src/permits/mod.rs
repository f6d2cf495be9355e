//! Permits to load from the weight store.

mod load_permit_issuer;

pub use load_permit_issuer::{LoadPermitIssuer, LoadPermitSettings};
