//! Requests loads of adapters from the sidecars of engines.

use {
    super::{
        adapter_affinity::MAX_SLOT_WAIT, demands::build_demand, dispatcher::Dispatcher,
        pending_load::PendingLoad, DispatchRequest, DueDemands,
    },
    chalkcart_protocol::peer::{AdapterDemand, WantedAdapter},
    chalkcart_state::backends::{AdapterRef, BackendId},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// How long a load stays requested at one engine; a request that still waits then tries the
/// next.
pub(super) const PENDING_LOAD_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Dispatcher {
    /// Returns the demands to send now.
    pub fn demands(&mut self, due: DueDemands, now: Instant) -> Vec<(SocketAddr, AdapterDemand)> {
        self.refresh_replaced();
        self.pending_loads.retain(|_, pending| pending.until > now);
        self.expected_returns
            .retain(|_, expected| expected.until > now);
        self.record_completed_loads(now);
        let urgent = std::mem::take(&mut self.urgent_demands);
        let mut wanted = self.wanted_adapters(now);
        let mut demands = Vec::new();
        let table = self.table.clone();
        let known_entries = self.fleet_size.known(now);
        for (id, state) in &mut self.backends {
            if state.is_unlisted || !state.may_be_current() {
                continue;
            }
            let is_demand_empty = state.has_no_demand() && !wanted.contains_key(id);
            let is_due = match due {
                DueDemands::Urgent => false,
                DueDemands::Changed => !(is_demand_empty && state.is_last_demand_empty),
                DueDemands::All => true,
            };
            if !is_due && !urgent.contains(id) {
                continue;
            }
            state.is_last_demand_empty = is_demand_empty;
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
                self.list_position,
                service,
                spec,
                state,
                wanted,
                versions,
            );
            let fence_seen = self.fences.get(&state.listed.addr).copied().unwrap_or(0);
            let demand = AdapterDemand {
                fence_seen,
                known_entries,
                ..demand
            };
            demands.push((state.listed.addr, demand));
        }
        demands
    }

    /// Requests a load of the adapter from the sidecars of these engines.
    pub(super) fn request_load(
        &mut self,
        adapter: &AdapterRef,
        backends: Vec<BackendId>,
        now: Instant,
    ) {
        self.urgent_demands.extend(backends.iter().cloned());
        let load = PendingLoad {
            loaded: Vec::new(),
            until: now + self.pending_load_timeout(adapter, &backends),
            requested_at: now,
            backends,
        };
        self.pending_loads.insert(adapter.clone(), load);
    }

    /// Records which of the engines have carried out their load requests.
    fn record_completed_loads(&mut self, now: Instant) {
        if !self.settings.features.adapter_affinity {
            return;
        }
        for (adapter, load) in &mut self.pending_loads {
            for id in &load.backends {
                let state = self.backends.get(id);
                let is_held = state.is_some_and(|b| b.held_version(adapter, now).is_some());
                if is_held && !load.loaded.contains(id) {
                    load.loaded.push(id.clone());
                }
            }
        }
    }

    /// Returns how long a load stays requested at these engines: a shorter time if all of them
    /// first need a slot.
    fn pending_load_timeout(&self, adapter: &AdapterRef, backends: &[BackendId]) -> Duration {
        let needs_slot = |id: &BackendId| {
            let state = self.backends.get(id);
            state
                .is_some_and(|b| b.view.is_some() && b.spare_slots() == 0 && !b.is_loading(adapter))
        };
        match self.settings.features.adapter_affinity && backends.iter().all(needs_slot) {
            true => MAX_SLOT_WAIT,
            false => PENDING_LOAD_TIMEOUT,
        }
    }

    /// Requests a load for a request that may be bound to regions or to a software version, and
    /// keeps loads pending at engines that may not serve it.
    pub(super) fn request_load_where_allowed(
        &mut self,
        request: &DispatchRequest,
        adapter: &AdapterRef,
        mut homes: Vec<BackendId>,
        now: Instant,
    ) {
        let pending = self
            .pending_loads
            .get(adapter)
            .filter(|load| load.until > now);
        let elsewhere = pending.iter().flat_map(|load| &load.backends).filter(|id| {
            let state = self.backends.get(*id);
            state.is_some_and(|state| !self.is_allowed(request, state))
        });
        homes.extend(elsewhere.cloned().collect::<Vec<_>>());
        self.request_load(adapter, homes, now);
    }

    /// Requests a load in addition to the engines where it is pending.
    pub(super) fn request_additional_load(
        &mut self,
        adapter: &AdapterRef,
        homes: Vec<BackendId>,
        now: Instant,
    ) {
        if self.is_load_pending(adapter, &homes, now) {
            return;
        }
        let pending = self
            .pending_loads
            .get(adapter)
            .filter(|load| load.until > now);
        let mut backends = pending.map_or(Vec::new(), |load| load.backends.clone());
        backends.extend(homes);
        self.request_load(adapter, backends, now);
    }

    /// Returns whether the load is pending at each of these engines.
    pub(super) fn is_load_pending(
        &self,
        adapter: &AdapterRef,
        homes: &[BackendId],
        now: Instant,
    ) -> bool {
        let pending = self
            .pending_loads
            .get(adapter)
            .filter(|load| load.until > now);
        pending.is_some_and(|load| homes.iter().all(|home| load.backends.contains(home)))
    }

    /// Returns the adapters that requests wait for, by the engine that should load them.
    pub(super) fn wanted_adapters(&self, now: Instant) -> HashMap<BackendId, Vec<WantedAdapter>> {
        let mut adapters: BTreeMap<&AdapterRef, WantedAdapter> = BTreeMap::new();
        for adapter in self.pending_loads.keys() {
            adapters.insert(adapter, wanted_adapter(adapter));
        }
        for (adapter, expected) in &self.expected_returns {
            let summary = adapters
                .entry(adapter)
                .or_insert_with(|| wanted_adapter(adapter));
            summary.waiting += expected.requests;
            summary.priority = summary.priority.min(expected.priority);
        }
        for request in self.waiting.iter() {
            let Some(summary) = request.adapter.as_ref().and_then(|a| adapters.get_mut(a)) else {
                continue;
            };
            let waited = now
                .saturating_duration_since(request.arrived_at)
                .as_millis();
            if request.is_beyond_share {
                // the adapter is loaded after those that others wait for
                summary.waiting = summary.waiting.max(1);
                continue;
            }
            summary.waiting += 1;
            summary.priority = summary.priority.min(request.priority);
            summary.waited_ms = summary.waited_ms.max(waited as u32);
        }
        let mut wanted: HashMap<BackendId, Vec<WantedAdapter>> = HashMap::new();
        for (adapter, summary) in adapters {
            let expected = self
                .expected_returns
                .get(adapter)
                .map(|expected| vec![expected.backend.clone()]);
            let pending = self
                .pending_loads
                .get(adapter)
                .map(|load| load.backends.clone());
            let load = self.pending_loads.get(adapter);
            // a loaded adapter without waiting requests needs no load request
            let is_done = |id: &BackendId| {
                let Some(state) = self.backends.get(id) else {
                    return false;
                };
                // Until it expired, the request had the adapter loaded again each time the
                // sidecar had evicted it for others.
                let was_loaded = load.is_some_and(|load| load.loaded.contains(id));
                let is_loaded = was_loaded || state.held_version(adapter, now).is_some();
                // no request would be sent there
                state.is_leaving() || summary.waiting == 0 && is_loaded
            };
            for backend in pending.or(expected).unwrap_or_default() {
                if is_done(&backend) {
                    continue;
                }
                wanted.entry(backend).or_default().push(summary.clone());
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
