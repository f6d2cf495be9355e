//! How fast a back end serves now.

mod engine_performance;
mod performance_estimator;
mod prefill_ratio;
mod published_step;
mod relative_rate;
mod run_progress;
mod settled_rate;

pub use {
    engine_performance::EnginePerformance,
    performance_estimator::{PerformanceChange, PerformanceEstimator, PublishedPerformance},
    prefill_ratio::PrefillRatio,
    published_step::PublishedStep,
    relative_rate::RelativeRate,
    run_progress::{RunObserver, RunProgress},
    settled_rate::SettledRate,
};
