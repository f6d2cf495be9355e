//! What the crashes and the good runs of a part say of it.
//!
//! An entry sees bytes, and not what an engine does: a run without a byte may have begun, and one
//! whose bytes come may end its engine yet. So no moment of a run is evidence by itself. A part is
//! blamed by how many of its runs ended with their engine, of all that lived as long as these, and only
//! if that is more than crashes of other causes explain.

use {
    super::{
        fleet_crashes::FleetCrashes,
        part_history::{GoodRun, PartCrash, PartHistory},
        sound_parts::MAX_EARLIER_RUNS,
    },
    chalkcart_state::ingress::PartId,
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// Fewest separate crashes that block a part.
const BLOCKED_AFTER_CRASHES: usize = 4;
/// Fewest requests that must have been aboard these. A stream that goes on at engine after engine
/// ends with each of them, whatever the cause.
const MIN_REQUESTS: usize = 3;
/// Fewest crashes of different requests for which a part without good runs excuses one that has some.
const MIN_FEW_CRASHES: usize = 2;
/// From this number of separate crashes on, a part without any good run is excused only by parts with
/// fewer crashes: those that always come together would excuse each other for good.
const MAX_EXCUSED_CRASHES: usize = 6;
/// Part of the runs that must have ended with their engine. One good run is assumed beyond those
/// that are known.
const MIN_CRASH_SHARE: f64 = 0.5;
/// Crashes within this time of each other have one cause of their own, unless the runs that they
/// ended were sent together as well.
const COMMON_CAUSE: Duration = Duration::from_millis(100);
/// The crashes of other causes are counted over the time of those of a part, or this, and over a longer
/// one; the higher rate counts.
const MIN_SPAN: Duration = Duration::from_secs(1);
const LONG_SPAN: Duration = Duration::from_secs(10);
/// Part of the runs with a cause that end with their engine.
const CAUSE_CRASHES: f64 = 0.75;
/// Least part of the runs that is taken to end with its engine by other causes.
const MIN_BY_OTHERS: f64 = 0.05;
/// Least logarithm of the ratio of the likelihoods that a part, or other causes, made the crashes.
const MIN_LOG_RATIO: f64 = 8.5;

/// Time from the last crash until a part is tried again; doubles with each separate crash beyond
/// those that block it.
const MIN_BLOCK: Duration = Duration::from_secs(60);
const MAX_BLOCK: Duration = Duration::from_secs(480);
/// Entries try a part again at different times, spread over this fraction of the time for which
/// it is blocked.
const RETRY_SPREAD: f64 = 0.25;

/// The crashes for which one part of prompts is blamed.
#[derive(Debug, Clone)]
pub struct PartEvidence {
    pub part: PartId,
    /// Times by the hash of the engine's incarnation.
    crashes: HashMap<u64, Instant>,
    /// Number of crashes that don't have one common cause.
    separate: usize,
    /// Whether some of these came at other moments than the rest.
    has_several_moments: bool,
    /// Number of different requests aboard.
    requests: usize,
    /// Good runs since the first of the crashes, each as far as it outlived them.
    good_runs: f64,
    /// Good runs before, a few at most.
    earlier_runs: u32,
    /// Logarithm of the ratio of the likelihoods of the crashes, by the part and by other causes.
    log_ratio: f64,
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
    /// Returns the evidence against a part if it is enough to block it. `earlier_runs` are the good
    /// runs that were known before any crash, `is_explained` tells the crashes that other parts
    /// made.
    pub fn against(
        part: PartId,
        history: &PartHistory,
        fleet: &FleetCrashes,
        earlier_runs: u32,
        is_explained: impl Fn(u64) -> bool,
    ) -> Option<Self> {
        let known_from = history.known_from();
        let crashes = history.crashes().iter();
        let crashes = crashes.filter(|crash| known_from.is_none_or(|from| crash.stamp.at >= from));
        let crashes = crashes.filter(|crash| !is_explained(crash.incarnation));
        let crashes: Vec<&PartCrash> = crashes.collect();
        // a part that did well for long is blamed for what it does since
        let starts = 0..(crashes.len() + 1).saturating_sub(BLOCKED_AFTER_CRASHES);
        let rows = starts.map(|start| &crashes[start..]);
        let rows = rows.filter(|row| may_suffice(row, history));
        let mut evidence = rows.map(|row| Self::of(part, row, history, fleet, earlier_runs));
        evidence.find(Self::is_sufficient)
    }

    /// Returns the evidence against a part of which nothing but crashes of several requests is known,
    /// though they are too few to block it.
    pub fn of_few_crashes(
        part: PartId,
        history: &PartHistory,
        fleet: &FleetCrashes,
        earlier_runs: u32,
    ) -> Option<Self> {
        let crashes: Vec<&PartCrash> = history.crashes().iter().collect();
        if crashes.len() < MIN_FEW_CRASHES || earlier_runs > 0 || history.has_good_runs() {
            return None;
        }
        let evidence = Self::of(part, &crashes, history, fleet, earlier_runs);
        (evidence.requests >= MIN_FEW_CRASHES).then_some(evidence)
    }

    /// Weighs some crashes in a row, up to the newest.
    fn of(
        part: PartId,
        crashes: &[&PartCrash],
        history: &PartHistory,
        fleet: &FleetCrashes,
        earlier_runs: u32,
    ) -> Self {
        let separate = separate_crashes(crashes);
        let (earlier, later): (Vec<&GoodRun>, Vec<&GoodRun>) = history
            .good_runs()
            .partition(|run| run.at < crashes[0].stamp.at);
        let good_runs = later.iter().map(|run| outlived_share(run, crashes));
        let good_runs: f64 = good_runs.sum();
        let earlier_runs = earlier_runs.saturating_add(earlier.len() as u32);
        let requests: HashSet<u32> = separate.iter().map(|c| c.aboard.request).collect();
        let times = crashes
            .iter()
            .map(|crash| (crash.incarnation, crash.stamp.at));
        Self {
            part,
            crashes: times.collect(),
            separate: separate.len(),
            has_several_moments: separate.last().is_some_and(|last| {
                let first = separate[0].stamp.at;
                last.stamp.at.saturating_duration_since(first) >= COMMON_CAUSE
            }),
            requests: requests.len(),
            good_runs,
            earlier_runs: earlier_runs.min(MAX_EARLIER_RUNS),
            log_ratio: log_ratio_of_crashes(&separate, history, fleet),
        }
    }

    fn is_sufficient(&self) -> bool {
        self.separate >= BLOCKED_AFTER_CRASHES
            && self.has_several_moments
            && self.requests >= MIN_REQUESTS
            && self.crash_share() >= MIN_CRASH_SHARE
            && self.log_ratio() >= MIN_LOG_RATIO
    }

    /// Returns the part of its runs that ended with their engine.
    fn crash_share(&self) -> f64 {
        let crashes = self.separate as f64;
        crashes / (crashes + self.good_runs + f64::from(self.earlier_runs) + 1.0)
    }

    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }
    pub fn good_runs(&self) -> f64 {
        self.good_runs
    }

    /// Returns the logarithm of the ratio of the likelihoods of the crashes and the good runs.
    pub fn log_ratio(&self) -> f64 {
        let good_runs = self.good_runs + f64::from(self.earlier_runs);
        self.log_ratio + good_runs * (1.0 - CAUSE_CRASHES).ln()
    }

    /// Returns whether this incarnation of an engine crashed under the part.
    pub fn has_crash(&self, incarnation: u64) -> bool {
        self.crashes.contains_key(&incarnation)
    }

    /// Returns the time since the last crash.
    pub fn age(&self, now: Instant) -> Duration {
        let last = self.crashes.values().max();
        last.map_or(Duration::MAX, |at| now.saturating_duration_since(*at))
    }

    /// Returns the time since the last crash while the part is blocked; `None` if it may be tried
    /// again. `spread` from 0 to 1 differs between entries.
    fn blocked_age(&self, spread: f64, now: Instant) -> Option<Duration> {
        let age = self.age(now);
        let beyond = self.separate.saturating_sub(BLOCKED_AFTER_CRASHES);
        let block = MIN_BLOCK.saturating_mul(2_u32.saturating_pow(beyond as u32));
        let block = block.min(MAX_BLOCK).mul_f64(1.0 + spread * RETRY_SPREAD);
        (age < block).then_some(age)
    }

    /// Returns whether this part made some crash that stands under a part with so many good runs for
    /// each crash: one with fewer did.
    pub fn explains(&self, incarnation: u64, good_runs_per_crash: f64) -> bool {
        self.good_runs_per_crash() < good_runs_per_crash && self.has_crash(incarnation)
    }

    /// Returns the good runs for each crash, the fewer the more likely it is the cause.
    pub fn good_runs_per_crash(&self) -> f64 {
        (self.good_runs + f64::from(self.earlier_runs)) / self.separate as f64
    }

    /// Returns whether parts that a request does not have, and that are as likely the cause, stood
    /// under the crashes of this one: all, but for no more than it has good runs.
    fn is_excused(&self, others: &[&PartEvidence]) -> bool {
        let own = self.good_runs_per_crash();
        let needs_fewer = own == 0.0 && self.separate >= MAX_EXCUSED_CRASHES;
        let may_explain = |other: &PartEvidence| {
            let has_fewer = other.crashes.len() < self.crashes.len();
            other.good_runs_per_crash() <= own && (has_fewer || !needs_fewer)
        };
        let is_explained = |incarnation: &u64| {
            let mut others = others.iter();
            others.any(|other| may_explain(other) && other.has_crash(*incarnation))
        };
        let lives = self.crashes.keys();
        let unexplained = lives.filter(|life| !is_explained(life)).count();
        unexplained < self.crashes.len() && unexplained as f64 <= self.good_runs
    }
}

