//! orders to an engine, and what it says of itself

mod engine_control;

pub use engine_control::{EngineControl, Reported};
