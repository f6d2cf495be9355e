use {
    super::{EarlierVersions, VersionHistory},
    chalkcart_protocol::peer::VersionReport,
    chalkcart_state::{
        backends::{Backend, SoftwareVersion},
        ids::ServiceName,
    },
    std::{
        collections::{BTreeSet, HashMap},
        time::{Duration, Instant},
    },
};

/// Shortest time for which versions and origins are remembered.
const MIN_MEMORY: Duration = Duration::from_secs(30);

/// Returns the time after which no stream is taken up any more, by the longest time that one attempt
/// of a stream may take: a client's tries may last as long again.
pub fn stream_memory(longest_attempt: Duration) -> Duration {
    MIN_MEMORY.max(2 * longest_attempt)
}

/// Which software versions of a service may have begun streams that are still taken up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionMix {
    /// The list names no versions of this service.
    Unnamed,
    /// This one alone.
    One(SoftwareVersion),
    Several,
    /// Not more than one is known, but others may have served before what this process knows of.
    NotKnown,
}

/// The listed versions of one service.
#[derive(Debug, Default)]
struct ServiceVersions {
    listed: BTreeSet<SoftwareVersion>,
    /// Whether the service has listed back ends.
    has_backends: bool,
    history: VersionHistory,
}

/// The software versions that serve, or served a short time ago, as lists of back ends and the
/// reports of others tell.
#[derive(Debug, Default)]
pub struct SoftwareVersions {
    services: HashMap<ServiceName, ServiceVersions>,
    /// Whether the whole fleet starts with this process, so that nothing has served before.
    is_first_start: bool,
    /// Time of the first list.
    listed_since: Option<Instant>,
}

impl SoftwareVersions {
    pub fn new(is_first_start: bool) -> Self {
        Self {
            is_first_start,
            ..Self::default()
        }
    }

    /// Applies a list. Versions that are not listed any more are kept for `memory`.
    pub fn on_list(&mut self, list: &[Backend], memory: Duration, now: Instant) {
        self.listed_since.get_or_insert(now);
        let mut listed: HashMap<ServiceName, BTreeSet<SoftwareVersion>> = HashMap::new();
        for backend in list {
            let versions = listed.entry(backend.service.clone()).or_default();
            versions.extend(backend.software_version.clone());
        }
        for service in listed.keys() {
            self.services.entry(service.clone()).or_default();
        }
        for (service, versions) in &mut self.services {
            versions.on_list(listed.remove(service), self.is_first_start, now);
            versions.history.forget_before(memory, now);
        }
    }

    /// Takes what another process reports of a service.
    pub fn on_report(&mut self, report: &VersionReport, now: Instant) {
        // before the first list there is no known time that the report could extend
        if let Some(service) = self.services.get_mut(&report.service) {
            service.history.on_report(report, now);
        }
    }

    /// Takes all versions that lists had in the last `memory` before this process started.
    pub fn on_earlier(&mut self, earlier: &EarlierVersions, memory: Duration, now: Instant) {
        for (service, versions) in &mut self.services {
            let earlier = earlier.of_service(service);
            versions.history.on_earlier(earlier, memory, now);
        }
    }

    /// Returns which versions may have begun a stream that is taken up within `memory`.
    pub fn mix(&self, service: &str, memory: Duration, now: Instant) -> VersionMix {
        match self.services.get(service) {
            Some(versions) => versions.mix(memory, now),
            None => VersionMix::NotKnown,
        }
    }

    /// Returns the names of the versions of a service that are listed or were within `memory`.
    pub fn versions(&self, service: &str, memory: Duration, now: Instant) -> Vec<SoftwareVersion> {
        let versions = self.services.get(service);
        versions.map_or(Vec::new(), |versions| versions.recent(memory, now))
    }

    /// Returns the services that were listed.
    pub fn services(&self) -> Vec<ServiceName> {
        self.services.keys().cloned().collect()
    }

    /// Returns the time of which all versions of a service are known; `None` before the first list.
    pub fn covered(&self, service: &str, now: Instant) -> Option<Duration> {
        self.services.get(service)?.history.covered(now)
    }

    /// Returns the services with versions of which less than `memory` is known.
    pub fn not_covered(&self, memory: Duration, now: Instant) -> Vec<ServiceName> {
        let short = |versions: &&ServiceVersions| {
            !versions.listed.is_empty() && !versions.history.covers(memory, now)
        };
        let services = self.services.iter().filter(|(_, v)| short(v));
        services.map(|(service, _)| service.clone()).collect()
    }

    /// Returns what this process knows of a service, for others.
    pub fn report(&self, service: &ServiceName, now: Instant) -> Option<VersionReport> {
        self.services.get(service)?.report(service, now)
    }
}

impl ServiceVersions {
    /// Takes the versions of a list; `None` if it has no back end of the service.
    fn on_list(
        &mut self,
        listed: Option<BTreeSet<SoftwareVersion>>,
        is_first_start: bool,
        now: Instant,
    ) {
        self.has_backends = listed.is_some();
        let before = std::mem::replace(&mut self.listed, listed.unwrap_or_default());
        // those of the list before were listed until now
        let versions = before.union(&self.listed);
        self.history.on_list(versions, is_first_start, now);
    }

    fn recent(&self, memory: Duration, now: Instant) -> Vec<SoftwareVersion> {
        let mut recent: BTreeSet<SoftwareVersion> = self.listed.clone();
        recent.extend(self.history.recent(memory, now));
        recent.into_iter().collect()
    }

    fn mix(&self, memory: Duration, now: Instant) -> VersionMix {
        let mut recent = self.recent(memory, now).into_iter();
        let is_covered = self.history.covers(memory, now);
        match (recent.next(), recent.next()) {
            (None, _) if self.has_backends => VersionMix::Unnamed,
            (Some(version), None) if is_covered => VersionMix::One(version),
            (Some(_), Some(_)) => VersionMix::Several,
            _ => VersionMix::NotKnown,
        }
    }

    /// Returns what is known up to now: a list counts until the next one.
    fn report(&self, service: &ServiceName, now: Instant) -> Option<VersionReport> {
        let mut current = self.history.clone();
        current.on_list(self.listed.iter(), false, now);
        current.report(service, now)
    }
}