/// Returns the crashes that don't have one cause of their own. Engines that end at one moment do,
/// unless the part's runs there were sent together too.
fn separate_crashes<'a>(crashes: &[&'a PartCrash]) -> Vec<&'a PartCrash> {
    let mut separate: Vec<&PartCrash> = Vec::new();
    for crash in crashes {
        let has_common_cause = separate.iter().rev().any(|other| {
            let between = crash.stamp.at.saturating_duration_since(other.stamp.at);
            between < COMMON_CAUSE && distance(crash.sent_at(), other.sent_at()) >= COMMON_CAUSE
        });
        if !has_common_cause {
            separate.push(crash);
        }
    }
    separate
}

fn distance(one: Instant, other: Instant) -> Duration {
    let later = one.saturating_duration_since(other);
    later.max(other.saturating_duration_since(one))
}

/// Returns the part of the crashes whose runs a good run outlived.
fn outlived_share(run: &GoodRun, crashes: &[&PartCrash]) -> f64 {
    let outlived = crashes
        .iter()
        .filter(|crash| crash.aboard.written < run.written);
    outlived.count() as f64 / crashes.len() as f64
}

/// Returns the logarithm of the ratio of the likelihoods of the crashes, if the part is the cause and
/// if engines crash as often as those that didn't run it.
fn log_ratio_of_crashes(
    separate: &[&PartCrash],
    history: &PartHistory,
    fleet: &FleetCrashes,
) -> f64 {
    let first = separate[0].stamp.at;
    let last = separate[separate.len() - 1].stamp.at;
    let span = last.saturating_duration_since(first);
    let rates = [span.max(MIN_SPAN), span.max(LONG_SPAN)];
    let rates = rates.map(|span| rate_of_others(last, span, history, fleet));
    let rate = rates[0].max(rates[1]);
    // a cause may end its engine at any time up to the longest
    let longest = separate.iter().map(|crash| crash.aboard.sent_for).max();
    let longest = longest.unwrap_or_default().as_secs_f64();
    let by_others = 1.0 - (-rate * longest).exp();
    let ratio = CAUSE_CRASHES / by_others.max(MIN_BY_OTHERS);
    separate.len() as f64 * ratio.ln()
}

