//! the part of a sidecar that passes on between entries which requests engines ended under

mod aggregator;
mod handlers;

pub use {aggregator::CrashAggregator, handlers::crash_reports};
