//! the RPCs of callers and operators

mod admin;
mod admission;
mod force;
mod inference;

pub use {admin::AdminService, inference::InferenceService};
