use {
    chalkcart_coordination::software_versions::{stream_memory, SoftwareVersions, VersionMix},
    chalkcart_state::{
        backends::{BackendId, BackendList, SoftwareVersion},
        ids::ServiceName,
        ingress::{Route, RouteTable},
    },
    chalkcart_transport::clock,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// The software versions that may have begun streams which are still taken up.
pub struct SharedSoftwareVersions {
    known: Mutex<Known>,
    /// Whether the whole fleet starts with this process, so that no other version has served.
    is_first_start: bool,
}

/// What this process knows of the versions of a service, for logs and metrics.
#[derive(Debug, Default)]
pub struct KnownVersions {
    /// Those listed now or within the memory.
    versions: Vec<SoftwareVersion>,
    /// Time of which all versions are known; `None` before the first list.
    covered: Option<Duration>,
}

impl KnownVersions {
    /// Returns the versions, separated by commas.
    pub fn names(&self) -> String {
        self.versions.join(",")
    }

    /// Returns the number of versions.
    pub fn count(&self) -> usize {
        self.versions.len()
    }

    /// Returns the time of which all versions are known, in s; -1 before the first list.
    pub fn covered_s(&self) -> i64 {
        self.covered.map_or(-1, |time| time.as_secs() as i64)
    }

    /// Returns the time of which all versions are known, in ms; -1 before the first list.
    pub fn covered_ms(&self) -> i64 {
        self.covered.map_or(-1, |time| time.as_millis() as i64)
    }
}

struct Known {
    versions: SoftwareVersions,
    /// The version of each back end in the list.
    listed: HashMap<BackendId, SoftwareVersion>,
    /// Time after which no stream is taken up any more.
    memory: Duration,
    /// The versions of each service as logged last.
    logged: HashMap<ServiceName, String>,
}

impl Known {
    /// Logs the versions of services that have changed.
    fn log_changes(&mut self) {
        let now = clock::now();
        let covered = self.versions.covered(now).unwrap_or_default();
        for service in self.versions.services() {
            let names = self.versions.versions(&service, self.memory, now).join(",");
            let before = self.logged.get(&service).cloned().unwrap_or_default();
            if names == before {
                continue;
            }
            log::info!(
                service = service.as_str(),
                versions = names.as_str(),
                before = before.as_str(),
                known_ms = covered.as_millis() as u64;
                "store: software versions"
            );
            self.logged.insert(service, names);
        }
    }
}

impl SharedSoftwareVersions {
    pub fn new(is_first_start: bool) -> Self {
        let known = Known {
            versions: SoftwareVersions::default(),
            listed: HashMap::new(),
            memory: stream_memory(Duration::ZERO),
            logged: HashMap::new(),
        };
        Self {
            known: Mutex::new(known),
            is_first_start,
        }
    }

    /// Applies a list; returns the services that had one version and have several now.
    pub fn on_list(&self, list: &BackendList) -> Vec<ServiceName> {
        let mut known = self.known_state();
        let memory = known.memory;
        let mixed = known.versions.on_list(list, memory, clock::now());
        known.log_changes();
        let versions = list.iter().filter_map(|backend| {
            let version = backend.software_version.clone()?;
            Some((backend.id.clone(), version))
        });
        known.listed = versions.collect();
        mixed
    }

    /// Returns whether origins of a service's streams have to be kept: several versions may have
    /// served within the memory.
    pub fn may_mix(&self, service: &str) -> bool {
        let known = self.known_state();
        let now = clock::now();
        let mix = known.versions.mix(service, known.memory, now);
        let is_sure = known.versions.is_surely_one(service, known.memory, now);
        mix != VersionMix::One || !(is_sure || self.is_first_start)
    }

    /// Returns what is known of the versions of a service.
    pub fn known(&self, service: &str) -> KnownVersions {
        let known = self.known_state();
        let now = clock::now();
        KnownVersions {
            versions: known.versions.versions(service, known.memory, now),
            covered: known.versions.covered(now),
        }
    }

    /// Returns the services with a listed version.
    pub fn services(&self) -> Vec<ServiceName> {
        self.known_state().versions.services()
    }

    /// Returns the version of a listed back end.
    pub fn version_of(&self, backend: &BackendId) -> Option<SoftwareVersion> {
        self.known_state().listed.get(backend).cloned()
    }

    pub fn on_configuration(&self, table: &RouteTable) {
        let is_stream = |route: &&Arc<Route>| route.kind.is_stream();
        let streams = table.routes().filter(is_stream);
        let longest = streams.map(|route| route.timeout).max();
        self.known_state().memory = stream_memory(longest.unwrap_or_default());
    }

    /// Returns the time after which no stream is taken up any more.
    pub fn memory(&self) -> Duration {
        self.known_state().memory
    }

    pub fn mix(&self, service: &str) -> VersionMix {
        let known = self.known_state();
        known.versions.mix(service, known.memory, clock::now())
    }

    fn known_state(&self) -> MutexGuard<'_, Known> {
        // No holder panics in the middle of an update.
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
