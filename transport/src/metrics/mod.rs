//! Prometheus metrics, with histograms per group and class.

mod bounded_names;
mod client_metrics;
mod crash_metrics;
mod ingress_metrics;
mod labels;
mod load_metrics;
mod request_metrics;
mod retry_budget_metrics;
mod version_metrics;

use request_metrics::new_histograms_by;

pub use {
    client_metrics::ClientMetrics,
    crash_metrics::CrashMetrics,
    ingress_metrics::{BodyEndLabel, IngressMetrics},
    labels::{GroupClass, RefusalLabel},
    load_metrics::LoadMetrics,
    request_metrics::RequestMetrics,
    retry_budget_metrics::RetryBudgetMetrics,
    version_metrics::VersionMetrics,
};
