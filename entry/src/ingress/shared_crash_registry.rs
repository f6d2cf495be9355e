use {
    chalkcart_coordination::{
        crashes::{CrashRegistry, EngineCrash, RequestVerdict},
        membership::stable_hash,
    },
    chalkcart_protocol::peer::CrashReport,
    chalkcart_state::ingress::RequestDigest,
    chalkcart_transport::{clock, metrics::CrashMetrics},
    std::{
        sync::{Mutex, MutexGuard},
        time::Instant,
    },
    tokio::sync::watch,
};

/// digests that a line of the log holds at most
const MAX_DIGESTS_LOGGED: usize = 8;

/// what this entry knows of requests under which engines ended
pub struct SharedCrashRegistry {
    registry: Mutex<CrashRegistry>,
    /// the registry's revision
    changed: watch::Sender<u64>,
    pub metrics: CrashMetrics,
}

impl Default for SharedCrashRegistry {
    fn default() -> Self {
        Self {
            registry: Mutex::default(),
            changed: watch::Sender::new(0),
            metrics: CrashMetrics::default(),
        }
    }
}

impl SharedCrashRegistry {
    pub fn verdict(&self, digest: &RequestDigest) -> RequestVerdict {
        self.registry().verdict(digest, clock::now())
    }

    /// requests were run to their end
    pub fn on_completed(&self, digests: Vec<RequestDigest>) {
        let now = clock::now();
        let mut registry = self.registry();
        let news = digests
            .into_iter()
            .filter(|d| registry.on_completed(*d, now));
        if news.count() > 0 {
            self.publish(&registry);
        }
    }

    /// engines have ended under runs
    pub fn on_engine_crashes(&self, crashes: Vec<EngineCrash>) {
        let now = clock::now();
        for crash in crashes {
            let mut registry = self.registry();
            let life = stable_hash(&crash.backend.to_string());
            for run in &crash.runs {
                registry.on_engine_ended(run.digest, life, run.at, now);
            }
            self.publish(&registry);
            drop(registry);
            self.metrics.ended.inc();
            log_crash(&crash, now);
        }
    }

    /// Take in what a keeper has heard of others. Gives the revision up to which that keeper
    /// knows this registry, if it knew it up to `told`.
    pub fn merge(&self, words: &[CrashReport], told: u64) -> u64 {
        let mut registry = self.registry();
        let before = registry.revision();
        if registry.merge(words, clock::now()) {
            self.publish(&registry);
        }
        match told == before {
            true => registry.revision(),
            false => told,
        }
    }
    /// what is known beyond a revision, and the revision that this leads to
    pub fn reports_since(&self, revision: u64) -> (Vec<CrashReport>, u64) {
        self.registry().reports_since(revision, clock::now())
    }
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn publish(&self, registry: &CrashRegistry) {
        self.metrics.remembered.set(registry.len() as i64);
        self.changed.send_replace(registry.revision());
    }
    fn registry(&self) -> MutexGuard<'_, CrashRegistry> {
        // no holder panics halfway through a change
        self.registry.lock().unwrap_or_else(|e| e.into_inner())
    }
}

fn log_crash(crash: &EngineCrash, now: Instant) {
    let digests = crash.runs.iter().take(MAX_DIGESTS_LOGGED);
    let digests: Vec<String> = digests.map(|run| run.digest.to_string()).collect();
    let first = crash.runs.iter().map(|run| run.at).min().unwrap_or(now);
    log::warn!(
        backend = crash.backend.as_str(),
        born = crash.backend.start_time_ms,
        runs = crash.runs.len(),
        digests = digests.join(",").as_str(),
        age_ms = now.saturating_duration_since(first).as_millis() as u64;
        "crashes: engine ended"
    );
}
