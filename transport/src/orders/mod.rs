//! Orders to an engine, and its reports.

mod engine_control;

pub use engine_control::{EngineControl, Reported};
