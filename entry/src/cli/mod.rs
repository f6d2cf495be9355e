//! the command line: `serve`, `check`, and commands that call the RPCs

mod check;
mod day_causes;
mod explain;
mod ingress;
mod log_lines;
mod remote;
mod run;

pub use run::run;
