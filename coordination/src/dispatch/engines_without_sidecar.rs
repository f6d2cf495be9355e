//! Engines without a reporting sidecar: it is gone, cut off, or of an incompatible build.
//! They are used according to the list, their responses, and the loads requested from their
//! sidecar; see docs/design/upgrades.md.

use {
    super::{dispatcher::Dispatcher, BackendState, DispatchRequest},
    chalkcart_state::backends::AdapterRef,
    std::{net::SocketAddr, time::Instant},
};

impl Dispatcher {
    /// Records whether a demand reached the sidecar of the engine at this address.
    pub(super) fn on_demand_sent(&mut self, addr: SocketAddr, is_accepted: bool) {
        let states = self.backends.values_mut();
        let at_addr = states.filter(|b| b.listed.addr == addr);
        at_addr.for_each(|b| b.observations.on_demand_sent(is_accepted));
    }

    /// Returns engines without a reporting sidecar that may hold an adapter: they ran it,
    /// or its load was requested long enough ago. An engine that lacks it refuses the
    /// request without running it.
    pub(super) fn expected_holders<'b>(
        &self,
        candidates: &[&'b BackendState],
        adapter: &AdapterRef,
        now: Instant,
    ) -> Vec<&'b BackendState> {
        let pending = self.pending_loads.get(adapter);
        let is_load_due = pending.is_some_and(|pending| {
            now.saturating_duration_since(pending.requested_at) >= self.load_delay.get()
        });
        let is_expected = |b: &&BackendState| {
            let was_requested =
                is_load_due && pending.is_some_and(|load| load.backends.contains(&b.listed.id));
            let may_have = was_requested || b.observations.ran_recently(adapter, now);
            let is_ruled_out = b.observations.is_missing(adapter, now)
                || b.observations.is_being_probed(adapter, now);
            b.is_sidecar_unresponsive(now) && may_have && !is_ruled_out
        };
        candidates.iter().copied().filter(is_expected).collect()
    }

    /// Returns whether no engine is expected to load the adapter: no suitable one has a
    /// reporting sidecar, and none of their sidecars performs loads.
    pub(super) fn is_unloadable(
        &self,
        request: &DispatchRequest,
        candidates: &[&BackendState],
        now: Instant,
    ) -> bool {
        let with_model = |b: &&&BackendState| request.model.as_ref().is_none_or(|m| b.has_model(m));
        let able: Vec<_> = candidates.iter().filter(with_model).collect();
        // engines that just started load their base model unasked
        !able.is_empty()
            && able
                .iter()
                .all(|b| b.is_sidecar_unresponsive(now) && !b.observations.may_load(now))
    }
}
