use {
    chalkcart_state::{
        backends::{Backend, BackendName, SoftwareVersion},
        ids::ServiceName,
        published::{Record, RecordSubject},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::Duration,
    },
};

/// Writes of a back end besides the regular ones, as when it says that it leaves.
const EXTRA_WRITES: u64 = 2;
/// The shortest interval between two writes, as a part of the regular one.
const EARLY_WRITES: f64 = 0.8;

/// The software versions of back ends in the changes that the store still has.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EarlierVersions {
    versions: BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>,
    /// Back ends that the changes describe, with the fewest and the most writes that they name.
    described: HashMap<BackendName, Option<(u64, u64)>>,
    /// Whether the changes are all that there ever were.
    is_whole: bool,
}

impl EarlierVersions {
    /// Reads the versions from changes, in their order, each with the number of times that its back end
    /// had written its record; `None` if a back end left that none of the changes before describes.
    pub fn of<'r>(
        changes: impl Iterator<Item = (&'r Record, Option<u64>)>,
        is_whole: bool,
    ) -> Option<Self> {
        let mut earlier = Self {
            is_whole,
            ..Self::default()
        };
        for (record, writes) in changes {
            match record {
                Record::Backend(backend) => earlier.insert(backend, writes),
                Record::BackendGone(name) if !earlier.described.contains_key(name) => return None,
                Record::Unreadable {
                    subject: RecordSubject::Backend(_),
                    ..
                } => return None,
                _ => {}
            }
        }
        Some(earlier)
    }

    fn insert(&mut self, backend: &Backend, writes: Option<u64>) {
        let described = self.described.entry(backend.id.name.clone()).or_default();
        if let Some(writes) = writes {
            let (fewest, most) = described.unwrap_or((writes, writes));
            *described = Some((fewest.min(writes), most.max(writes)));
        }
        let service = backend.service.clone();
        let versions = self.versions.entry(service).or_default();
        versions.extend(backend.software_version.clone());
    }

    /// Returns whether the changes describe a back end. Where a listed one is missing, they begin
    /// later than its last change, and others may have left before that.
    pub fn describes(&self, backend: &BackendName) -> bool {
        self.described.contains_key(backend)
    }

    /// Returns whether the changes are of at least `time`: all that there ever were, or between which a
    /// back end wrote its record so often, at intervals of `heartbeat`. A store may have dropped the
    /// changes of any time before.
    pub fn reaches_back(&self, time: Duration, heartbeat: Duration) -> bool {
        let counts = self.described.values().flatten();
        let writes = counts.map(|(fewest, most)| most - fewest).max();
        let between = writes.unwrap_or(0).saturating_sub(EXTRA_WRITES);
        let between = u32::try_from(between).unwrap_or(u32::MAX);
        self.is_whole || heartbeat.saturating_mul(between).mul_f64(EARLY_WRITES) >= time
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
