//! what both processes share around their work: settings files, logs,
//! signals and the start of the runtime

pub mod cli;
pub mod logging;
pub mod runtime;
pub mod settings;
pub mod signals;
