use {
    crate::users_platform::{BackendStandIn, CausedCrash},
    std::time::{Duration, Instant},
};

/// Crashes under one part after which it has to be known.
const ACCOUNTED_CRASHES: usize = 5;
/// Time from then on within which each entry has to know it.
const CONTACT: Duration = Duration::from_secs(3);
/// Time from then on after which sound requests have to be served as before.
const RECOVERY: Duration = Duration::from_secs(6);

/// What became of one request.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    pub at: Instant,
    /// `None` without a response; as it was, also if the response broke off.
    pub status: Option<u16>,
}

/// What became of the requests with one part.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartOutcome {
    /// Requests that reached an engine.
    pub arrived: usize,
    /// Of these, over 3 s after the fifth crash under the part.
    pub late: usize,
    pub crashes: usize,
}

/// What became of all requests of a scenario.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    pub parts: Vec<PartOutcome>,
    pub crashes: usize,
    pub sound: usize,
    /// Sound requests that were rejected for good.
    pub sound_blocked: usize,
    /// Share of the sound requests that began at their first attempt, before the first crash and from
    /// 6 s after the fifth crash of the last part on.
    pub begun_before: f64,
    pub begun_after: f64,
}

/// All that was seen in a scenario.
pub struct Observations<'a> {
    pub engines: &'a [BackendStandIn],
    pub sound: &'a [Sent],
    /// The begin of the crashing requests.
    pub crashing_from: Instant,
    pub until: Instant,
}

impl Outcome {
    /// `prefixes` are those of the ids of the requests with each part.
    pub fn of(seen: &Observations, prefixes: &[String]) -> Self {
        let parts = prefixes.iter().map(|prefix| part_outcome(seen, prefix));
        let known = prefixes.iter().filter_map(|prefix| {
            let crashes = crashes_of(seen, prefix);
            let accounted = crashes.get(ACCOUNTED_CRASHES - 1).or(crashes.last())?;
            Some(accounted.at)
        });
        let after = known.max().unwrap_or(seen.until) + RECOVERY;
        let blocked = seen.sound.iter().filter(|sent| sent.status == Some(400));
        Self {
            parts: parts.collect(),
            crashes: seen
                .engines
                .iter()
                .map(|e| e.state().crashes as usize)
                .sum(),
            sound: seen.sound.len(),
            sound_blocked: blocked.count(),
            begun_before: begun(seen.sound, |at| at < seen.crashing_from),
            begun_after: begun(seen.sound, |at| at > after && at < seen.until),
        }
    }

    /// Returns the most requests with one part that were late.
    pub fn worst_late(&self) -> usize {
        self.parts.iter().map(|part| part.late).max().unwrap_or(0)
    }
}

/// Returns the share of the requests of some time that an engine began to answer.
fn begun(sound: &[Sent], is_counted: impl Fn(Instant) -> bool) -> f64 {
    let counted: Vec<&Sent> = sound.iter().filter(|sent| is_counted(sent.at)).collect();
    let begun = counted.iter().filter(|sent| sent.status == Some(200));
    begun.count() as f64 / counted.len().max(1) as f64
}

fn crashes_of(seen: &Observations, prefix: &str) -> Vec<CausedCrash> {
    let mut crashes: Vec<CausedCrash> = Vec::new();
    for engine in seen.engines {
        let state = engine.state();
        let caused = state.caused_crashes.iter();
        crashes.extend(caused.filter(|c| c.request.starts_with(prefix)).cloned());
    }
    crashes.sort_by_key(|crash| crash.at);
    crashes
}

fn part_outcome(seen: &Observations, prefix: &str) -> PartOutcome {
    let crashes = crashes_of(seen, prefix);
    let known_from = crashes
        .get(ACCOUNTED_CRASHES - 1)
        .map(|fifth| fifth.at + CONTACT);
    let mut arrivals: Vec<Instant> = Vec::new();
    for engine in seen.engines {
        let state = engine.state();
        let own = state
            .arrivals
            .iter()
            .filter(|(_, id)| id.starts_with(prefix));
        arrivals.extend(own.map(|(at, _)| *at));
    }
    let is_late = |at: &&Instant| known_from.is_some_and(|from| **at > from);
    PartOutcome {
        arrived: arrivals.len(),
        late: arrivals.iter().filter(is_late).count(),
        crashes: crashes.len(),
    }
}
