use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{family::Family, gauge::Gauge},
    registry::Registry,
};

/// The service of back ends.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

/// Metrics of what an entry knows of the software versions of services.
#[derive(Debug, Default)]
pub struct VersionMetrics {
    versions: Family<ServiceLabel, Gauge>,
    covered: Family<ServiceLabel, Gauge>,
}

impl VersionMetrics {
    /// Sets the number of versions of a service that are known, and for how long all of them have
    /// been, in s; -1 before the first list.
    pub fn set(&self, service: &str, versions: usize, covered_s: i64) {
        let label = || ServiceLabel {
            service: service.to_string(),
        };
        self.versions.get_or_create(&label()).set(versions as i64);
        self.covered.get_or_create(&label()).set(covered_s);
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "software_versions",
            "Software versions of a service that are listed or may have begun streams that are still taken up",
            self.versions.clone(),
        );
        registry.register(
            "software_versions_known_seconds",
            "Time of which all software versions of a service are known, -1 before the first list",
            self.covered.clone(),
        );
    }
}
