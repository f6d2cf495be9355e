//! Serves the aggregator that exchanges crash reports between entries: which requests were
//! running when an engine ended.

mod aggregator;
mod handlers;

pub use {aggregator::CrashAggregator, handlers::crash_reports};
