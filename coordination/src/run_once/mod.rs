//! At-most-once execution of requests with a reserved id.

mod errors;
mod table;

pub use {
    errors::RunOnceError,
    table::{Admission, RunOnceSettings, RunOnceTable, RunPhase},
};
