use {
    super::{crash_record::Stamp, InterruptedRun},
    crate::membership::stable_hash,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Upper bound on the crashes that are kept of a part. They explain crashes of others.
const MAX_CRASHES: usize = 32;
/// Upper bound on the good runs that are kept of a part.
const MAX_GOOD_RUNS: usize = 64;
/// Bits of the hash of a request.
pub const REQUEST_HASHES: u32 = (1 << 23) - 1;
/// Other processes need no more good runs after a crash than these.
const SHARED_RUNS_PER_CRASH: usize = 2;

/// A crash of an engine that ran prompts with a part.
#[derive(Debug, Clone, Copy)]
pub struct PartCrash {
    /// Hash of the engine's incarnation.
    pub incarnation: u64,
    pub stamp: Stamp,
    pub aboard: LongestRun,
}

/// How far the part's runs aboard had come, each time that of the longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LongestRun {
    /// Time for which a response had been written; none before its first byte.
    pub written: Duration,
    /// Time since a request was sent.
    pub sent_for: Duration,
    /// Hash of the request that was sent first.
    pub request: u32,
}

/// A run that lived longer than those under which engines crashed.
#[derive(Debug, Clone, Copy)]
pub struct GoodRun {
    pub id: u64,
    pub at: Instant,
    /// Time for which the response was written; `Duration::MAX` if it is complete.
    pub written: Duration,
    /// The registry's revision that added it, if other processes need it.
    pub revision: Option<u64>,
}

/// Crashes and good runs of one part, the newest of each.
#[derive(Debug, Clone)]
pub struct PartHistory {
    /// Ordered by time.
    crashes: Vec<PartCrash>,
    /// Ordered by time.
    good_runs: VecDeque<GoodRun>,
    /// When the part was last used or reported.
    pub last_used: Instant,
}

impl LongestRun {
    pub fn of(run: &InterruptedRun) -> Self {
        Self {
            written: run.written.unwrap_or(Duration::ZERO),
            sent_for: run.sent_for,
            request: request_hash(run),
        }
    }

    pub fn max(self, other: Self) -> Self {
        Self {
            written: self.written.max(other.written),
            sent_for: self.sent_for.max(other.sent_for),
            request: match self.sent_for >= other.sent_for {
                true => self.request,
                false => other.request,
            },
        }
    }
}

fn request_hash(run: &InterruptedRun) -> u32 {
    stable_hash(&run.digest.to_string()) as u32 & REQUEST_HASHES
}

impl PartCrash {
    /// Returns when the oldest of the part's runs aboard was sent, if the clock reaches back so far.
    pub fn sent_at(&self) -> Instant {
        let sent_at = self.stamp.at.checked_sub(self.aboard.sent_for);
        sent_at.unwrap_or(self.stamp.at)
    }
}

impl PartHistory {
    pub fn new(now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            good_runs: VecDeque::new(),
            last_used: now,
        }
    }

    pub fn crashes(&self) -> &[PartCrash] {
        &self.crashes
    }

    pub fn good_runs(&self) -> impl Iterator<Item = &GoodRun> {
        self.good_runs.iter()
    }

    pub fn has_crash(&self, incarnation: u64) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.incarnation == incarnation)
    }

    /// Returns the good runs that other processes need.
    pub fn shared_runs(&self) -> impl Iterator<Item = (&GoodRun, u64)> {
        let runs = self.good_runs.iter();
        runs.filter_map(|run| Some((run, run.revision?)))
    }

    /// Returns from when on all good runs are known.
    pub fn known_from(&self) -> Option<Instant> {
        let is_full = self.good_runs.len() >= MAX_GOOD_RUNS;
        self.good_runs.front().filter(|_| is_full).map(|run| run.at)
    }

    /// Adds a crash, or what another process knows of it. Returns whether that is new.
    pub fn add_crash(&mut self, crash: PartCrash) -> bool {
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.incarnation == crash.incarnation) {
            let aboard = known.aboard.max(crash.aboard);
            let is_new = aboard != known.aboard;
            if is_new {
                known.aboard = aboard;
                known.stamp.revision = crash.stamp.revision;
            }
            return is_new;
        }
        let index = self
            .crashes
            .partition_point(|known| known.stamp.at <= crash.stamp.at);
        let is_too_old = index == 0 && self.crashes.len() >= MAX_CRASHES;
        if !is_too_old {
            self.crashes.insert(index, crash);
            let excess = self.crashes.len().saturating_sub(MAX_CRASHES);
            self.crashes.drain(..excess);
        }
        !is_too_old
    }

    /// Returns whether a run that was written for some time shows more than those that ended with
    /// their engine.
    pub fn is_outlived_by(&self, written: Duration) -> bool {
        let longest = self.crashes.iter().map(|crash| crash.aboard.written).max();
        longest.is_some_and(|longest| written > longest)
    }

    pub fn has_good_runs(&self) -> bool {
        !self.good_runs.is_empty()
    }

    /// Returns whether other processes may lack good runs since the newest crash.
    pub fn needs_sharing(&self) -> bool {
        let Some(newest) = self.crashes.last() else {
            return false;
        };
        let since = self
            .good_runs
            .iter()
            .filter(|run| run.at >= newest.stamp.at);
        let shared = since.filter(|run| run.revision.is_some());
        shared.count() < SHARED_RUNS_PER_CRASH
    }

    /// Notes that a good run went on. Returns whether the run is known.
    pub fn extend_run(&mut self, id: u64, written: Duration) -> bool {
        let run = self.good_runs.iter_mut().find(|run| run.id == id);
        if let Some(run) = run {
            run.written = run.written.max(written);
            return true;
        }
        false
    }

    /// Adds a good run. Returns whether it is new.
    pub fn add_good_run(&mut self, run: GoodRun) -> bool {
        if self.good_runs.iter().any(|known| known.id == run.id) {
            return false;
        }
        let index = self.good_runs.partition_point(|known| known.at <= run.at);
        let is_too_old = index == 0 && self.good_runs.len() >= MAX_GOOD_RUNS;
        if !is_too_old {
            self.good_runs.insert(index, run);
            let excess = self.good_runs.len().saturating_sub(MAX_GOOD_RUNS);
            self.good_runs.drain(..excess);
        }
        !is_too_old
    }
}
