use {
    super::ended_engines::EndedEngines,
    chalkcart_coordination::crashes::{
        CrashRegistry, EngineCrash, InterruptedRun, PartChange, PartChangeKind, PartRun,
        PartVerdict, RequestVerdict,
    },
    chalkcart_coordination::membership::stable_hash,
    chalkcart_protocol::peer::CrashReport,
    chalkcart_state::ingress::{part_list, PartId, RequestDigest},
    chalkcart_transport::{clock, metrics::CrashMetrics},
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        sync::{
            atomic::{AtomicBool, Ordering},
            Mutex, MutexGuard,
        },
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// Maximum number of runs named in one log line.
const MAX_RUNS_LOGGED: usize = 8;
/// Maximum number of parts named in one log line, those of most runs first.
const MAX_PARTS_LOGGED: usize = 24;

/// The entry's registry of requests that were running when engines crashed.
pub struct SharedCrashRegistry {
    registry: Mutex<CrashRegistry>,
    has_parts: AtomicBool,
    /// Notifies subscribers of the registry's revision.
    revision: watch::Sender<u64>,
    /// Engines that ended while they ran requests of this entry.
    pub ended: EndedEngines,
    pub metrics: CrashMetrics,
}

impl Default for SharedCrashRegistry {
    fn default() -> Self {
        Self {
            registry: Mutex::new(CrashRegistry::new(rand::random())),
            has_parts: AtomicBool::new(false),
            revision: watch::Sender::new(0),
            ended: EndedEngines::default(),
            metrics: CrashMetrics::default(),
        }
    }
}

impl SharedCrashRegistry {
    pub fn verdict(&self, digest: &RequestDigest) -> RequestVerdict {
        self.registry().verdict(digest, clock::now())
    }

    /// Returns whether this is the one run that may try a blocked request again.
    pub fn take_try(&self, digest: &RequestDigest) -> bool {
        self.registry().take_try(digest, clock::now())
    }

    /// Sets the number of entries in the fleet.
    pub fn set_entries(&self, entries: u32) {
        self.registry().set_entries(entries);
    }

    /// Returns whether a request with these parts may run now.
    pub fn part_verdict(&self, parts: &[PartId]) -> PartVerdict {
        self.registry().part_verdict(parts, clock::now())
    }

    /// Returns whether engines crashed under parts of prompts, so that runs are of interest.
    pub fn has_parts(&self) -> bool {
        self.has_parts.load(Ordering::Relaxed)
    }

    /// Sets the number of engines that can take requests now.
    pub fn set_engines(&self, engines: usize) {
        self.registry().set_engines(engines, clock::now());
    }

    /// Records that a prompt with these parts was answered to its end.
    pub fn on_parts_served(&self, run: &mut PartRun, parts: &[PartId]) {
        let mut registry = self.registry();
        if registry.on_parts_served(run, parts, clock::now()) {
            self.publish(&mut registry);
        }
    }

    /// Records how long the response to a prompt with these parts has been written, and that it goes
    /// on.
    pub fn on_parts_progress(&self, run: &mut PartRun, parts: &[PartId], written: Duration) {
        let mut registry = self.registry();
        if registry.on_parts_progress(run, parts, written, clock::now()) {
            self.publish(&mut registry);
        }
    }

    /// Records that the response to a prompt with these parts ended before its end, though not with
    /// its engine.
    pub fn on_parts_left(&self, run: &mut PartRun, parts: &[PartId], written: Duration) {
        let mut registry = self.registry();
        if registry.on_parts_left(run, parts, written, clock::now()) {
            self.publish(&mut registry);
        }
    }

    /// Records requests that ran to completion.
    pub fn on_completed(&self, digests: Vec<RequestDigest>) {
        let now = clock::now();
        let mut registry = self.registry();
        let changes = digests
            .into_iter()
            .filter(|d| registry.on_completed(*d, now));
        if changes.count() > 0 {
            self.publish(&mut registry);
        }
    }

    /// Records runs whose connection ended their response and whose engine has survived.
    pub fn on_survived(&self, runs: Vec<InterruptedRun>) {
        for run in &runs {
            self.on_parts_served(&mut PartRun::default(), &run.shared_parts);
        }
        self.on_completed(runs.into_iter().map(|run| run.digest).collect());
    }

    /// Records engine crashes with the requests that were running.
    pub fn on_engine_crashes(&self, crashes: Vec<EngineCrash>) {
        let now = clock::now();
        for crash in crashes {
            let mut registry = self.registry();
            registry.on_crash(&crash, now);
            self.publish(&mut registry);
            drop(registry);
            self.metrics.ended.inc();
            log_crash(&crash, now);
            self.ended.insert(crash.backend, now);
        }
    }

    /// Merges the reports that an aggregator received from other entries.
    ///
    /// `sent_revision` is the revision up to which the aggregator has this registry; returns the
    /// one up to which it has it after the merge.
    pub fn merge(&self, reports: &[CrashReport], sent_revision: u64) -> u64 {
        let mut registry = self.registry();
        let before = registry.revision();
        if registry.merge(reports, clock::now()) {
            self.publish(&mut registry);
        }
        match sent_revision == before {
            true => registry.revision(),
            false => sent_revision,
        }
    }

    /// Returns the reports after `revision`, and the revision that they lead to.
    pub fn reports_since(&self, revision: u64) -> (Vec<CrashReport>, u64) {
        self.registry().reports_since(revision, clock::now())
    }

    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    fn publish(&self, registry: &mut CrashRegistry) {
        let parts = registry.suspected_parts(clock::now());
        self.has_parts
            .store(registry.has_parts(), Ordering::Relaxed);
        let (changes, left_out) = registry.take_part_changes();
        changes.iter().for_each(|change| self.log_change(change));
        if left_out > 0 {
            log::warn!(lines = left_out; "crashes: changes of parts left out");
        }
        if self.metrics.suspected_parts.set(parts.len() as i64) != parts.len() as i64 {
            log::warn!(parts = part_list(&parts).as_str(); "crashes: suspected parts changed");
        }
        self.metrics.remembered.set(registry.len() as i64);
        self.revision.send_replace(registry.revision());
    }

    fn log_change(&self, change: &PartChange) {
        self.metrics
            .on_part_change(change.kind.code(), change.is_own);
        let ms = |time: Duration| time.as_millis() as i64;
        let (mut life, mut written_ms, mut sent_ms) = (0, -1, -1);
        let (mut ended, mut good_runs, mut log_ratio) = (0, 0.0, 0.0);
        match change.kind {
            PartChangeKind::Crash {
                life: incarnation,
                written,
                sent_for,
            } => (life, written_ms, sent_ms) = (incarnation, ms(written), ms(sent_for)),
            PartChangeKind::DidWell { written } => written_ms = written.map_or(-1, ms),
            PartChangeKind::Suspected {
                crashes,
                good_runs: good,
                log_ratio: ratio,
            } => (ended, good_runs, log_ratio) = (crashes, good, ratio),
            PartChangeKind::Released => {}
        }
        log::info!(
            shared_part = change.part.to_string().as_str(),
            change = change.kind.code(),
            life = life,
            written_ms = written_ms,
            sent_ms = sent_ms,
            ended = ended,
            good_runs = good_runs,
            log_ratio = log_ratio,
            own = change.is_own,
            age_ms = change.age.as_millis() as u64;
            "crashes: part of prompts"
        );
    }

    fn registry(&self) -> MutexGuard<'_, CrashRegistry> {
        // No holder panics in the middle of an update.
        self.registry.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Returns `PART:RUNS:YOUNGEST:OLDEST` for each part of the runs aboard, with the times in ms for
/// which these runs had been written; -1 before the head of a response.
fn part_runs_text(crash: &EngineCrash) -> String {
    let mut parts: BTreeMap<PartId, Vec<i64>> = BTreeMap::new();
    for run in &crash.runs {
        let written = written_ms(run);
        for part in run.shared_parts.iter() {
            parts.entry(*part).or_default().push(written);
        }
    }
    let mut parts: Vec<(PartId, Vec<i64>)> = parts.into_iter().collect();
    parts.sort_by_key(|(_, written)| Reverse(written.len()));
    let texts = parts.iter().take(MAX_PARTS_LOGGED).map(|(part, written)| {
        let youngest = written.iter().min().unwrap_or(&-1);
        let oldest = written.iter().max().unwrap_or(&-1);
        format!("{part}:{}:{youngest}:{oldest}", written.len())
    });
    texts.collect::<Vec<String>>().join(" ")
}

fn log_crash(crash: &EngineCrash, now: Instant) {
    let logged = crash.runs.iter().take(MAX_RUNS_LOGGED);
    let logged: Vec<String> = logged.map(run_text).collect();
    let first = crash.runs.iter().map(|run| run.at).min().unwrap_or(now);
    log::warn!(
        backend = crash.backend.as_str(),
        born = crash.backend.start_time_ms,
        runs = crash.runs.len(),
        life = stable_hash(&crash.backend.to_string()),
        digests = logged.join(" ").as_str(),
        parts = part_runs_text(crash).as_str(),
        age_ms = now.saturating_duration_since(first).as_millis() as u64;
        "crashes: engine ended"
    );
}

/// Returns a run as `DIGEST:MS:PARTS`, with how long its response had been written; -1 before
/// its first part.
fn run_text(run: &InterruptedRun) -> String {
    format!(
        "{}:{}:{}",
        run.digest,
        written_ms(run),
        part_list(&run.shared_parts)
    )
}

/// Returns how long a response had been written, in ms; -1 before its head.
fn written_ms(run: &InterruptedRun) -> i64 {
    run.written.map_or(-1, |time| time.as_millis() as i64)
}
