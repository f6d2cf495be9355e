//! How fast a back end serves now.

mod engine_performance;
mod relative_rate;

pub use {engine_performance::EnginePerformance, relative_rate::RelativeRate};
