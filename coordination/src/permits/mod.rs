//! who may load from the weight store next

mod load_permit_issuer;

pub use load_permit_issuer::{LoadPermitIssuer, LoadPermitSettings};
