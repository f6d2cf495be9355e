use {
    chalkcart_state::{
        backends::{Backend, BackendName, SoftwareVersion},
        ids::ServiceName,
        published::{Record, RecordSubject},
    },
    std::collections::{BTreeMap, BTreeSet, HashSet},
};

/// The software versions of back ends in the changes that the store still has.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EarlierVersions {
    versions: BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>,
    /// Back ends that the changes describe.
    described: HashSet<BackendName>,
}

impl EarlierVersions {
    /// Reads the versions from changes, in their order; `None` if a back end left that none of the
    /// changes before describes.
    pub fn of(changes: &[Record]) -> Option<Self> {
        let mut earlier = Self::default();
        for record in changes {
            match record {
                Record::Backend(backend) => earlier.insert(backend),
                Record::BackendGone(name) if !earlier.described.contains(name) => return None,
                Record::Unreadable {
                    subject: RecordSubject::Backend(_),
                    ..
                } => return None,
                _ => {}
            }
        }
        Some(earlier)
    }

    fn insert(&mut self, backend: &Backend) {
        self.described.insert(backend.id.name.clone());
        let service = backend.service.clone();
        let versions = self.versions.entry(service).or_default();
        versions.extend(backend.software_version.clone());
    }

    /// Returns whether the changes describe a back end. Where a listed one is missing, they begin
    /// later than its last change, and others may have left before that.
    pub fn describes(&self, backend: &BackendName) -> bool {
        self.described.contains(backend)
    }

    /// Returns the versions of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &SoftwareVersion> {
        self.versions.get(service).into_iter().flatten()
    }

    /// Returns the services with their versions as text.
    pub fn names(&self) -> String {
        let services = self.versions.iter().map(|(service, versions)| {
            let versions: Vec<&str> = versions.iter().map(String::as_str).collect();
            format!("{service}:{}", versions.join("+"))
        });
        let services: Vec<String> = services.collect();
        services.join(",")
    }
}
