mod request_verdict;

pub use request_verdict::RequestVerdict;

use {
    super::{
        crash_record::{CompletedRun, Crash, Stamp, RETENTION},
        crash_times,
        part_change::PartChange,
        part_evidence::PartVerdict,
        part_history::{GoodRun, LongestRun, PartCrash},
        part_registry::PartRegistry,
        part_run::PartRun,
        recent_runs::RecentRuns,
        record_table::RecordTable,
        seen_events::SeenEvents,
        EngineCrash,
    },
    crate::membership::stable_hash,
    chalkcart_protocol::peer::{CrashEvent, CrashReport},
    chalkcart_state::ingress::{PartId, PartRecord, RequestDigest},
    std::{
        collections::HashMap,
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
/// Upper bound on the crashes that are kept per request; each beyond those that block it doubles the
/// time before it is tried again, three times at most.
const MAX_CRASHES_PER_REQUEST: usize = BLOCKED_AFTER_CRASHES + 3;
/// Number of entries that is assumed until it is known.
const ASSUMED_ENTRIES: u32 = 32;
/// Part of its time for which a run that goes on counts as a good one.
const COUNTED_PROGRESS: f64 = 2.0 / 3.0;
/// Upper bound on the reports in one message, about 72 kB.
const MAX_REPORTS_PER_MESSAGE: usize = 1_000;

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
    recent: RecentRuns,
    /// Number of entries in the fleet.
    entries: u32,
    parts: PartRegistry,
    seen: SeenEvents,
    revision: u64,
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
            recent: RecentRuns::default(),
            entries: ASSUMED_ENTRIES,
            parts: PartRegistry::default(),
            seen: SeenEvents::default(),
            revision: 0,
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

    /// Returns whether engines crashed under parts of prompts.
    pub fn has_parts(&self) -> bool {
        !self.parts.is_empty()
    }

    /// Sets the number of engines that can take requests now, by which crashes of other causes are
    /// expected.
    pub fn set_engines(&mut self, engines: usize, now: Instant) {
        self.parts.set_engines(engines, now);
    }

    /// Sets the number of entries, over whose tries of a blocked request time is divided.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries;
    }

    /// Returns whether a request with these parts may run now.
    pub fn part_verdict(&mut self, parts: &[PartId], now: Instant) -> PartVerdict {
        let origin = self.origin;
        self.parts
            .verdict(parts, |part| spread_of(origin, part), now)
    }

    /// Returns what was learnt about parts since the last call, and the number of changes that
    /// were left out.
    pub fn take_part_changes(&mut self) -> (Vec<PartChange>, u64) {
        self.parts.changes.take()
    }

    /// Returns the parts with enough crashes to block them.
    pub fn suspected_parts(&mut self, now: Instant) -> Vec<PartId> {
        let suspects = self.parts.suspects(now).iter();
        suspects.map(|suspect| suspect.part).collect()
    }

    /// Records a crash under all requests that the engine ran, and under their parts.
    pub fn on_crash(&mut self, crash: &EngineCrash, now: Instant) {
        let incarnation = stable_hash(&crash.backend.to_string());
        let mut longest: HashMap<PartId, (LongestRun, Instant)> = HashMap::new();
        for run in &crash.runs {
            self.on_engine_ended(run.digest, incarnation, run.at, now);
            let aboard = LongestRun::of(run);
            for part in run.shared_parts.iter() {
                let (known, at) = longest.entry(*part).or_insert((aboard, run.at));
                *known = known.max(aboard);
                *at = run.at.min(*at);
            }
        }
        for (part, (aboard, at)) in longest {
            self.on_part_crash(part, (incarnation, aboard), at, now);
        }
    }

    fn on_part_crash(
        &mut self,
        part: PartId,
        (incarnation, aboard): (u64, LongestRun),
        at: Instant,
        now: Instant,
    ) {
        let is_early = crash_times::is_early(aboard);
        let digest = PartRecord { part, is_early }.digest();
        let event = CrashEvent::Ended { life: incarnation };
        let times = crash_times::encode(aboard);
        if self.is_new_event(&digest, event, times, at, now) {
            self.add_part_crash(part, (incarnation, aboard), true, at, now);
        }
    }

    fn add_part_crash(
        &mut self,
        part: PartId,
        (incarnation, aboard): (u64, LongestRun),
        is_own: bool,
        at: Instant,
        now: Instant,
    ) -> bool {
        let crash = PartCrash {
            incarnation,
            stamp: self.next_stamp(at),
            aboard,
        };
        let is_new = self.parts.on_crash(part, crash, is_own, now);
        self.revision += u64::from(is_new);
        if is_new {
            self.share_earlier_run(part, now);
        }
        is_new
    }

    /// Adds a good run of before the first crash under a part, so that other processes know of it.
    fn share_earlier_run(&mut self, part: PartId, now: Instant) {
        let Some(at) = self.parts.unshared_earlier_run(part, now) else {
            return;
        };
        self.own_runs += 1;
        let id = nonzero_hash((self.origin, self.own_runs, part));
        self.seen.insert(id);
        self.revision += 1;
        let run = GoodRun {
            id,
            at,
            written: Duration::MAX,
            revision: Some(self.revision),
        };
        self.parts.on_good_run(part, run, true, now);
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
    /// without a crash are remembered for a while but not recorded, so that the registry stays
    /// empty while no engine crashes.
    pub fn on_completed(&mut self, digest: RequestDigest, now: Instant) -> bool {
        self.recent.on_completed(digest, now);
        if self.requests.crashes_of(&digest).is_empty() {
            return false;
        }
        self.record_completed(digest, now, now)
    }

    fn record_completed(&mut self, digest: RequestDigest, at: Instant, now: Instant) -> bool {
        self.own_runs += 1;
        let run_id = nonzero_hash((self.origin, self.own_runs));
        self.record_event(digest, CrashEvent::Served, run_id, at, now)
    }

    /// Records the last run of a request that completed before a crash under it was known.
    fn record_recent_run(&mut self, digest: RequestDigest, now: Instant) {
        if let Some(at) = self.recent.last(&digest) {
            self.record_completed(digest, at, now);
        }
    }

    /// Records that a prompt with these parts was answered to its end. Returns whether other
    /// processes need to know.
    pub fn on_parts_served(&mut self, run: &mut PartRun, parts: &[PartId], now: Instant) -> bool {
        for part in parts {
            self.parts.on_served(*part, now);
        }
        self.add_good_run(run, parts, Duration::MAX, now)
    }

    /// Records that a response to a prompt with these parts ended before its end, after it had been
    /// written for some time, and not with its engine. Returns whether others need to know.
    pub fn on_parts_left(
        &mut self,
        run: &mut PartRun,
        parts: &[PartId],
        written: Duration,
        now: Instant,
    ) -> bool {
        self.add_good_run(run, parts, written, now)
    }

    /// Records that a response to a prompt with these parts has been written for some time and goes
    /// on. Returns whether others need to know.
    pub fn on_parts_progress(
        &mut self,
        run: &mut PartRun,
        parts: &[PartId],
        written: Duration,
        now: Instant,
    ) -> bool {
        // the run may end its engine a little later than those before
        self.add_good_run(run, parts, written.mul_f64(COUNTED_PROGRESS), now)
    }

    fn add_good_run(
        &mut self,
        run: &mut PartRun,
        parts: &[PartId],
        written: Duration,
        now: Instant,
    ) -> bool {
        if self.parts.is_empty() {
            return false;
        }
        let number = run.id.unwrap_or_else(|| {
            self.own_runs += 1;
            self.own_runs
        });
        let previous = self.revision;
        for part in parts {
            let id = nonzero_hash((self.origin, number, part));
            if !self.parts.is_good_run(part, id, written) {
                continue;
            }
            run.id = Some(number);
            let is_shared = self.parts.needs_sharing(part);
            let revision = is_shared.then_some(self.revision + 1);
            self.revision += u64::from(is_shared);
            self.seen.insert(id);
            let at = now;
            let good_run = GoodRun {
                id,
                at,
                written,
                revision,
            };
            self.parts.on_good_run(*part, good_run, true, now);
        }
        self.revision != previous
    }

    /// Adds the reports of another process. Returns whether any of them is new.
    pub fn merge(&mut self, reports: &[CrashReport], now: Instant) -> bool {
        let previous = self.revision;
        for report in reports {
            let age = Duration::from_millis(report.age_ms);
            let at = now.checked_sub(age).unwrap_or(now);
            self.record_event(report.digest, report.event, report.run_id, at, now);
        }
        self.revision != previous
    }

    /// Returns the events after a revision, oldest first and at most one message full, and
    /// the revision up to which they are complete.
    pub fn reports_since(&self, revision: u64, now: Instant) -> (Vec<CrashReport>, u64) {
        if revision >= self.revision {
            return (Vec::new(), self.revision);
        }
        let mut reports = self.request_reports(revision, now);
        reports.extend(self.part_reports(revision, now));
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

    /// Returns the events of requests after a revision, each with the one that added it.
    fn request_reports(&self, after: u64, now: Instant) -> Vec<(u64, CrashReport)> {
        let mut reports = Vec::new();
        for (digest, record) in self.requests.iter() {
            let events = record.events();
            let newer = events.filter(|(_, _, stamp)| stamp.revision > after);
            reports.extend(newer.map(|(event, run_id, stamp)| {
                let report = report(*digest, event, run_id, stamp.at, now);
                (stamp.revision, report)
            }));
        }
        reports
    }

    /// Returns the events of parts after a revision that others need, each with the one that added
    /// it.
    fn part_reports(&self, after: u64, now: Instant) -> Vec<(u64, CrashReport)> {
        let mut reports = Vec::new();
        for (part, history) in self.parts.table().iter() {
            let crashes = history.crashes().iter();
            let newer = crashes.filter(|crash| crash.stamp.revision > after);
            reports.extend(newer.map(|crash| {
                let stamp = crash.stamp;
                (stamp.revision, part_crash_report(*part, crash, now))
            }));
            let runs = history.shared_runs();
            let newer = runs.filter(|(_, revision)| *revision > after);
            reports.extend(newer.map(|(run, revision)| {
                let digest = PartRecord::both(*part)[0].digest();
                let report = report(digest, CrashEvent::Served, run.id, run.at, now);
                (revision, report)
            }));
        }
        reports
    }

    /// Records an event that this process saw or, if it is about a part, heard of.
    fn record_event(
        &mut self,
        digest: RequestDigest,
        event: CrashEvent,
        run_id: u64,
        at: Instant,
        now: Instant,
    ) -> bool {
        if !self.is_new_event(&digest, event, run_id, at, now) {
            return false;
        }
        if let Some(record) = PartRecord::of(&digest) {
            return self.on_heard_of_part(record, event, run_id, at, now);
        }
        let stamp = self.next_stamp(at);
        let record = self.requests.reported(digest, now);
        let is_new = match event {
            CrashEvent::Ended { life } => record.add_crash(Crash {
                incarnation: life,
                stamp,
            }),
            CrashEvent::Served => record.on_completed(CompletedRun { id: run_id, stamp }),
        };
        self.revision += u64::from(is_new);
        if is_new && matches!(event, CrashEvent::Ended { .. }) {
            self.record_recent_run(digest, now);
        }
        is_new
    }

    fn on_heard_of_part(
        &mut self,
        PartRecord { part, is_early }: PartRecord,
        event: CrashEvent,
        run_id: u64,
        at: Instant,
        now: Instant,
    ) -> bool {
        match event {
            CrashEvent::Ended { life } => {
                let aboard = crash_times::decode(run_id, is_early, life);
                let is_assumed = run_id == 0;
                if is_assumed && self.parts.has_crash(&part, life) {
                    return false;
                }
                self.add_part_crash(part, (life, aboard), false, at, now)
            }
            // builds of before tell a run twice, for both records of a part
            CrashEvent::Served if !is_early || run_id == 0 => false,
            CrashEvent::Served => {
                let run = GoodRun {
                    id: run_id,
                    at,
                    written: Duration::MAX,
                    revision: Some(self.revision + 1),
                };
                let is_new = self.parts.on_good_run(part, run, false, now);
                self.revision += u64::from(is_new);
                is_new
            }
        }
    }

    /// Returns whether an event is not too old and was not processed before.
    fn is_new_event(
        &mut self,
        digest: &RequestDigest,
        event: CrashEvent,
        run_id: u64,
        at: Instant,
        now: Instant,
    ) -> bool {
        if now.saturating_duration_since(at) >= RETENTION {
            return false;
        }
        if let CrashEvent::Ended { life } = event {
            self.parts.on_engine_crash(life, at);
        }
        event_id(digest, event, run_id).is_none_or(|event| self.seen.insert(event))
    }

    fn next_stamp(&self, at: Instant) -> Stamp {
        Stamp {
            at,
            revision: self.revision + 1,
        }
    }
}

fn part_crash_report(part: PartId, crash: &PartCrash, now: Instant) -> CrashReport {
    let is_early = crash_times::is_early(crash.aboard);
    let digest = PartRecord { part, is_early }.digest();
    let event = CrashEvent::Ended {
        life: crash.incarnation,
    };
    let times = crash_times::encode(crash.aboard);
    report(digest, event, times, crash.stamp.at, now)
}

fn report(
    digest: RequestDigest,
    event: CrashEvent,
    run_id: u64,
    at: Instant,
    now: Instant,
) -> CrashReport {
    let age = now.saturating_duration_since(at);
    CrashReport {
        digest,
        event,
        age_ms: age.as_millis() as u64,
        run_id,
    }
}

/// Returns a number from 0 to 1 that differs between entries, and between parts or requests.
fn spread_of(origin: u64, subject: impl Hash) -> f64 {
    nonzero_hash((origin, subject)) as f64 / u64::MAX as f64
}

/// Returns the identity of an event; `None` for a completed run that an older build reports
/// without one.
fn event_id(digest: &RequestDigest, event: CrashEvent, run_id: u64) -> Option<u64> {
    match event {
        // of a part, the same crash is told again with a longer run aboard
        CrashEvent::Ended { life } => Some(nonzero_hash((digest, life, run_id))),
        CrashEvent::Served => (run_id != 0).then_some(run_id),
    }
}

/// Returns a hash that is not 0.
fn nonzero_hash(parts: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish().max(1)
}
