//! Command line of the sidecar.

mod run;

pub use run::run;
