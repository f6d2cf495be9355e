use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{family::Family, gauge::Gauge},
    registry::Registry,
};

/// A service, and a part of the usage of its retry budget.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BudgetLabel {
    service: String,
    part: &'static str,
}

/// Metrics of an entry about the retry budgets that it shares with others.
#[derive(Debug, Default)]
pub struct RetryBudgetMetrics {
    usage: Family<BudgetLabel, Gauge>,
    entries: Gauge,
    known_entries: Gauge,
    known_age: Gauge,
}

impl RetryBudgetMetrics {
    /// Sets the parts of a service's usage.
    pub fn set(&self, service: &str, parts: &[(&'static str, u32)]) {
        for (part, value) in parts {
            let (service, part) = (service.to_string(), *part);
            let label = BudgetLabel { service, part };
            self.usage.get_or_create(&label).set(i64::from(*value));
        }
    }
    /// Sets how many entries share the budgets, and the number that sidecars remember with its
    /// age in s.
    pub fn set_entries(&self, entries: u32, (known, age_s): (u32, u32)) {
        self.entries.set(i64::from(entries));
        self.known_entries.set(i64::from(known));
        self.known_age.set(i64::from(age_s));
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "retry_budget",
            "Requests and repeats of a service that count now, and of the repeats those that wait and those without an answer",
            self.usage.clone(),
        );
        registry.register(
            "retry_budget_entries",
            "Entries that share the retry budgets, as this one believes",
            self.entries.clone(),
        );
        registry.register(
            "known_entries",
            "Highest number of entries that a sidecar remembers, 0 if none does",
            self.known_entries.clone(),
        );
        registry.register(
            "known_entries_age_seconds",
            "Time since a sidecar counted as many",
            self.known_age.clone(),
        );
    }
}
