//! Engines whose sidecar is not heard: it is gone, cut off, or of a build that is not
//! understood. They are used by what the list says, what they answered, and what their
//! sidecar was asked for; docs/design/upgrades.md has the ways that were weighed.

use {
    super::{dispatcher::Dispatcher, BackendState, DispatchRequest},
    chalkcart_state::backends::AdapterRef,
    std::{net::SocketAddr, time::Instant},
};

impl Dispatcher {
    /// a demand has reached the sidecar of the engine at this address, or has not
    pub(super) fn on_demand_sent(&mut self, addr: SocketAddr, is_accepted: bool) {
        let states = self.backends.values_mut();
        let there = states.filter(|b| b.listed.addr == addr);
        there.for_each(|b| b.observations.on_demand_sent(is_accepted));
    }

    /// engines, not heard, that may have an adapter: they ran it, or were asked to load it
    /// long enough ago. They refuse it without running anything if they don't.
    pub(super) fn expected_holders<'b>(
        &self,
        candidates: &[&'b BackendState],
        adapter: &AdapterRef,
        now: Instant,
    ) -> Vec<&'b BackendState> {
        let pending = self.pending_loads.get(adapter);
        let is_due = pending.is_some_and(|pending| {
            now.saturating_duration_since(pending.requested_at()) >= self.load_delay.get()
        });
        let is_expected = |b: &&BackendState| {
            let was_asked = is_due && pending.is_some_and(|w| w.backends.contains(&b.listed.id));
            let may_have = was_asked || b.observations.ran_recently(adapter, now);
            let is_ruled_out = b.observations.is_missing(adapter, now)
                || b.observations.is_being_probed(adapter, now);
            b.is_sidecar_unresponsive(now) && may_have && !is_ruled_out
        };
        candidates.iter().copied().filter(is_expected).collect()
    }

    /// whether no engine will get the adapter, for all that is known: each that could is
    /// not heard, and its sidecar did not bring what it was asked for lately
    pub(super) fn is_unloadable(
        &self,
        request: &DispatchRequest,
        candidates: &[&BackendState],
        now: Instant,
    ) -> bool {
        let with_model = |b: &&&BackendState| request.model.as_ref().is_none_or(|m| b.has_model(m));
        let able: Vec<_> = candidates.iter().filter(with_model).collect();
        // engines that have just begun get their base model by themselves
        !able.is_empty()
            && able
                .iter()
                .all(|b| b.is_sidecar_unresponsive(now) && !b.observations.may_load(now))
    }
}
