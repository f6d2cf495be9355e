//! the command line's common part

mod program;

pub use program::{usage_error, ExitCode, Program};
