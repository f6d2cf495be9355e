//! Runtime of a process.

mod idle_time;
mod run_process;

pub use {
    idle_time::idle_time,
    run_process::{run_on_one_thread, run_process},
};
