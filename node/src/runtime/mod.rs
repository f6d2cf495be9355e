//! Runtime of a process.

mod panics;
mod resources;
mod run_process;

pub use {
    resources::{start_thread, start_thread_by, until_had, Run},
    run_process::{run_on_one_thread, run_process, ParkHooks},
};
