use std::time::{Duration, Instant};

/// Crashes under one part after which it has to be known.
const ACCOUNTED_CRASHES: usize = 5;
/// Time from then on within which each entry has to know it.
const CONTACT: Duration = Duration::from_secs(3);

/// What became of the requests with one crashing part.
#[derive(Debug, Clone, Default)]
pub struct Cause {
    pub crashes: Vec<Instant>,
    /// When such requests reached an engine.
    pub arrivals: Vec<Instant>,
}

impl Cause {
    /// Returns the requests that reached engines over 3 s after the fifth crash.
    pub fn late(&self) -> usize {
        let Some(fifth) = self.crashes.get(ACCOUNTED_CRASHES - 1) else {
            return 0;
        };
        let is_late = |at: &&Instant| **at > *fifth + CONTACT;
        self.arrivals.iter().filter(is_late).count()
    }
}

/// Figures of one simulation.
#[derive(Debug, Clone, Default)]
pub struct SimOutcome {
    pub sound: u64,
    pub sound_blocked: u64,
    /// Sound requests that reached an engine at once.
    pub sound_begun: u64,
    pub crashes: u64,
    pub causes: Vec<Cause>,
}

impl SimOutcome {
    /// Returns the most late requests of one cause.
    pub fn worst_late(&self) -> usize {
        self.causes.iter().map(Cause::late).max().unwrap_or(0)
    }
    /// Returns the most crashes under one cause.
    pub fn worst_crashes(&self) -> usize {
        let crashes = self.causes.iter().map(|cause| cause.crashes.len());
        crashes.max().unwrap_or(0)
    }
}
