use {
    super::{
        crash_record::{CompletedRun, Crash, Stamp, RETENTION},
        part_change::{PartChange, PartChangeKind, PartChanges},
        part_evidence::{part_verdict, BlockedPart, PartEvidence, PartVerdict, EARLY_CRASH},
        record_table::RecordTable,
        seen_events::SeenEvents,
        EngineCrash, InterruptedRun,
    },
    crate::membership::stable_hash,
    chalkcart_protocol::peer::{CrashEvent, CrashReport},
    chalkcart_state::ingress::{PartId, PartRecord, RequestDigest},
    std::{
        collections::HashSet,
        hash::{DefaultHasher, Hash, Hasher},
        time::{Duration, Instant},
    },
};

/// A request is blocked after this many engines have crashed while running it, without a
/// completed run in between. One crash doesn't tell which of the concurrent requests was
/// the cause. An innocent one would have to run beside the cause three times in a row without
/// completing, which a retry or two of its client doesn't bring about.
pub const BLOCKED_AFTER_CRASHES: usize = 3;
/// Upper bound on the number of tracked requests: 16 crashes of engines with 256 requests each;
/// about 0.9 MB when full.
pub const MAX_TRACKED_REQUESTS: usize = 4_096;
/// Upper bound on the records of parts, of which each part has two: 28 crashes of engines with 24
/// requests of three parts each that no other request has; at most 4.2 MB when full.
pub const MAX_TRACKED_PARTS: usize = 4_096;
/// Upper bound on the crashes that are kept per request.
const MAX_CRASHES_PER_REQUEST: usize = BLOCKED_AFTER_CRASHES + 1;
/// Upper bound on the crashes that are kept per record of a part. They explain crashes of others.
const MAX_CRASHES_PER_PART: usize = 32;
/// Upper bound on the reports in one message, about 72 kB.
const MAX_REPORTS_PER_MESSAGE: usize = 1_000;

/// Assessment of a request by the crashes attributed to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestVerdict {
    /// No engine has crashed while running it since its last completed run.
    Clear,
    /// Engines have crashed while running it, but fewer than block it.
    Suspected { crashes: usize },
    /// It crashes the engines that run it and must be rejected.
    Blocked {
        crashes: usize,
        /// Time since the last crash.
        age: Duration,
    },
}

/// Records requests that were running when an engine crashed, and the parts of their prompts.
///
/// Each record states an event that has happened. Registries can therefore be merged in any
/// order and any number of times; entries exchange their records through aggregators. Each
/// event has an identity that doesn't change on its way, since its age grows by the time that
/// each message takes.
#[derive(Debug)]
pub struct CrashRegistry {
    /// Identifies this registry in the ids of the completed runs that it records first.
    origin: u64,
    /// Number of completed runs that this registry has recorded first.
    own_runs: u64,
    requests: RecordTable,
    parts: RecordTable,
    /// The parts with enough crashes to block them.
    suspects: Vec<PartEvidence>,
    seen: SeenEvents,
    revision: u64,
    changes: PartChanges,
    /// Whether the events come from another process.
    is_merging: bool,
}

impl Default for CrashRegistry {
    fn default() -> Self {
        Self::new(0)
    }
}

impl CrashRegistry {
    /// `origin` is a random number that differs from that of every other process. A process
    /// that only merges reports needs none and uses the default.
    pub fn new(origin: u64) -> Self {
        Self {
            origin,
            own_runs: 0,
            requests: RecordTable::new(MAX_TRACKED_REQUESTS, MAX_CRASHES_PER_REQUEST),
            parts: RecordTable::new(MAX_TRACKED_PARTS, MAX_CRASHES_PER_PART),
            suspects: Vec::new(),
            seen: SeenEvents::default(),
            revision: 0,
            changes: PartChanges::default(),
            is_merging: false,
        }
    }

    /// Returns the revision, which increases with each new event.
    pub fn revision(&self) -> u64 {
        self.revision
    }
    /// Returns the number of requests with a record.
    pub fn len(&self) -> usize {
        self.requests.len()
    }
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Assesses a request that arrives now. Crashes that a part explains don't count.
    pub fn verdict(&mut self, digest: &RequestDigest, now: Instant) -> RequestVerdict {
        let Some(record) = self.requests.used(digest, now) else {
            return RequestVerdict::Clear;
        };
        let is_explained = |crash: &&Crash| {
            let mut suspects = self.suspects.iter();
            suspects.any(|suspect| suspect.has_crash(crash.incarnation))
        };
        let crashes = record.crashes.iter();
        let crashes = crashes.filter(|crash| !is_explained(crash));
        let crashes: Vec<&Crash> = crashes.collect();
        match crashes.last().map(|crash| crash.stamp.at) {
            None => RequestVerdict::Clear,
            Some(at) if crashes.len() >= BLOCKED_AFTER_CRASHES => RequestVerdict::Blocked {
                crashes: crashes.len(),
                age: now.saturating_duration_since(at),
            },
            Some(_) => RequestVerdict::Suspected {
                crashes: crashes.len(),
            },
        }
    }

