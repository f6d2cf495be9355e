//! The command line: commands that run a process, check files, read logs or call the RPCs.

mod check;
mod day_causes;
mod explain;
mod ingress;
mod log_lines;
mod remote;
mod run;

pub use run::run;
