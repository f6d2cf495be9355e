use {
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

/// Time after the start of a mix in which entries may not have told their running streams yet: a
/// list reaches all of them within it.
const SPREAD_TIME: Duration = Duration::from_secs(5);

/// Returns the time after which no stream is taken up any more, by the longest time that one attempt
/// of a stream may take: a client's tries may last as long again.
pub fn stream_memory(longest_attempt: Duration) -> Duration {
    MIN_MEMORY.max(2 * longest_attempt)
}

/// Which software versions of a service may have begun streams that are still taken up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionMix {
    /// One at most, as far as this process has seen.
    One,
    Several {
        /// The only version that served before the others came, while some streams that began then
        /// may not have been told.
        former: Option<SoftwareVersion>,
    },
}

/// The versions of one service.
#[derive(Debug, Default)]
struct ServiceVersions {
    listed: BTreeSet<SoftwareVersion>,
    /// When versions left the list.
    unlisted: HashMap<SoftwareVersion, Instant>,
    /// The only version that was listed before another came, and when that was.
    former: Option<(SoftwareVersion, Instant)>,
}

/// The software versions that serve, or served a short time ago, as the list of back ends
/// tells.
#[derive(Debug, Default)]
pub struct SoftwareVersions {
    services: HashMap<ServiceName, ServiceVersions>,
    /// Time of the first list.
    listed_since: Option<Instant>,
}

impl SoftwareVersions {
    /// Applies a list. Versions that are not listed any more are kept for `memory`. Returns the
    /// services that had one version and have several now.
    pub fn on_list(
        &mut self,
        list: &[Backend],
        memory: Duration,
        now: Instant,
    ) -> Vec<ServiceName> {
        self.listed_since.get_or_insert(now);
        let mut mixed = Vec::new();
        let mut listed: HashMap<ServiceName, BTreeSet<SoftwareVersion>> = HashMap::new();
        for backend in list {
            let versions = listed.entry(backend.service.clone()).or_default();
            versions.extend(backend.software_version.clone());
        }
        for service in listed.keys() {
            self.services.entry(service.clone()).or_default();
        }
        for (service, versions) in &mut self.services {
            let listed = listed.remove(service).unwrap_or_default();
            if versions.set_listed(listed, memory, now) {
                mixed.push(service.clone());
            }
        }
        self.services.retain(|_, versions| !versions.is_empty());
        mixed
    }

    /// Returns whether no other version of a service can have served within `memory`, which takes
    /// lists of that time.
    pub fn is_surely_one(&self, service: &str, memory: Duration, now: Instant) -> bool {
        let since = self.listed_since;
        let has_history = since.is_some_and(|at| now.saturating_duration_since(at) >= memory);
        has_history && self.mix(service, memory, now) == VersionMix::One
    }

    /// Returns the names of the versions of a service that are listed or were within `memory`.
    pub fn versions(&self, service: &str, memory: Duration, now: Instant) -> Vec<SoftwareVersion> {
        let versions = self.services.get(service);
        versions.map_or(Vec::new(), |versions| versions.names(memory, now))
    }

    /// Returns the services with versions.
    pub fn services(&self) -> Vec<ServiceName> {
        self.services.keys().cloned().collect()
    }

    /// Returns the time since the first list; `None` before it.
    pub fn covered(&self, now: Instant) -> Option<Duration> {
        let since = self.listed_since;
        since.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the versions of a service whose streams may be taken up within `memory`. Before the
    /// first list there may be several.
    pub fn mix(&self, service: &str, memory: Duration, now: Instant) -> VersionMix {
        if self.listed_since.is_none() {
            return VersionMix::Several { former: None };
        }
        match self.services.get(service) {
            Some(versions) => versions.mix(memory, now),
            None => VersionMix::One,
        }
    }
}

impl ServiceVersions {
    /// Returns whether the service had one version and has several now.
    fn set_listed(
        &mut self,
        listed: BTreeSet<SoftwareVersion>,
        memory: Duration,
        now: Instant,
    ) -> bool {
        let was_one = self.mix(memory, now) == VersionMix::One;
        let before = std::mem::replace(&mut self.listed, listed);
        self.unlisted.retain(|version, at| {
            !self.listed.contains(version) && now.saturating_duration_since(*at) < memory
        });
        let gone = before.difference(&self.listed);
        self.unlisted.extend(gone.map(|v| (v.clone(), now)));
        let is_mixed = was_one && self.mix(memory, now) != VersionMix::One;
        if is_mixed {
            let sole = before.first().or_else(|| self.unlisted.keys().next());
            self.former = sole.map(|version| (version.clone(), now));
        }
        is_mixed
    }

    fn is_empty(&self) -> bool {
        self.listed.is_empty() && self.unlisted.is_empty()
    }

    /// Returns the versions that are listed or were within `memory`, in their order.
    fn names(&self, memory: Duration, now: Instant) -> Vec<SoftwareVersion> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < memory;
        let recent = self.unlisted.iter().filter(|(_, at)| is_recent(at));
        let names = self.listed.iter().chain(recent.map(|(version, _)| version));
        let names: BTreeSet<SoftwareVersion> = names.cloned().collect();
        names.into_iter().collect()
    }

    fn mix(&self, memory: Duration, now: Instant) -> VersionMix {
        let age = |at: &Instant| now.saturating_duration_since(*at);
        let recent = self.unlisted.values().filter(|at| age(at) < memory).count();
        if self.listed.len() + recent <= 1 {
            return VersionMix::One;
        }
        let former = self.former.as_ref();
        let former = former.filter(|(_, at)| age(at) < SPREAD_TIME);
        VersionMix::Several {
            former: former.map(|(version, _)| version.clone()),
        }
    }
}
