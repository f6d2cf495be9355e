//! How many entries share what the fleet as a whole may use.

use {
    super::{dispatcher::Dispatcher, EntryCount},
    chalkcart_protocol::peer::{EngineStats, KnownEntries},
    std::{net::SocketAddr, time::Instant},
};

impl Dispatcher {
    /// Handles the numbers of entries in a report of the sidecar at this address.
    pub(super) fn on_entry_count(&mut self, stats: &EngineStats, by: SocketAddr, now: Instant) {
        let count = EntryCount {
            entries: stats.entries,
            by,
            at: now,
        };
        // relays add the time that the report took
        let travel_s = stats.age_ms.div_ceil(1_000);
        let age_s = stats.known_entries.age_s.saturating_add(travel_s);
        let known = KnownEntries {
            age_s,
            ..stats.known_entries
        };
        self.fleet_size.on_report(count, known, self.listed_engines);
    }

    /// Returns the number of entries that share what the fleet as a whole may use.
    pub(super) fn sharing_entries(&self, now: Instant) -> u32 {
        let has_restarted = self.settings.restarted_at.is_some();
        self.fleet_size
            .sharing_entries(self.listed_engines, has_restarted, now)
    }

    /// Returns the highest number of entries that a sidecar counted of late or remembers, `None`
    /// before the first report.
    pub fn highest_entry_count(&self, now: Instant) -> Option<u32> {
        self.fleet_size.highest(now)
    }

    /// Counts the listed engines again after a change of the list or of the services.
    pub(super) fn count_listed_engines(&mut self) {
        let is_engine = |service: &str| {
            let service = self.table.services.get(service);
            service.is_some_and(|s| s.engine.is_some())
        };
        let listed = self.listed_backends();
        self.listed_engines = listed.filter(|b| is_engine(&b.service)).count();
    }
}
