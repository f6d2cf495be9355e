use {
    super::{version_history::MAX_GAP, EarlierVersions, VersionHistory},
    chalkcart_protocol::peer::VersionReport,
    chalkcart_state::{
        backends::{Backend, BackendName, SoftwareVersion},
        ids::ServiceName,
        published::Record,
    },
    std::{
        collections::{BTreeSet, HashMap},
        time::{Duration, Instant},
    },
};

/// Shortest time for which versions and origins are remembered.
const MIN_MEMORY: Duration = Duration::from_secs(30);

/// Shortest time for which a back end is listed: one that joins and leaves is told as leaving first,
/// or is missing only after its heartbeats were. A shorter time between two lists hides none.
const MIN_LISTED: Duration = Duration::from_secs(2);

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
    /// The names of listed back ends.
    backends: Vec<BackendName>,
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
    /// When the list in use was last known to be the newest.
    current_at: Option<Instant>,
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
        let first = *self.listed_since.get_or_insert(now);
        self.on_current(now);
        // no list so far had a back end of a service that is listed later
        let since = (!self.is_first_start).then_some(first);
        let mut listed: HashMap<&ServiceName, Vec<&Backend>> = HashMap::new();
        for backend in list {
            self.services.entry(backend.service.clone()).or_default();
            listed.entry(&backend.service).or_default().push(backend);
        }
        for (service, versions) in &mut self.services {
            let backends = listed.remove(service).unwrap_or_default();
            versions.on_list(&backends, since, now);
            versions.history.forget_before(memory, now);
        }
    }

    /// Takes the records of an update, before the list that they lead to.
    ///
    /// Back ends that joined and left since the last update are in no list; streams may have begun at
    /// them through other entries.
    pub fn on_update(&mut self, records: &[Record], is_full: bool, now: Instant) {
        let joined = records.iter().filter_map(|record| match record {
            Record::Backend(backend) => Some(backend),
            _ => None,
        });
        let joined: Vec<&Backend> = joined.collect();
        for backend in &joined {
            let versions = self.services.entry(backend.service.clone()).or_default();
            versions.history.on_listed(&backend.software_version, now);
        }
        let unseen = self.current_at.filter(|_| is_full);
        let unseen = unseen.map(|at| now.saturating_duration_since(at));
        let is_known = |name: &BackendName| {
            let is_joined = joined.iter().any(|backend| backend.id.name == *name);
            is_joined || self.services.values().any(|s| s.backends.contains(name))
        };
        let has_hidden = records
            .iter()
            .any(|record| matches!(record, Record::BackendGone(name) if !is_known(name)));
        if has_hidden || unseen.is_some_and(|unseen| unseen >= MIN_LISTED) {
            let services = self.services.values_mut();
            services.for_each(|versions| versions.history.restart(now));
        }
    }

    /// Returns whether the list in use was the newest at `at` or later.
    pub fn is_current_since(&self, at: Instant) -> bool {
        self.current_at.is_some_and(|current_at| current_at >= at)
    }

    /// Returns which versions may have begun a stream that is taken up by a request which arrived at
    /// `arrived`. An engine may have joined since the list was known to be the newest, and begun it.
    pub fn mix_for(
        &self,
        service: &str,
        arrived: Instant,
        memory: Duration,
        now: Instant,
    ) -> VersionMix {
        match self.mix(service, memory, now) {
            VersionMix::One(_) if !self.is_current_since(arrived) => VersionMix::NotKnown,
            mix => mix,
        }
    }

    /// Notes that the list in use was the newest at `at`.
    pub fn on_current(&mut self, at: Instant) {
        self.current_at = self.current_at.max(Some(at));
    }

    /// Returns until when the versions are known: a list counts until the last time at which there
    /// was no newer one.
    fn known_until(&self, now: Instant) -> Instant {
        self.current_at.map_or(now, |at| at.min(now))
    }

    /// Takes what another process reports of a service.
    pub fn on_report(&mut self, report: &VersionReport, now: Instant) {
        let until = self.known_until(now);
        // before the first list there is no known time that the report could extend
        if let Some(service) = self.services.get_mut(&report.service) {
            service.history.extend(service.listed.iter(), until);
            service.history.on_report(report, now);
        }
    }

    /// Takes what the store still has of the time before this process started; it counts as the last
    /// `memory` if it describes all listed back ends.
    pub fn on_earlier(&mut self, earlier: &EarlierVersions, memory: Duration, now: Instant) {
        for (service, versions) in &mut self.services {
            let history = &mut versions.history;
            history.on_earlier(earlier.of_service(service), now);
            if versions.backends.iter().all(|name| earlier.describes(name)) {
                history.cover(memory, now);
            }
        }
    }

    /// Returns which versions may have begun a stream that is taken up within `memory`.
    pub fn mix(&self, service: &str, memory: Duration, now: Instant) -> VersionMix {
        match self.services.get(service) {
            Some(versions) => versions.mix(memory, self.known_until(now), now),
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
        let until = self.known_until(now);
        self.services.get(service)?.report(service, until, now)
    }
}

impl ServiceVersions {
    /// Takes the listed back ends; `since` is the time of the first list, `None` if nothing served
    /// before it.
    fn on_list(&mut self, backends: &[&Backend], since: Option<Instant>, now: Instant) {
        self.backends = backends.iter().map(|b| b.id.name.clone()).collect();
        let versions = backends.iter().filter_map(|b| b.software_version.clone());
        let before = std::mem::replace(&mut self.listed, versions.collect());
        // those of the list before were listed until now
        let versions = before.union(&self.listed);
        self.history.on_list(versions, since, now);
    }

    fn recent(&self, memory: Duration, now: Instant) -> Vec<SoftwareVersion> {
        let mut recent: BTreeSet<SoftwareVersion> = self.listed.clone();
        recent.extend(self.history.recent(memory, now));
        recent.into_iter().collect()
    }

    fn mix(&self, memory: Duration, until: Instant, now: Instant) -> VersionMix {
        let mut recent = self.recent(memory, now).into_iter();
        let is_current = now.saturating_duration_since(until) <= MAX_GAP;
        let is_covered = is_current && self.history.covers(memory, now);
        match (recent.next(), recent.next()) {
            (None, _) if !self.backends.is_empty() => VersionMix::Unnamed,
            (Some(version), None) if is_covered => VersionMix::One(version),
            (Some(_), Some(_)) => VersionMix::Several,
            _ => VersionMix::NotKnown,
        }
    }

    /// Returns what is known up to `until`.
    fn report(&self, service: &ServiceName, until: Instant, now: Instant) -> Option<VersionReport> {
        let mut current = self.history.clone();
        current.extend(self.listed.iter(), until);
        current.report(service, now)
    }
}
