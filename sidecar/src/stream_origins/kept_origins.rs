use {
    chalkcart_coordination::software_versions::{StreamOrigins, VersionHistory},
    chalkcart_protocol::peer::{StreamOriginsRequest, StreamOriginsResponse, VersionReport},
    chalkcart_state::ids::ServiceName,
    chalkcart_transport::clock,
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Longest time for which an origin is kept, whatever an entry requests.
const MAX_KEEP: Duration = Duration::from_secs(600);
/// Most services whose versions are kept.
const MAX_SERVICES: usize = 256;

/// The origins that entries had this sidecar keep, and what they know of versions.
#[derive(Debug)]
pub struct KeptOrigins {
    kept: Mutex<Kept>,
    started: Instant,
}

#[derive(Debug, Default)]
struct Kept {
    origins: StreamOrigins,
    versions: HashMap<ServiceName, VersionHistory>,
}

impl Default for KeptOrigins {
    fn default() -> Self {
        Self {
            kept: Mutex::default(),
            started: clock::now(),
        }
    }
}

impl KeptOrigins {
    pub fn response(&self, request: StreamOriginsRequest) -> StreamOriginsResponse {
        let now = clock::now();
        let mut kept = self.lock();
        let keep = Duration::from_millis(request.keep_ms).min(MAX_KEEP);
        for origin in request.kept {
            kept.origins.insert(origin, keep, now);
        }
        for report in &request.versions {
            kept.on_report(report, keep, now);
        }
        let asked = request.asked.iter();
        let known = asked.filter_map(|request| kept.origins.get(request, now));
        StreamOriginsResponse {
            known: known.cloned().collect(),
            kept_for_ms: Some(clock::elapsed(self.started).as_millis() as u64),
            versions: kept.reports(now),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        // No holder panics in the middle of an update.
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Kept {
    fn on_report(&mut self, report: &VersionReport, keep: Duration, now: Instant) {
        let is_full = self.versions.len() >= MAX_SERVICES;
        if is_full && !self.versions.contains_key(&report.service) {
            return;
        }
        let versions = self.versions.entry(report.service.clone()).or_default();
        versions.on_report(report, now);
        versions.forget_before(keep, now);
    }

    fn reports(&self, now: Instant) -> Vec<VersionReport> {
        let versions = self.versions.iter();
        let reports = versions.filter_map(|(service, known)| known.report(service, now));
        reports.collect()
    }
}
