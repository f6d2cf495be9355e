use std::time::{Duration, Instant};

/// The number of entries that share a budget, by the sidecars' counts.
///
/// A sidecar that has just begun, or is cut off, counts the entries that it hears. So the
/// highest count of the last window holds: a share is too small for one window after
/// entries have left, and never too large because sidecars have lost sight of some.
#[derive(Debug, Default)]
pub struct FleetSize {
    /// the highest count, and when a sidecar gave it last
    highest: Option<(u32, Instant)>,
}

impl FleetSize {
    /// a sidecar counts so many; 0 says nothing
    pub fn on_entry_count(&mut self, entries: u32, window: Duration, now: Instant) {
        let holds = |(highest, at): &(u32, Instant)| {
            *highest > entries && now.saturating_duration_since(*at) < window
        };
        if entries > 0 && !self.highest.as_ref().is_some_and(holds) {
            self.highest = Some((entries, now));
        }
    }
    pub fn entries(&self) -> Option<u32> {
        self.highest.map(|(entries, _)| entries)
    }
}
