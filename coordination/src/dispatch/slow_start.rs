//! Engines in slow start: they just started, or are warming up again, and take few
//! requests.

use {
    super::dispatcher::Dispatcher,
    crate::backend_admission::SlowStartSettings,
    chalkcart_state::backends::BackendId,
    std::time::{Duration, Instant},
};

impl Dispatcher {
    /// Handles the time left of a slow start, reported by the back end or its sidecar.
    pub(super) fn on_slow_start(&mut self, backend: &BackendId, left: Duration, now: Instant) {
        if let Some(state) = self.backends.get_mut(backend) {
            self.may_have_slow_start |= !left.is_zero();
            state.set_slow_start(&self.settings.entry, left, now);
        }
    }

    /// Advances the slow starts to the current time.
    pub(super) fn advance_slow_starts(&mut self, now: Instant) {
        if !self.may_have_slow_start {
            return;
        }
        let entries = self.sharing_entries(now);
        for state in self
            .backends
            .values_mut()
            .filter(|b| b.slow_start.is_some())
        {
            let service = self.table.services.get(&state.listed.service);
            let settings = service.map_or(SlowStartSettings::default(), |s| SlowStartSettings {
                requests_per_s: s.slow_start_per_s,
            });
            state.advance_slow_start(settings, entries, now);
        }
        self.may_have_slow_start = self.backends.values().any(|b| b.slow_start.is_some());
    }
}