    /// Returns the part for which a request with these parts must not run now.
    pub fn blocked_part(&mut self, parts: &[PartId], now: Instant) -> Option<BlockedPart> {
        match self.part_verdict(parts, now) {
            PartVerdict::Blocked(blocked) => Some(blocked),
            PartVerdict::Excused(_) | PartVerdict::Clear => None,
        }
    }

    /// Returns whether a request with these parts may run now.
    pub fn part_verdict(&mut self, parts: &[PartId], now: Instant) -> PartVerdict {
        let suspects = &self.suspects;
        let is_suspected = |part: &&PartId| suspects.iter().any(|s| s.part == **part);
        let Some(part) = parts.iter().find(is_suspected) else {
            return PartVerdict::Clear;
        };
        let spread = spread_of(self.origin, *part);
        let verdict = part_verdict(parts, suspects, spread, now);
        for record in parts.iter().flat_map(|part| PartRecord::both(*part)) {
            self.parts.used(&record.digest(), now);
        }
        verdict
    }

    /// Returns what was learnt about parts since the last call, and the number of changes that
    /// were left out.
    pub fn take_part_changes(&mut self) -> (Vec<PartChange>, u64) {
        self.changes.take()
    }

    /// Returns the parts with enough crashes to block them.
    pub fn suspected_parts(&self) -> Vec<PartId> {
        self.suspects.iter().map(|s| s.part).collect()
    }

    /// Records a crash under all requests that the engine ran, and under their parts.
    pub fn on_crash(&mut self, crash: &EngineCrash, now: Instant) {
        let incarnation = stable_hash(&crash.backend.to_string());
        for run in &crash.runs {
            self.on_engine_ended(run.digest, incarnation, run.at, now);
        }
        let begun = crash.runs.iter().filter(|run| run.written.is_some());
        let (early, late): (Vec<&InterruptedRun>, Vec<&InterruptedRun>) =
            begun.partition(|run| is_early(run));
        let mut recorded: HashSet<PartId> = HashSet::new();
        for (runs, is_early) in [(late, false), (early, true)] {
            for (part, at) in runs.iter().flat_map(|run| parts_of(run)) {
                if recorded.insert(part) {
                    let record = PartRecord { part, is_early };
                    self.on_engine_ended(record.digest(), incarnation, at, now);
                }
            }
        }
    }

    /// Records that an engine crashed while running a request. Returns whether this is new.
    pub fn on_engine_ended(
        &mut self,
        digest: RequestDigest,
        incarnation: u64,
        at: Instant,
        now: Instant,
    ) -> bool {
        let event = CrashEvent::Ended { life: incarnation };
        self.record_event(digest, event, 0, at, now)
    }

    /// Records that a request ran to completion. Returns whether this is new. Requests
    /// without a crash are not recorded, so that the registry stays empty while no engine
    /// crashes.
    pub fn on_completed(&mut self, digest: RequestDigest, now: Instant) -> bool {
        if self.table(&digest).crashes_of(&digest).is_empty() {
            return false;
        }
        self.own_runs += 1;
        let run_id = nonzero_hash((self.origin, self.own_runs));
        self.record_event(digest, CrashEvent::Served, run_id, now, now)
    }

    /// Records that a prompt with these parts was answered to its end. Returns whether this is
    /// new.
    pub fn on_parts_served(&mut self, parts: &[PartId], now: Instant) -> bool {
        let records = parts.iter().flat_map(|part| PartRecord::both(*part));
        self.clear_parts(records, now)
    }

    /// Records that an engine has written an answer to a prompt with these parts for
    /// `OUTLIVED_AFTER`. Returns whether this is new.
    pub fn on_parts_outlived(&mut self, parts: &[PartId], now: Instant) -> bool {
        let records = parts.iter().map(|part| PartRecord {
            part: *part,
            is_early: true,
        });
        self.clear_parts(records, now)
    }

    fn clear_parts(&mut self, records: impl Iterator<Item = PartRecord>, now: Instant) -> bool {
        if self.parts.is_empty() {
            return false;
        }
        let new = records.filter(|record| self.on_completed(record.digest(), now));
        new.count() > 0
    }

    /// Adds the reports of another process. Returns whether any of them is new.
    pub fn merge(&mut self, reports: &[CrashReport], now: Instant) -> bool {
        let previous = self.revision;
        self.is_merging = true;
        for report in reports {
            let age = Duration::from_millis(report.age_ms);
            let at = now.checked_sub(age).unwrap_or(now);
            self.record_event(report.digest, report.event, report.run_id, at, now);
        }
        self.is_merging = false;
        self.revision != previous
    }

