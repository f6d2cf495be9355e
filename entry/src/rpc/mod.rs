//! The RPCs of callers and operators.

mod admin;
mod generation_wait;
mod inference;
mod request_validator;

pub use {admin::AdminService, inference::InferenceService};
