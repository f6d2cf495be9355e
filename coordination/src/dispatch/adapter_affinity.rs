//! Keeps adapters at engines that have them in host memory while adapter slots are short.

use {
    super::{dispatcher::Dispatcher, BackendState, DispatchRequest, LoadInputs},
    crate::placement::adapter_hash,
    chalkcart_state::backends::{AdapterRef, BackendId},
    std::time::{Duration, Instant},
};

/// Wait that a load from the weight store is worth avoiding, in ms. Such a load is priced and
/// slows down the loads of all engines, unlike one from host memory.
pub(super) const STORE_LOAD_COST_MS: f64 = 1_000.0;
/// Resolution of expected waits when homes are ranked while slots are short, in ms. With steps of
/// 200 ms, entries with views of different age chose different homes at the same moment.
pub(super) const WAIT_STEP_MS: f64 = 400.0;
/// How long a request waits for a slot of an engine that has its adapter in host memory, before
/// another engine loads the adapter: little more than a load from the weight store takes.
pub(super) const MAX_SLOT_WAIT: Duration = Duration::from_millis(400);
/// Expected part of that wait, in ms.
pub(super) const EXPECTED_SLOT_WAIT_MS: f64 = 200.0;
/// Ratio of the engines without an empty adapter slot from which slots are short. Homes are chosen
/// by hash, so that some engines are full long before the others.
const SHORT_SLOTS_RATIO: f64 = 0.25;

impl Dispatcher {
    /// Returns what is known about a load that is requested from these engines.
    pub(super) fn load_inputs(
        &self,
        adapter: &AdapterRef,
        backends: &[BackendId],
        now: Instant,
    ) -> LoadInputs {
        let Some(first) = backends.first().and_then(|id| self.backends.get(id)) else {
            return LoadInputs::default();
        };
        let hash = adapter_hash(adapter);
        let states = self.backends.values();
        let of_service = states.filter(|b| b.listed.service == first.listed.service);
        let candidates: Vec<&BackendState> = of_service.filter(|b| b.is_available(now)).collect();
        let (mut holders, mut in_memory) = (0, 0);
        for state in &candidates {
            let is_holder = state.held_version(adapter, now).is_some();
            holders += u32::from(is_holder);
            in_memory += u32::from(!is_holder && state.has_recently_held(hash));
        }
        let queue_ms = self.queue_ms(first, now).max(0.0);
        LoadInputs {
            holders,
            in_memory,
            is_reload: first.has_recently_held(hash),
            queue: Duration::from_millis(queue_ms as u64),
            spare_slots: first.spare_slots(),
            view_age: first.view_age(now),
            are_slots_short: self.are_slots_short(&candidates),
        }
    }

    /// Returns whether a request would pass its deadline before its first token if the engine
    /// loaded its adapter. Evicting an adapter for it would be of no use.
    pub(super) fn is_too_late_at(
        &self,
        request: &DispatchRequest,
        adapter: &AdapterRef,
        state: &BackendState,
        now: Instant,
    ) -> bool {
        let load_ms = state.view.as_ref().map_or(0, |view| {
            match state.has_recently_held(adapter_hash(adapter)) {
                true => view.figures.next_return_ms,
                false => view.figures.next_load_ms,
            }
        });
        let load = Duration::from_millis(u64::from(load_ms));
        now + load + self.settings.first_token_delay > request.deadline
    }

    /// Returns whether many engines can load an adapter only if they evict another one. Decisions
    /// about engines with room for the adapters in use don't depend on `adapter_affinity`.
    pub(super) fn are_slots_short(&self, candidates: &[&BackendState]) -> bool {
        if !self.settings.features.adapter_affinity {
            return false;
        }
        // all candidates are of one service
        let service = candidates.first().map(|b| &b.listed.service);
        let service = service.and_then(|name| self.table.services.get(name));
        let Some(spec) = service.and_then(|service| service.engine.as_ref()) else {
            return false;
        };
        let (mut reporting, mut full) = (0, 0);
        for state in candidates {
            let Some(view) = &state.view else {
                continue;
            };
            reporting += 1;
            let taken = view.held.len() + view.loading.len();
            full += u32::from(taken >= spec.adapter_slots as usize);
        }
        full > 0 && f64::from(full) >= f64::from(reporting) * SHORT_SLOTS_RATIO
    }
}
