//! How fast a back end serves now.

mod engine_performance;

pub use engine_performance::EnginePerformance;