/// Returns how many engines that didn't run the part crashed a second, for each engine, in some time
/// before another.
fn rate_of_others(
    last: Instant,
    span: Duration,
    history: &PartHistory,
    fleet: &FleetCrashes,
) -> f64 {
    let from = last.checked_sub(span).unwrap_or(last);
    let own = history.crashes().iter();
    let own = own.filter(|crash| crash.stamp.at >= from && crash.stamp.at <= last);
    let others = fleet.count(from, last).saturating_sub(own.count());
    let engines = fleet.most_engines(from, last);
    others as f64 / span.as_secs_f64() / engines as f64
}

/// Returns whether the complete runs since the first of some crashes are few enough; it is faster than
/// to weigh all.
fn may_suffice(crashes: &[&PartCrash], history: &PartHistory) -> bool {
    let first = crashes[0].stamp.at;
    let complete = history
        .good_runs()
        .filter(|run| run.at >= first && run.written == Duration::MAX);
    let crashes = crashes.len() as f64;
    crashes / (crashes + complete.count() as f64 + 1.0) >= MIN_CRASH_SHARE
}

/// Returns whether a request with these parts may run.
///
/// `suspects` are all parts with enough crashes. A sound part that stood under the same crashes as
/// the cause, such as the first part of its caller, is excused in requests without the cause.
pub fn part_verdict(
    parts: &[PartId],
    suspects: &[PartEvidence],
    spread: impl Fn(PartId) -> f64,
    now: Instant,
) -> PartVerdict {
    let (own, others): (Vec<&PartEvidence>, Vec<&PartEvidence>) = suspects
        .iter()
        .partition(|suspect| parts.contains(&suspect.part));
    let (excused, accused): (Vec<&PartEvidence>, Vec<&PartEvidence>) = own
        .into_iter()
        .partition(|suspect| suspect.is_excused(&others));
    let blocked = accused
        .into_iter()
        .filter_map(|suspect| Some((suspect, suspect.blocked_age(spread(suspect.part), now)?)));
    let strongest = blocked.max_by(|(one, _), (other, _)| {
        let shares = one.crash_share().total_cmp(&other.crash_share());
        shares.then(one.separate.cmp(&other.separate))
    });
    if let Some((suspect, age)) = strongest {
        return PartVerdict::Blocked(BlockedPart {
            part: suspect.part,
            crashes: suspect.crashes.len(),
            age,
        });
    }
    let excused = excused.first().map(|suspect| ExcusedPart {
        part: suspect.part,
        crashes: suspect.crashes.len(),
    });
    excused.map_or(PartVerdict::Clear, PartVerdict::Excused)
}
