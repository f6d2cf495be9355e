//! who may load from the weight store next

mod permit_giver;

pub use permit_giver::{PermitGiver, PermitSettings};
