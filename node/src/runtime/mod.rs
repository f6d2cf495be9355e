//! Runtime of a process.

mod panics;
mod run_process;

pub use run_process::{run_on_one_thread, run_process, ParkHooks};
