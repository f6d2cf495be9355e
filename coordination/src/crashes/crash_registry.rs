use {
    super::seen_events::SeenEvents,
    chalkcart_protocol::peer::{CrashEvent, CrashReport},
    chalkcart_state::ingress::RequestDigest,
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
/// One in this many requests is evicted when the registry is full.
const EVICTION_DIVISOR: usize = 4;
/// A request that hasn't been tried for this long may run again, since the engines may have
/// been fixed meanwhile. It costs three engines at most to learn that they were not.
const RETENTION: Duration = Duration::from_secs(600);
/// Upper bound on the crashes that are kept per request.
const MAX_CRASHES_PER_REQUEST: usize = BLOCKED_AFTER_CRASHES + 1;
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

/// Records requests that were running when an engine crashed.
///
/// Each record states an event that has happened. Registries can therefore be merged in any
/// order and any number of times; entries exchange their records through aggregators. Each
/// event has an identity that doesn't change on its way, since its age grows by the time that
/// each message takes.
#[derive(Debug, Default)]
pub struct CrashRegistry {
    /// Identifies this registry in the ids of the completed runs that it records first.
    origin: u64,
    /// Number of completed runs that this registry has recorded first.
    own_runs: u64,
    requests: HashMap<RequestDigest, RequestRecord>,
    seen: SeenEvents,
    revision: u64,
}

#[derive(Debug, Clone)]
struct RequestRecord {
    /// The newest crashes since the last completed run, ordered by time.
    crashes: Vec<Crash>,
    completed: Option<CompletedRun>,
    /// When the request was last tried or reported.
    last_used: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    /// Hash of the engine's incarnation.
    incarnation: u64,
    stamp: Stamp,
}

#[derive(Debug, Clone, Copy)]
struct CompletedRun {
    /// 0 if an older build reported it.
    id: u64,
    stamp: Stamp,
}

/// Time of an event and the registry's revision that added it.
#[derive(Debug, Clone, Copy)]
struct Stamp {
    at: Instant,
    revision: u64,
}

impl CrashRegistry {
    /// `origin` is a random number that differs from that of every other process. A process
    /// that only merges reports needs none and uses the default.
    pub fn new(origin: u64) -> Self {
        Self {
            origin,
            ..Self::default()
        }
    }

    /// Returns the revision, which increases with each new event.
    pub fn revision(&self) -> u64 {
        self.revision
    }
    pub fn len(&self) -> usize {
        self.requests.len()
    }
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Assesses a request that arrives now.
    pub fn verdict(&mut self, digest: &RequestDigest, now: Instant) -> RequestVerdict {
        let Some(record) = self.requests.get_mut(digest) else {
            return RequestVerdict::Clear;
        };
        if record.is_expired(now) {
            self.requests.remove(digest);
            return RequestVerdict::Clear;
        }
        record.last_used = now;
        record.verdict(now)
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
        let record = self.requests.get(&digest);
        let is_suspected = record.is_some_and(|record| !record.crashes.is_empty());
        if !is_suspected {
            return false;
        }
        self.own_runs += 1;
        let run_id = nonzero_hash((self.origin, self.own_runs));
        self.record_event(digest, CrashEvent::Served, run_id, now, now)
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
        let mut reports: Vec<(u64, CrashReport)> = Vec::new();
        for (digest, record) in &self.requests {
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
        let record = self.record_mut(digest, now);
        let is_new = match event {
            CrashEvent::Ended { life } => record.add_crash(Crash {
                incarnation: life,
                stamp,
            }),
            CrashEvent::Served => record.on_completed(CompletedRun { id: run_id, stamp }),
        };
        if is_new {
            self.revision += 1;
        }
        is_new
    }

    fn record_mut(&mut self, digest: RequestDigest, now: Instant) -> &mut RequestRecord {
        if self.requests.len() >= MAX_TRACKED_REQUESTS && !self.requests.contains_key(&digest) {
            self.evict(now);
        }
        let record = self.requests.entry(digest);
        let record = record.or_insert_with(|| RequestRecord::new(now));
        record.last_used = now;
        record
    }

    /// Evicts the requests with the fewest crashes, and among these the least recently used,
    /// so that a flood of new crashing requests doesn't displace those already blocked.
    fn evict(&mut self, now: Instant) {
        self.requests.retain(|_, record| !record.is_expired(now));
        let mut ranked: Vec<(usize, Instant, RequestDigest)> = self
            .requests
            .iter()
            .map(|(digest, record)| (record.crashes.len(), record.last_used, *digest))
            .collect();
        ranked.sort_unstable();
        let excess = (ranked.len() + MAX_TRACKED_REQUESTS / EVICTION_DIVISOR)
            .saturating_sub(MAX_TRACKED_REQUESTS);
        for (_, _, digest) in ranked.into_iter().take(excess) {
            self.requests.remove(&digest);
        }
    }
}

impl RequestRecord {
    fn new(now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            completed: None,
            last_used: now,
        }
    }

    /// Adds a crash, unless it is already known or precedes a completed run. Returns whether
    /// it was added.
    fn add_crash(&mut self, crash: Crash) -> bool {
        let is_known = self
            .crashes
            .iter()
            .any(|known| known.incarnation == crash.incarnation);
        let is_cleared = self
            .completed
            .is_some_and(|completed| crash.stamp.at <= completed.stamp.at);
        if is_known || is_cleared {
            return false;
        }
        // keep the newest, since a completed run clears all crashes before it
        let index = self
            .crashes
            .partition_point(|c| c.stamp.at <= crash.stamp.at);
        let is_too_old = index == 0 && self.crashes.len() >= MAX_CRASHES_PER_REQUEST;
        if !is_too_old {
            self.crashes.insert(index, crash);
            let excess = self.crashes.len().saturating_sub(MAX_CRASHES_PER_REQUEST);
            self.crashes.drain(..excess);
        }
        !is_too_old
    }

    /// Clears the crashes up to a completed run. Returns whether other processes need it.
    fn on_completed(&mut self, mut run: CompletedRun) -> bool {
        let previous = self.completed;
        if previous.is_some_and(|previous| run.stamp.at <= previous.stamp.at) {
            return false;
        }
        let crashes = self.crashes.len();
        self.crashes.retain(|crash| crash.stamp.at > run.stamp.at);
        let has_cleared = self.crashes.len() < crashes;
        // Older builds repeat a completed run without end, each time with a later time. A
        // repeat is not told from a new run, so it is passed on only if it clears a crash.
        let unneeded = previous.filter(|_| run.id == 0 && !has_cleared);
        if let Some(previous) = unneeded {
            run.stamp.revision = previous.stamp.revision;
        }
        self.completed = Some(run);
        unneeded.is_none()
    }

    fn verdict(&self, now: Instant) -> RequestVerdict {
        let crashes = self.crashes.len();
        match self.crashes.last().map(|crash| crash.stamp.at) {
            None => RequestVerdict::Clear,
            Some(at) if crashes >= BLOCKED_AFTER_CRASHES => RequestVerdict::Blocked {
                crashes,
                age: now.saturating_duration_since(at),
            },
            Some(_) => RequestVerdict::Suspected { crashes },
        }
    }

    /// Returns the events with the ids of the completed runs.
    fn events(&self) -> impl Iterator<Item = (CrashEvent, u64, Stamp)> + '_ {
        let crashes = self.crashes.iter().map(|crash| {
            let event = CrashEvent::Ended {
                life: crash.incarnation,
            };
            (event, 0, crash.stamp)
        });
        let completed = self
            .completed
            .map(|run| (CrashEvent::Served, run.id, run.stamp));
        crashes.chain(completed)
    }

    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_used) >= RETENTION
    }
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
