//! at-most-once runs of requests with a reserved id

mod errors;
mod run_once_table;

pub use {
    errors::OnceError,
    run_once_table::{Admission, OnceSettings, Phase, RunOnceTable},
};
