use {
    super::{StreamOrigins, VersionHistory},
    chalkcart_protocol::peer::{StreamOriginsRequest, StreamOriginsResponse, VersionReport},
    chalkcart_state::ids::ServiceName,
    std::{
        collections::{BTreeSet, HashMap},
        time::{Duration, Instant},
    },
};

/// Longest time for which an origin is kept, whatever an entry requests.
const MAX_KEEP: Duration = Duration::from_secs(600);
/// Most services whose versions are kept.
const MAX_SERVICES: usize = 256;

/// What a sidecar keeps for entries: the origins of streams, and what was known of versions.
#[derive(Debug)]
pub struct OriginKeeper {
    started: Instant,
    origins: StreamOrigins,
    versions: HashMap<ServiceName, VersionHistory>,
}

impl OriginKeeper {
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            origins: StreamOrigins::default(),
            versions: HashMap::new(),
        }
    }

    /// Keeps what an entry tells, and returns what it asks for.
    pub fn response(
        &mut self,
        request: StreamOriginsRequest,
        now: Instant,
    ) -> StreamOriginsResponse {
        let keep = Duration::from_millis(request.keep_ms).min(MAX_KEEP);
        for origin in request.kept {
            self.origins.insert(origin, keep, now);
        }
        for report in &request.versions {
            self.on_report(report, now);
        }
        let asked = request.asked.iter();
        let known = asked.filter_map(|request| self.origins.get(request, now));
        let kept_for = now.saturating_duration_since(self.started);
        StreamOriginsResponse {
            known: known.cloned().collect(),
            kept_for_ms: Some(kept_for.as_millis() as u64),
            versions: self.reports(&request.versions, now),
        }
    }

    /// Returns whether the origin of a stream is kept.
    pub fn keeps(&self, request: &str, now: Instant) -> bool {
        self.origins.get(request, now).is_some()
    }

    fn on_report(&mut self, report: &VersionReport, now: Instant) {
        let is_full = self.versions.len() >= MAX_SERVICES;
        if is_full && !self.versions.contains_key(&report.service) {
            return;
        }
        let versions = self.versions.entry(report.service.clone()).or_default();
        versions.on_report(report, now);
        versions.forget_before(MAX_KEEP, now);
    }

    /// Returns what is known of the services of which the entry reports.
    fn reports(&self, named: &[VersionReport], now: Instant) -> Vec<VersionReport> {
        let services: BTreeSet<&ServiceName> = named.iter().map(|r| &r.service).collect();
        let reports = services.into_iter().filter_map(|service| {
            let known = self.versions.get(service)?;
            known.report(service, now)
        });
        reports.collect()
    }
}