    /// Returns the events after a revision, oldest first and at most one message full, and
    /// the revision up to which they are complete.
    pub fn reports_since(&self, revision: u64, now: Instant) -> (Vec<CrashReport>, u64) {
        if revision >= self.revision {
            return (Vec::new(), self.revision);
        }
        let mut reports: Vec<(u64, CrashReport)> = Vec::new();
        for (digest, record) in self.requests.iter().chain(self.parts.iter()) {
            let newer = record
                .events()
                .filter(|(_, _, stamp)| stamp.revision > revision);
            reports.extend(newer.map(|(event, run_id, stamp)| {
                let age = now.saturating_duration_since(stamp.at);
                let report = CrashReport {
                    digest: *digest,
                    event,
                    age_ms: age.as_millis() as u64,
                    run_id,
                };
                (stamp.revision, report)
            }));
        }
        reports.sort_unstable_by_key(|(revision, _)| *revision);
        let complete_up_to = match reports.get(MAX_REPORTS_PER_MESSAGE) {
            Some(_) => reports[MAX_REPORTS_PER_MESSAGE - 1].0,
            None => self.revision,
        };
        reports.truncate(MAX_REPORTS_PER_MESSAGE);
        (
            reports.into_iter().map(|(_, report)| report).collect(),
            complete_up_to,
        )
    }

    fn record_event(
        &mut self,
        digest: RequestDigest,
        event: CrashEvent,
        run_id: u64,
        at: Instant,
        now: Instant,
    ) -> bool {
        if now.saturating_duration_since(at) >= RETENTION {
            return false;
        }
        let is_repeated =
            event_id(&digest, event, run_id).is_some_and(|event| !self.seen.insert(event));
        if is_repeated {
            return false;
        }
        let stamp = Stamp {
            at,
            revision: self.revision + 1,
        };
        let record = self.table_mut(&digest).reported(digest, now);
        let is_new = match event {
            CrashEvent::Ended { life } => record.add_crash(Crash {
                incarnation: life,
                stamp,
            }),
            CrashEvent::Served => record.on_completed(CompletedRun { id: run_id, stamp }),
        };
        if is_new {
            self.revision += 1;
            if let Some(record) = PartRecord::of(&digest) {
                self.record_change(record, event, at, now);
                self.update_suspect(record.part, now);
            }
        }
        is_new
    }

    /// Records what an event says about a part, for the log.
    fn record_change(&mut self, record: PartRecord, event: CrashEvent, at: Instant, now: Instant) {
        let kind = match event {
            CrashEvent::Ended { life } => PartChangeKind::Crash {
                life,
                is_early: record.is_early,
            },
            CrashEvent::Served => PartChangeKind::DidWell,
        };
        self.changes.push(PartChange {
            part: record.part,
            kind,
            is_own: !self.is_merging,
            age: now.saturating_duration_since(at),
        });
    }

    fn table(&self, digest: &RequestDigest) -> &RecordTable {
        match PartRecord::of(digest) {
            Some(_) => &self.parts,
            None => &self.requests,
        }
    }
    fn table_mut(&mut self, digest: &RequestDigest) -> &mut RecordTable {
        match PartRecord::of(digest) {
            Some(_) => &mut self.parts,
            None => &mut self.requests,
        }
    }

    /// Adds or removes a part whose records have changed.
    fn update_suspect(&mut self, part: PartId, now: Instant) {
        let [early, late] = PartRecord::both(part).map(|record| record.digest());
        let evidence = PartEvidence::new(
            part,
            self.parts.crashes_of(&early),
            self.parts.crashes_of(&late),
        );
        let was_suspected = self.suspects.iter().any(|suspect| suspect.part == part);
        // those whose records have expired or were evicted go, too
        self.suspects.retain(|suspect| {
            let age = suspect.age(now);
            suspect.part != part && age.is_some_and(|age| age < RETENTION)
        });
        let is_suspected = evidence.is_sufficient();
        let kind = match is_suspected {
            true => PartChangeKind::Suspected {
                crashes: evidence.crash_count(),
            },
            false => PartChangeKind::Released,
        };
        if is_suspected != was_suspected {
            self.changes.push(PartChange {
                part,
                kind,
                is_own: !self.is_merging,
                age: evidence.age(now).unwrap_or_default(),
            });
        }
        if is_suspected {
            self.suspects.push(evidence);
        }
    }
}

/// Returns whether the response of a run had only begun when its engine crashed.
fn is_early(run: &InterruptedRun) -> bool {
    run.written.is_some_and(|written| written < EARLY_CRASH)
}

/// Returns the parts of a run with the time at which it was interrupted.
fn parts_of(run: &InterruptedRun) -> impl Iterator<Item = (PartId, Instant)> + '_ {
    run.shared_parts.iter().map(|part| (*part, run.at))
}

/// Returns a number from 0 to 1 that differs between entries and parts.
fn spread_of(origin: u64, part: PartId) -> f64 {
    nonzero_hash((origin, part)) as f64 / u64::MAX as f64
}

/// Returns the identity of an event; `None` for a completed run that an older build reports
/// without one.
fn event_id(digest: &RequestDigest, event: CrashEvent, run_id: u64) -> Option<u64> {
    match event {
        CrashEvent::Ended { life } => Some(nonzero_hash((digest, life))),
        CrashEvent::Served => (run_id != 0).then_some(run_id),
    }
}

/// Returns a hash that is not 0.
fn nonzero_hash(parts: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish().max(1)
}
