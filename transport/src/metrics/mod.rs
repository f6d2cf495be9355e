//! figures for operators, with histograms for each group and class

mod ingress_metrics;
mod labels;
mod request_metrics;

use request_metrics::new_histograms_by;

pub use {
    ingress_metrics::IngressMetrics,
    labels::{GroupClass, RefusalLabel},
    request_metrics::RequestMetrics,
};
