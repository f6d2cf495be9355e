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

struct Known {
    versions: SoftwareVersions,
    /// The version of each back end in the list.
    listed: HashMap<BackendId, SoftwareVersion>,
    /// Time after which no stream is taken up any more.
    memory: Duration,
}

impl SharedSoftwareVersions {
    pub fn new(is_first_start: bool) -> Self {
        let known = Known {
            versions: SoftwareVersions::default(),
            listed: HashMap::new(),
            memory: stream_memory(Duration::ZERO),
        };
        Self {
            known: Mutex::new(known),
            is_first_start,
        }
    }

    /// Applies a list; returns the services that had one version and have several now.
    pub fn on_list(&self, list: &BackendList) -> Vec<ServiceName> {
        let mut known = self.known();
        let memory = known.memory;
        let mixed = known.versions.on_list(list, memory, clock::now());
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
        let known = self.known();
        let now = clock::now();
        let mix = known.versions.mix(service, known.memory, now);
        let is_sure = known.versions.is_surely_one(service, known.memory, now);
        mix != VersionMix::One || !(is_sure || self.is_first_start)
    }

    /// Returns the version of a listed back end.
    pub fn version_of(&self, backend: &BackendId) -> Option<SoftwareVersion> {
        self.known().listed.get(backend).cloned()
    }

    pub fn on_configuration(&self, table: &RouteTable) {
        let is_stream = |route: &&Arc<Route>| route.kind.is_stream();
        let streams = table.routes().filter(is_stream);
        let longest = streams.map(|route| route.timeout).max();
        self.known().memory = stream_memory(longest.unwrap_or_default());
    }

    /// Returns the time after which no stream is taken up any more.
    pub fn memory(&self) -> Duration {
        self.known().memory
    }

    pub fn mix(&self, service: &str) -> VersionMix {
        let known = self.known();
        known.versions.mix(service, known.memory, clock::now())
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        // No holder panics in the middle of an update.
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
