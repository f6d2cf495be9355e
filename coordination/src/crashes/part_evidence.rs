use {
    super::crash_record::Crash,
    chalkcart_state::ingress::PartId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// A crash counts as early for a part if all runs with it had been written for less than this, or
/// not at all: a part that crashes engines does so soon.
pub const EARLY_CRASH: Duration = Duration::from_secs(1);
/// A run that is written for this long has outlived what an early crash is due to.
pub const OUTLIVED_AFTER: Duration = Duration::from_secs(2);

const EARLY_WEIGHT: u32 = 2;
const LATE_WEIGHT: u32 = 1;
/// Four early crashes, or eight late ones, without a run that did well.
const BLOCKING_WEIGHT: u32 = 4 * EARLY_WEIGHT;

/// Time from the last crash until a part is tried again; doubles with each early crash beyond
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
    /// By the hash of the engine's incarnation.
    crashes: BTreeMap<u64, PartCrash>,
}

#[derive(Debug, Clone, Copy)]
struct PartCrash {
    weight: u32,
    at: Instant,
}

/// A part that crashes the engines that begin to answer a prompt with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockedPart {
    pub part: PartId,
    pub crashes: usize,
    /// Time since the last crash.
    pub age: Duration,
}

impl PartEvidence {
    pub fn new(part: PartId) -> Self {
        Self {
            part,
            crashes: BTreeMap::new(),
        }
    }

    /// Adds a crash. One that was late for a run counts as late, however early it was for others:
    /// that run would have crashed the engine before.
    pub fn add(&mut self, crash: &Crash, is_early: bool) {
        let weight = match is_early {
            true => EARLY_WEIGHT,
            false => LATE_WEIGHT,
        };
        let at = crash.stamp.at;
        let known = self.crashes.entry(crash.incarnation);
        let known = known.or_insert(PartCrash { weight, at });
        known.weight = known.weight.min(weight);
    }

    /// Returns whether the crashes are enough to block the part.
    pub fn is_sufficient(&self) -> bool {
        self.weight() >= BLOCKING_WEIGHT
    }

    /// Returns whether this incarnation of an engine crashed under the part.
    pub fn has_crash(&self, incarnation: u64) -> bool {
        self.crashes.contains_key(&incarnation)
    }

    /// Returns the time since the last crash.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let last = self.crashes.values().map(|crash| crash.at).max();
        last.map(|at| now.saturating_duration_since(at))
    }

    fn weight(&self) -> u32 {
        self.crashes.values().map(|crash| crash.weight).sum()
    }

    /// Returns the time since the last crash while the part is blocked; `None` if it may be tried
    /// again. `spread` from 0 to 1 differs between entries.
    fn blocked_age(&self, spread: f64, now: Instant) -> Option<Duration> {
        let age = self.age(now)?;
        let beyond = self.weight().saturating_sub(BLOCKING_WEIGHT) / EARLY_WEIGHT;
        let block = MIN_BLOCK.saturating_mul(2_u32.saturating_pow(beyond));
        let block = block.min(MAX_BLOCK).mul_f64(1.0 + spread * RETRY_SPREAD);
        (age < block).then_some(age)
    }

    /// Returns whether another part is as good an explanation of a crash of this one.
    fn explains(&self, incarnation: u64, weight: u32) -> bool {
        let crash = self.crashes.get(&incarnation);
        crash.is_some_and(|crash| crash.weight >= weight)
    }

    /// Returns whether parts that a request does not have explain all crashes of this one, but
    /// for what weighs less than one early crash.
    fn is_excused(&self, others: &[&PartEvidence]) -> bool {
        let unexplained = self.crashes.iter().filter(|(incarnation, crash)| {
            let mut others = others.iter();
            !others.any(|other| other.explains(**incarnation, crash.weight))
        });
        let weight: u32 = unexplained.map(|(_, crash)| crash.weight).sum();
        weight < EARLY_WEIGHT
    }
}

/// Returns the part for which a request with these parts must not run.
///
/// `suspects` are all parts with enough crashes. A sound part that stood under the same crashes as
/// the cause, such as the first part of its caller, is excused in requests without the cause; one
/// of them that runs well clears it.
pub fn blocked_part(
    parts: &[PartId],
    suspects: &[PartEvidence],
    spread: f64,
    now: Instant,
) -> Option<BlockedPart> {
    let (own, others): (Vec<&PartEvidence>, Vec<&PartEvidence>) = suspects
        .iter()
        .partition(|suspect| parts.contains(&suspect.part));
    let blocked = own
        .into_iter()
        .filter(|suspect| !suspect.is_excused(&others));
    let blocked = blocked.filter_map(|suspect| {
        let age = suspect.blocked_age(spread, now)?;
        Some(BlockedPart {
            part: suspect.part,
            crashes: suspect.crashes.len(),
            age,
        })
    });
    blocked.max_by_key(|blocked| blocked.crashes)
}
