use {
    super::crash_record::Crash,
    chalkcart_state::ingress::PartId,
    std::{
        collections::{BTreeMap, HashSet},
        time::{Duration, Instant},
    },
};

/// A crash counts for a part if all runs with it had been written for less than this: a part that
/// crashes engines does so soon. A run that had been written for longer disproves it.
pub const EARLY_CRASH: Duration = Duration::from_millis(500);
/// A run that is written for this long has outlived what an early crash is due to.
pub const OUTLIVED_AFTER: Duration = Duration::from_secs(1);

/// A part is blocked after this many separate crashes without a run that did well.
const BLOCKED_AFTER_CRASHES: usize = 4;
/// Crashes within this time of each other count once: engines that end at one moment have a
/// cause of their own.
const COMMON_CAUSE: Duration = Duration::from_millis(100);

/// Time from the last crash until a part is tried again; doubles with each separate crash beyond
/// those that block it.
const MIN_BLOCK: Duration = Duration::from_secs(60);
const MAX_BLOCK: Duration = Duration::from_secs(480);
/// Entries try a part again at different times, spread over this fraction of the time for which
/// it is blocked.
const RETRY_SPREAD: f64 = 0.25;

/// The crashes under one part of prompts since a run with it did well.
#[derive(Debug, Clone)]
pub struct PartEvidence {
    pub part: PartId,
    /// Times of the early crashes by the hash of the engine's incarnation.
    crashes: BTreeMap<u64, Instant>,
}

/// A part that crashes the engines that begin to answer a prompt with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockedPart {
    pub part: PartId,
    pub crashes: usize,
    /// Time since the last crash.
    pub age: Duration,
}

/// A part that has enough crashes to be blocked, in a request that may run all the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExcusedPart {
    pub part: PartId,
    pub crashes: usize,
}

/// Whether a request may run, by the parts of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartVerdict {
    Clear,
    Excused(ExcusedPart),
    Blocked(BlockedPart),
}

impl PartEvidence {
    /// `early` are the crashes that came early in the part's runs aboard; those that came late in
    /// any run, also of another entry, don't count.
    pub fn new(part: PartId, early: &[Crash], late: &[Crash]) -> Self {
        let disproved: HashSet<u64> = late.iter().map(|crash| crash.incarnation).collect();
        let crashes = early
            .iter()
            .map(|crash| (crash.incarnation, crash.stamp.at));
        let crashes = crashes.filter(|(incarnation, _)| !disproved.contains(incarnation));
        Self {
            part,
            crashes: crashes.collect(),
        }
    }

    /// Returns whether the crashes are enough to block the part.
    pub fn is_sufficient(&self) -> bool {
        self.separate_crashes() >= BLOCKED_AFTER_CRASHES
    }

    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether this incarnation of an engine crashed under the part.
    pub fn has_crash(&self, incarnation: u64) -> bool {
        self.crashes.contains_key(&incarnation)
    }

    /// Returns the time since the last crash.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let last = self.crashes.values().max();
        last.map(|at| now.saturating_duration_since(*at))
    }

    /// Returns the number of crashes, of which those at one moment count once.
    fn separate_crashes(&self) -> usize {
        let mut times: Vec<Instant> = self.crashes.values().copied().collect();
        times.sort_unstable();
        let mut counted: Vec<Instant> = Vec::new();
        for at in times {
            let previous = counted.last();
            if previous.is_none_or(|previous| at.duration_since(*previous) >= COMMON_CAUSE) {
                counted.push(at);
            }
        }
        counted.len()
    }

    /// Returns the time since the last crash while the part is blocked; `None` if it may be tried
    /// again. `spread` from 0 to 1 differs between entries.
    fn blocked_age(&self, spread: f64, now: Instant) -> Option<Duration> {
        let age = self.age(now)?;
        let beyond = self
            .separate_crashes()
            .saturating_sub(BLOCKED_AFTER_CRASHES);
        let block = MIN_BLOCK.saturating_mul(2_u32.saturating_pow(beyond as u32));
        let block = block.min(MAX_BLOCK).mul_f64(1.0 + spread * RETRY_SPREAD);
        (age < block).then_some(age)
    }

    /// Returns whether parts that a request does not have stood under all crashes of this one.
    fn is_excused(&self, others: &[&PartEvidence]) -> bool {
        let is_explained = |incarnation: &u64| {
            let mut others = others.iter();
            others.any(|other| other.has_crash(*incarnation))
        };
        self.crashes.keys().all(is_explained)
    }
}

/// Returns whether a request with these parts may run.
///
/// `suspects` are all parts with enough crashes. A sound part that stood under the same crashes as
/// the cause, such as the first part of its caller, is excused in requests without the cause; one
/// of them that runs well clears it.
pub fn part_verdict(
    parts: &[PartId],
    suspects: &[PartEvidence],
    spread: f64,
    now: Instant,
) -> PartVerdict {
    let (own, others): (Vec<&PartEvidence>, Vec<&PartEvidence>) = suspects
        .iter()
        .partition(|suspect| parts.contains(&suspect.part));
    let (excused, accused): (Vec<&PartEvidence>, Vec<&PartEvidence>) = own
        .into_iter()
        .partition(|suspect| suspect.is_excused(&others));
    let blocked = accused.iter().filter_map(|suspect| {
        let age = suspect.blocked_age(spread, now)?;
        Some(BlockedPart {
            part: suspect.part,
            crashes: suspect.crashes.len(),
            age,
        })
    });
    if let Some(blocked) = blocked.max_by_key(|blocked| blocked.crashes) {
        return PartVerdict::Blocked(blocked);
    }
    let excused = excused.first().map(|suspect| ExcusedPart {
        part: suspect.part,
        crashes: suspect.crashes.len(),
    });
    excused.map_or(PartVerdict::Clear, PartVerdict::Excused)
}
