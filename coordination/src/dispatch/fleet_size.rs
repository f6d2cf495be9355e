use std::time::{Duration, Instant};

/// Number of entries that share a budget, as counted by the sidecars.
///
/// A sidecar that just started or is cut off counts too few entries, so the maximum over
/// the last window is used. Shares are too small for one window after entries have left,
/// but don't grow when sidecars lose contact with entries.
#[derive(Debug, Default)]
pub struct FleetSize {
    /// The highest count, and when a sidecar last reported it.
    highest: Option<(u32, Instant)>,
}

impl FleetSize {
    /// Handles a count reported by a sidecar; 0 means unknown.
    pub fn on_entry_count(&mut self, entries: u32, window: Duration, now: Instant) {
        let holds = |(highest, at): &(u32, Instant)| {
            *highest > entries && now.saturating_duration_since(*at) < window
        };
        if entries > 0 && !self.highest.as_ref().is_some_and(holds) {
            self.highest = Some((entries, now));
        }
    }
    /// Returns the number of entries, `None` until a sidecar reports it.
    pub fn entries(&self) -> Option<u32> {
        self.highest.map(|(entries, _)| entries)
    }
}
