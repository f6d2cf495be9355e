//! Process infrastructure shared by the gateway and the sidecar: settings files, logging,
//! signals and the runtime.

pub mod cli;
pub mod logging;
pub mod runtime;
pub mod settings;
pub mod signals;
