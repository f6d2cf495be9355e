//! engines that have just started, or have become cold, and carry little

use {
    super::dispatcher::Dispatcher,
    crate::backend_admission::SlowStartSettings,
    chalkcart_state::backends::BackendId,
    std::time::{Duration, Instant},
};

/// entries assumed before a sidecar has counted them, where too many do harm
const SHARING_UNKNOWN: u32 = 32;
/// time until entries that began together have made themselves known to all sidecars
const COUNTED_AFTER: Duration = Duration::from_secs(3);

impl Dispatcher {
    /// a back end says itself, or by its sidecar, how much longer it is cold
    pub(super) fn on_cold_told(&mut self, backend: &BackendId, left: Duration, now: Instant) {
        if let Some(state) = self.backends.get_mut(backend) {
            self.may_have_cold |= !left.is_zero();
            state.set_cold(&self.settings.entry, left, now);
        }
    }

    /// count the time that has passed for engines that are cold
    pub(super) fn pass_cold(&mut self, now: Instant) {
        if !self.may_have_cold {
            return;
        }
        let entries = self.sharing_entries(now);
        for state in self.backends.values_mut().filter(|b| b.cold.is_some()) {
            let service = self.table.services.get(&state.listed.service);
            let pace = service.map_or(SlowStartSettings::default(), |s| SlowStartSettings {
                requests_per_s: s.cold_per_s,
            });
            state.pass_cold(pace, entries, now);
        }
        self.may_have_cold = self.backends.values().any(|b| b.cold.is_some());
    }
    /// Entries that share what a back end takes. Sidecars that have just begun count few,
    /// and so does an entry that has.
    pub(super) fn sharing_entries(&self, now: Instant) -> u32 {
        let counted = self.fleet_size.entries();
        let began = self.settings.began_anew;
        let is_young = began.is_some_and(|at| now.saturating_duration_since(at) < COUNTED_AFTER);
        match counted {
            Some(entries) if !is_young => entries,
            counted => counted.unwrap_or(0).max(SHARING_UNKNOWN),
        }
    }
}
