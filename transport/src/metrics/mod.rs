//! figures for operators, with histograms for each group and class

mod labels;
mod request_metrics;

pub use {
    labels::{GroupClass, RefusalLabel},
    request_metrics::RequestMetrics,
};
