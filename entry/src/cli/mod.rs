//! the command line: `serve`, `check`, and commands that call the RPCs

mod check;
mod explain;
mod ingress;
mod remote;
mod run;

pub use run::run;
