use {
    chalkcart_coordination::software_versions::{stream_memory, SoftwareVersions, VersionMix},
    chalkcart_state::{
        backends::BackendList,
        ingress::{Route, RouteTable},
    },
    chalkcart_transport::clock,
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// The software versions that may have begun streams which are still taken up.
pub struct SharedSoftwareVersions {
    known: Mutex<Known>,
}

struct Known {
    versions: SoftwareVersions,
    /// Time after which no stream is taken up any more.
    memory: Duration,
}

impl Default for SharedSoftwareVersions {
    fn default() -> Self {
        let known = Known {
            versions: SoftwareVersions::default(),
            memory: stream_memory(Duration::ZERO),
        };
        Self {
            known: Mutex::new(known),
        }
    }
}

impl SharedSoftwareVersions {
    pub fn on_list(&self, list: &BackendList) {
        let mut known = self.known();
        let memory = known.memory;
        known.versions.on_list(list, memory, clock::now());
    }

    pub fn on_configuration(&self, table: &RouteTable) {
        let is_stream = |route: &&std::sync::Arc<Route>| route.kind.is_stream();
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
