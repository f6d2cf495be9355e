//! The store's configurations, and what each entry knows of them.

use {
    chalkcart_coordination::watch::WatchPacing,
    std::{ops::Range, time::Duration},
};

/// Bytes on the link for a call of the store and for its response with a change.
pub const CALL_BYTES: f64 = 300.0;
pub const CONFIG_BYTES: f64 = 20_000.0;
/// Work on a core to read a configuration.
pub const CONFIG_WORK: Duration = Duration::from_millis(2);

/// A store that confirms configurations, and is silent now and then.
#[derive(Debug, Clone, Default)]
pub struct ConfigPlan {
    /// When each version was confirmed; the first one is version 1.
    pub confirmed: Vec<Duration>,
    pub silent: Vec<Range<Duration>>,
}

impl ConfigPlan {
    pub fn is_silent(&self, at: Duration) -> bool {
        self.silent.iter().any(|span| span.contains(&at))
    }

    pub fn newest(&self, at: Duration) -> u64 {
        self.confirmed.partition_point(|time| *time <= at) as u64
    }

    /// Returns when the store responds to a call that arrives at a time and knows a version; `None`
    /// if it never does.
    pub fn response_at(&self, arrives: Duration, known: u64, hold: Duration) -> Option<Duration> {
        let next_change = self.confirmed.get(known as usize).copied();
        let held_until = arrives + hold;
        let at = next_change.map_or(held_until, |change| change.clamp(arrives, held_until));
        let is_lost = self.silent.iter().any(|s| s.start <= at && s.end > arrives);
        (!is_lost).then_some(at)
    }

    /// Returns the time by which a version must be in force everywhere; `None` if the store is
    /// silent before that.
    pub fn due(&self, version: u64, max_delay: Duration) -> Option<Duration> {
        let confirmed = self.confirmed[version as usize - 1];
        let due = confirmed + max_delay;
        let is_interrupted = self
            .silent
            .iter()
            .any(|s| s.start < due && s.end > confirmed);
        (!is_interrupted).then_some(due)
    }
}

/// What one entry knows of the store's configurations.
#[derive(Debug, Clone, Default)]
pub struct ConfigState {
    pub pacing: WatchPacing,
    /// Times at which a version came into force.
    pub applied: Vec<(Duration, u64)>,
    pub failures: u32,
    /// Number of the current call.
    pub call: u64,
}

impl ConfigState {
    pub fn version(&self) -> u64 {
        self.applied.last().map_or(0, |(_, version)| *version)
    }

    /// Returns when a version or a later one came into force.
    pub fn applied_at(&self, version: u64) -> Option<Duration> {
        let mut applied = self.applied.iter();
        applied.find(|(_, v)| *v >= version).map(|(at, _)| *at)
    }
}
