//! How long a request that crashes engines is rejected, and when one is tried again.

use {
    super::{
        crash_record::{Crash, CrashRecord},
        crash_registry::BLOCKED_AFTER_CRASHES,
    },
    std::time::{Duration, Instant},
};

/// Crashes of a request that also does well, within this time of each other, have one cause of their
/// own: an equal one of another client ran at each of the engines.
const COMMON_CAUSE: Duration = Duration::from_millis(100);
/// Time after the last crash before a request is tried again, doubled by each further crash.
const MIN_BLOCK: Duration = Duration::from_secs(60);
const MAX_BLOCK: Duration = Duration::from_secs(480);
/// Time until a crash under a try is known to all entries: a plain back end is missing in the list
/// after three heartbeats.
const KNOWN_AFTER: Duration = Duration::from_secs(4);
/// Upper bound of the time over which the entries' tries are spread.
const MAX_SPREAD: Duration = Duration::from_secs(600);

/// Whose tries of a blocked request are spread over time.
#[derive(Debug, Clone, Copy)]
pub struct TrySpread {
    /// From 0 to 1; differs between entries.
    pub position: f64,
    /// Number of entries.
    pub entries: u32,
}

impl TrySpread {
    /// Returns by how much later than the first possible moment this entry tries. On average the
    /// first of all tries [`KNOWN_AFTER`] later, and the next as much after it.
    fn delay(self) -> Duration {
        let spread = KNOWN_AFTER.saturating_mul(self.entries.max(1));
        spread
            .min(MAX_SPREAD)
            .mul_f64(self.position.clamp(0.0, 1.0))
    }
}

/// Returns the number of crashes that count separately.
pub fn separate_crashes(record: &CrashRecord, crashes: &[&Crash]) -> usize {
    if !record.has_done_well() {
        return crashes.len();
    }
    let mut separate = 0;
    let mut last: Option<Instant> = None;
    for crash in crashes {
        let at = crash.stamp.at;
        if last.is_none_or(|last| at.saturating_duration_since(last) >= COMMON_CAUSE) {
            separate += 1;
            last = Some(at);
        }
    }
    separate
}

/// Returns the time until a request with so many crashes may be tried again, zero if it may be now.
pub fn blocked_for(crashes: usize, age: Duration, spread: TrySpread) -> Duration {
    let beyond = crashes.saturating_sub(BLOCKED_AFTER_CRASHES) as u32;
    let block = MIN_BLOCK.saturating_mul(2_u32.saturating_pow(beyond));
    (block.min(MAX_BLOCK) + spread.delay()).saturating_sub(age)
}
