//! which engines are asked to load what

use {
    super::{demands::build_demand, dispatcher::Dispatcher, BackendState, DispatchRequest},
    chalkcart_protocol::peer::{AdapterDemand, WantedAdapter},
    chalkcart_state::backends::{AdapterRef, BackendId},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// an adapter is wished for at one engine for this long; a request that still
/// waits then asks at the next
pub(super) const PENDING_LOAD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// engines that are asked to load an adapter
#[derive(Debug, Clone)]
pub(super) struct PendingLoad {
    pub(super) backends: Vec<BackendId>,
    pub(super) until: Instant,
}

impl PendingLoad {
    /// when its engines were asked
    pub(super) fn requested_at(&self) -> Instant {
        self.until - PENDING_LOAD_TIMEOUT
    }
    /// how many of its engines are among these
    pub(super) fn count_among(&self, candidates: &[&BackendState]) -> usize {
        let known = candidates
            .iter()
            .filter(|b| self.backends.contains(&b.listed.id));
        known.count()
    }
}

/// which sidecars are told what is needed of their engines
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DueDemands {
    /// those of new wishes
    Urgent,
    /// and those of engines that something was or is needed of
    Changed,
    All,
}

impl Dispatcher {
    /// what sidecars must hear now: those of new wishes, also those of whom more
    /// or less is needed, or each of them
    pub fn demands(&mut self, due: DueDemands, now: Instant) -> Vec<(SocketAddr, AdapterDemand)> {
        self.pending_loads.retain(|_, pending| pending.until > now);
        self.expected_returns
            .retain(|_, expected| expected.until > now);
        let urgent = std::mem::take(&mut self.urgent_demands);
        let mut wanted = self.wanted_adapters(now);
        let mut demands = Vec::new();
        let table = self.table.clone();
        for (id, state) in &mut self.backends {
            if state.is_unlisted || !state.may_be_current() {
                continue;
            }
            let is_last_demand_empty = state.has_no_demand() && !wanted.contains_key(id);
            let is_due = match due {
                DueDemands::Urgent => false,
                DueDemands::Changed => !(is_last_demand_empty && state.is_last_demand_empty),
                DueDemands::All => true,
            };
            if !is_due && !urgent.contains(id) {
                continue;
            }
            state.is_last_demand_empty = is_last_demand_empty;
            let Some(service) = table.services.get(&state.listed.service) else {
                continue;
            };
            let Some(spec) = &service.engine else {
                continue;
            };
            let wanted = wanted.remove(id).unwrap_or_default();
            let versions = &self.adapter_versions;
            let settings = &self.settings;
            let demand = build_demand(
                settings,
                self.list_version,
                service,
                spec,
                state,
                wanted,
                versions,
            );
            let fence_seen = self.fences.get(&state.listed.addr).copied().unwrap_or(0);
            let demand = AdapterDemand {
                fence_seen,
                ..demand
            };
            demands.push((state.listed.addr, demand));
        }
        demands
    }

    /// have the sidecars of engines load the adapter
    pub(super) fn request_load(
        &mut self,
        adapter: &AdapterRef,
        backends: Vec<BackendId>,
        now: Instant,
    ) {
        self.urgent_demands.extend(backends.iter().cloned());
        let until = now + PENDING_LOAD_TIMEOUT;
        self.pending_loads
            .insert(adapter.clone(), PendingLoad { backends, until });
    }

    /// The same for requests that are bound to regions: others may wish for the adapter at
    /// engines where these may not be served.
    pub(super) fn request_load_for_region(
        &mut self,
        request: &DispatchRequest,
        adapter: &AdapterRef,
        mut homes: Vec<BackendId>,
        now: Instant,
    ) {
        let pending = self.pending_loads.get(adapter).filter(|w| w.until > now);
        let elsewhere = pending.iter().flat_map(|w| &w.backends).filter(|id| {
            let state = self.backends.get(*id);
            state.is_some_and(|state| !self.may_serve(request, state))
        });
        homes.extend(elsewhere.cloned().collect::<Vec<_>>());
        self.request_load(adapter, homes, now);
    }

    /// the same, beside the engines that are asked already
    pub(super) fn request_additional_load(
        &mut self,
        adapter: &AdapterRef,
        homes: Vec<BackendId>,
        now: Instant,
    ) {
        if self.is_load_pending(adapter, &homes, now) {
            return;
        }
        let pending = self.pending_loads.get(adapter).filter(|w| w.until > now);
        let mut backends = pending.map_or(Vec::new(), |w| w.backends.clone());
        backends.extend(homes);
        self.request_load(adapter, backends, now);
    }

    /// whether each of these engines was asked to load the adapter
    pub(super) fn is_load_pending(
        &self,
        adapter: &AdapterRef,
        homes: &[BackendId],
        now: Instant,
    ) -> bool {
        let pending = self.pending_loads.get(adapter).filter(|w| w.until > now);
        pending.is_some_and(|w| homes.iter().all(|home| w.backends.contains(home)))
    }

    /// what requests wait for, by the engine that is to load it
    pub(super) fn wanted_adapters(&self, now: Instant) -> HashMap<BackendId, Vec<WantedAdapter>> {
        let mut rows: BTreeMap<&AdapterRef, WantedAdapter> = BTreeMap::new();
        for adapter in self.pending_loads.keys() {
            rows.insert(adapter, wanted_adapter(adapter));
        }
        for (adapter, expected) in &self.expected_returns {
            let row = rows
                .entry(adapter)
                .or_insert_with(|| wanted_adapter(adapter));
            row.waiting += expected.requests;
            row.priority = row.priority.min(expected.priority);
        }
        for request in self.waiting.requests() {
            let Some(row) = request.adapter.as_ref().and_then(|a| rows.get_mut(a)) else {
                continue;
            };
            let waited = now
                .saturating_duration_since(request.arrived_at)
                .as_millis();
            row.waiting += 1;
            row.priority = row.priority.min(request.priority);
            row.waited_ms = row.waited_ms.max(waited as u32);
        }
        let mut wanted: HashMap<BackendId, Vec<WantedAdapter>> = HashMap::new();
        for (adapter, row) in rows {
            let expected = self
                .expected_returns
                .get(adapter)
                .map(|p| vec![p.backend.clone()]);
            let pending = self.pending_loads.get(adapter).map(|w| w.backends.clone());
            // what is there and waited for by nobody needs no place kept
            let is_done = |id: &BackendId| {
                let Some(state) = self.backends.get(id) else {
                    return false;
                };
                let is_there = state.held_version(adapter, now).is_some();
                // nothing would be sent there
                state.is_leaving() || row.waiting == 0 && is_there
            };
            for backend in pending.or(expected).unwrap_or_default() {
                if is_done(&backend) {
                    continue;
                }
                wanted.entry(backend).or_default().push(row.clone());
            }
        }
        wanted
    }
}

fn wanted_adapter(adapter: &AdapterRef) -> WantedAdapter {
    WantedAdapter {
        adapter: adapter.clone(),
        waiting: 0,
        priority: u8::MAX,
        waited_ms: 0,
    }
}
