//! which adapters the engines should load, and when requests come back for them

use {
    super::{
        choosing::{with_model, Choice},
        demands::build_demand,
        dispatcher::Dispatcher,
        Ask, BackendState,
    },
    crate::membership::{rendezvous_weight, stable_hash},
    chalkcart_protocol::peer::{AdapterDemand, WantedAdapter},
    chalkcart_state::backends::{AdapterRef, BackendId},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// an adapter is wished for at one engine for this long; a request that still
/// waits then asks at the next
const WISHED_FOR: Duration = Duration::from_millis(1_500);
/// an adapter is spread only while this many of its requests are in flight
const SPREAD_IN_FLIGHT: u32 = 3;
/// added to the time of a load before its requests come back
const PROMISE_MARGIN: Duration = Duration::from_millis(60);
/// an adapter stays wanted for this long after its requests should be back
const PROMISE_KEPT: Duration = Duration::from_millis(400);

/// which adapter another engine is asked to load
#[derive(Debug, Clone)]
pub(super) struct Spread {
    backend: BackendId,
    until: Instant,
}

/// requests that come back for an adapter
#[derive(Debug, Clone)]
pub(super) struct Promise {
    backend: BackendId,
    priority: u8,
    requests: u32,
    /// when the last of them should be back
    until: Instant,
}

impl Dispatcher {
    /// what sidecars must hear now; all of them if `all`
    pub fn demands(&mut self, all: bool, now: Instant) -> Vec<(SocketAddr, AdapterDemand)> {
        self.spreads.retain(|_, spread| spread.until > now);
        self.promises.retain(|_, promise| promise.until > now);
        let urgent = std::mem::take(&mut self.urgent);
        let mut wanted = self.wanted(now);
        let mut demands = Vec::new();
        let table = self.table.clone();
        for (id, state) in &mut self.backends {
            if state.is_gone || state.is_superseded || !(all || urgent.contains(id)) {
                continue;
            }
            let Some(service) = table.services.get(&state.listed.service) else {
                continue;
            };
            let Some(spec) = &service.engine else {
                continue;
            };
            let wanted = wanted.remove(id).unwrap_or_default();
            let versions = &self.versions;
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

    /// when a request should come back whose adapter is too late for its
    /// objective; it is refused early, and its adapter goes on being wanted
    pub(super) fn promise(&mut self, ask: &Ask, now: Instant) -> Option<Duration> {
        let adapter = ask.adapter.as_ref()?;
        let waited = now.saturating_duration_since(ask.arrived);
        let (from, until) = (self.settings.refuse_from, self.settings.refuse_until);
        let is_time = waited >= ask.target_latency.mul_f64(from)
            && waited <= ask.target_latency.mul_f64(until);
        if ask.has_returned || ask.sends > 0 || !is_time {
            return None;
        }
        let backend = self.spreads.get(adapter)?.backend.clone();
        let view = self.backends.get(&backend)?.view.as_ref()?;
        let load = match view.loading.contains(adapter) {
            true => Duration::from_millis(u64::from(view.figures.next_load_ms)) / 2,
            false => Duration::from_millis(u64::from(view.figures.next_load_ms)),
        };
        if waited + load + self.settings.first_token <= ask.target_latency {
            return None;
        }
        let retry_after = load + PROMISE_MARGIN;
        let until = now + retry_after + PROMISE_KEPT;
        let promise = self.promises.entry(adapter.clone()).or_insert(Promise {
            backend,
            priority: ask.priority,
            requests: 0,
            until,
        });
        promise.requests += 1;
        promise.until = promise.until.max(until);
        promise.priority = promise.priority.min(ask.priority);
        Some(retry_after)
    }

    /// have the sidecar of an engine load the adapter
    pub(super) fn wish(&mut self, adapter: &AdapterRef, backend: BackendId, now: Instant) {
        self.urgent.insert(backend.clone());
        let until = now + WISHED_FOR;
        self.spreads
            .insert(adapter.clone(), Spread { backend, until });
    }

    /// the engine that is to load the adapter, if none is asked to yet
    pub(super) fn home_for(
        &self,
        adapter: &AdapterRef,
        candidates: &[&BackendState],
        ask: &Ask,
        now: Instant,
    ) -> Option<BackendId> {
        let wished = self.spreads.get(adapter).filter(|s| s.until > now);
        if wished.is_some_and(|s| candidates.iter().any(|b| b.listed.id == s.backend)) {
            return None;
        }
        let waited = now.saturating_duration_since(ask.arrived);
        let skip = (waited.as_millis() / WISHED_FOR.as_millis()) as usize;
        self.home(adapter, candidates, skip)
    }

    /// the engine that is to load an adapter: the one that does so already,
    /// else the first with a spare place in the adapter's own order
    fn home(
        &self,
        adapter: &AdapterRef,
        candidates: &[&BackendState],
        skip: usize,
    ) -> Option<BackendId> {
        let with_model = with_model(candidates, &adapter.model);
        // an engine that holds no model gets the one that is wanted there
        let candidates = match with_model.is_empty() {
            true => candidates,
            false => &with_model,
        };
        if let Some(loading) = candidates.iter().find(|b| b.is_loading(adapter)) {
            return Some(loading.listed.id.clone());
        }
        let spare = candidates.iter().filter(|b| b.spare_slots() > 0);
        let key = stable_hash(&adapter.to_string());
        let mut ranked: Vec<(u64, &BackendState)> = spare
            .map(|b| (rendezvous_weight(key, b.home_hash()), *b))
            .collect();
        ranked.sort_by_key(|(weight, _)| Reverse(*weight));
        let index = skip % ranked.len().max(1);
        ranked.get(index).map(|(_, b)| b.listed.id.clone())
    }

    /// the engine for another copy, if those that hold the adapter are too busy
    pub(super) fn home_for_copy(
        &self,
        adapter: &AdapterRef,
        holders: &[&BackendState],
        candidates: &[&BackendState],
        choice: &Choice,
        now: Instant,
    ) -> Option<BackendId> {
        let wait = match choice {
            Choice::Send(assignment) => assignment.basis.queue_ms,
            Choice::Wait(_) => f64::INFINITY,
        };
        if wait < self.settings.spread_wait_ms || self.spreads.contains_key(adapter) {
            return None;
        }
        let running = holders.iter().filter_map(|b| b.running_on.get(adapter));
        if running.sum::<u32>() < SPREAD_IN_FLIGHT {
            return None;
        }
        let is_holder = |b: &BackendState| holders.iter().any(|h| h.listed.id == b.listed.id);
        let others: Vec<&BackendState> = candidates
            .iter()
            .copied()
            .filter(|b| !is_holder(b) && self.queue_ms(b, now) < wait / 2.0)
            .collect();
        self.home(adapter, &others, 0)
    }

    /// what requests wait for, by the engine that is to load it
    pub(super) fn wanted(&self, now: Instant) -> HashMap<BackendId, Vec<WantedAdapter>> {
        let mut rows: BTreeMap<&AdapterRef, WantedAdapter> = BTreeMap::new();
        for adapter in self.spreads.keys() {
            rows.insert(adapter, wanted_adapter(adapter));
        }
        for (adapter, promise) in &self.promises {
            let row = rows
                .entry(adapter)
                .or_insert_with(|| wanted_adapter(adapter));
            row.waiting += promise.requests;
            row.priority = row.priority.min(promise.priority);
        }
        for ask in self.waiting.asks() {
            let Some(row) = ask.adapter.as_ref().and_then(|a| rows.get_mut(a)) else {
                continue;
            };
            let waited = now.saturating_duration_since(ask.arrived).as_millis();
            row.waiting += 1;
            row.priority = row.priority.min(ask.priority);
            row.waited_ms = row.waited_ms.max(waited as u32);
        }
        let mut wanted: HashMap<BackendId, Vec<WantedAdapter>> = HashMap::new();
        for (adapter, row) in rows {
            let spread = self.spreads.get(adapter).map(|s| &s.backend);
            let promised = self.promises.get(adapter).map(|p| &p.backend);
            if let Some(backend) = spread.or(promised) {
                wanted.entry(backend.clone()).or_default().push(row);
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
