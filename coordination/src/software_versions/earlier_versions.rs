use {
    chalkcart_state::{
        backends::{BackendName, SoftwareVersion},
        ids::ServiceName,
        published::{Record, RecordSubject},
    },
    std::collections::{BTreeMap, BTreeSet, HashSet},
};

/// The software versions of back ends in the changes that the store still has.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EarlierVersions(BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>);

impl EarlierVersions {
    /// Reads the versions from changes; `None` if a back end left whose version none of them has.
    pub fn of(changes: &[Record]) -> Option<Self> {
        let mut versions = Self::default();
        let mut described: HashSet<&BackendName> = HashSet::new();
        for record in changes {
            if let Record::Backend(backend) = record {
                described.insert(&backend.id.name);
                let service = versions.0.entry(backend.service.clone()).or_default();
                service.extend(backend.software_version.clone());
            }
        }
        let is_described = |record: &Record| match record {
            Record::BackendGone(name) => described.contains(name),
            Record::Unreadable { subject, .. } => !matches!(subject, RecordSubject::Backend(_)),
            _ => true,
        };
        changes.iter().all(is_described).then_some(versions)
    }

    /// Returns the versions of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &SoftwareVersion> {
        self.0.get(service).into_iter().flatten()
    }

    /// Returns the services with their versions as text.
    pub fn names(&self) -> String {
        let services = self.0.iter().map(|(service, versions)| {
            let versions: Vec<&str> = versions.iter().map(String::as_str).collect();
            format!("{service}:{}", versions.join("+"))
        });
        let services: Vec<String> = services.collect();
        services.join(",")
    }
}
