//! Command line parts shared by all programs.

mod program;

pub use program::{usage_error, ExitCode, Program};
