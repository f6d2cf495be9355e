//! what is known of the back ends: the list, the sidecars' views, versions

use {
    super::{backend_state::ViewNews, dispatcher::Dispatcher, BackendState},
    chalkcart_protocol::peer::{EngineFigures, EngineView},
    chalkcart_state::{
        backends::{AdapterRef, Backend, BackendId, BackendList},
        ids::ServiceName,
    },
    std::{collections::HashSet, net::SocketAddr, time::Instant},
};

impl Dispatcher {
    pub(super) fn on_list(&mut self, version: u64, list: BackendList, now: Instant) {
        if version < self.list_version {
            return;
        }
        self.list_version = version;
        let listed: HashSet<&BackendId> = list.iter().map(|b| &b.id).collect();
        for (id, state) in &mut self.backends {
            let is_listed = listed.contains(id);
            state.is_ahead &= !is_listed;
            state.is_gone = !(is_listed || state.is_ahead && state.view.is_some());
        }
        for backend in list {
            match self.backends.get_mut(&backend.id) {
                Some(state) => state.listed = backend,
                None => {
                    let id = backend.id.clone();
                    self.urgent.insert(id.clone());
                    self.backends.insert(id, BackendState::new(backend, now));
                }
            }
        }
        self.forget_gone();
    }

    /// forget back ends that left the list, unless nothing else is left
    pub(super) fn forget_gone(&mut self) {
        let services: HashSet<ServiceName> = self
            .backends
            .values()
            .filter(|b| !b.is_gone)
            .map(|b| b.listed.service.clone())
            .collect();
        self.backends
            .retain(|_, b| !b.is_gone || b.in_flight > 0 || !services.contains(&b.listed.service));
    }

    pub(super) fn has_listed(&self, service: &ServiceName) -> bool {
        let mut of_service = self.backends.values();
        of_service.any(|b| !b.is_gone && b.listed.service == *service)
    }

    /// says which requests may be sent now that waited
    pub(super) fn on_view(&mut self, addr: SocketAddr, view: EngineView, now: Instant) -> ViewNews {
        self.last_heard = Some(now);
        self.on_counted(view.figures.entries, now);
        self.on_fence(addr, view.figures.fence);
        let nothing = ViewNews::Came(Vec::new());
        if view.backend.is_empty() {
            return nothing;
        }
        if !self.backends.contains_key(&view.backend) {
            self.add_ahead_of_list(addr, &view.backend, now);
        }
        self.on_incarnation(addr, &view.backend);
        let state = self.backends.get_mut(&view.backend);
        state.map_or(nothing, |state| state.on_view(view, now))
    }

    /// after a restart the list may have the former incarnation of an engine
    /// beside the new one for a while; its sidecar knows which one lives
    fn on_incarnation(&mut self, addr: SocketAddr, living: &BackendId) {
        let at_address = self.backends.values_mut().filter(|b| b.listed.addr == addr);
        for state in at_address {
            state.is_replaced = state.listed.id != *living;
        }
    }

    pub(super) fn on_figures(&mut self, backend: &BackendId, figures: EngineFigures, now: Instant) {
        self.last_heard = Some(now);
        self.on_counted(figures.entries, now);
        if let Some(state) = self.backends.get_mut(backend) {
            state.on_figures(figures, now);
            let addr = state.listed.addr;
            self.on_fence(addr, figures.fence);
        }
    }

    fn on_counted(&mut self, entries: u32, now: Instant) {
        let window = self.settings.budget.window;
        self.fleet_size.on_counted(entries, window, now);
    }

    fn on_fence(&mut self, addr: SocketAddr, spoken: u64) {
        let fence = self.fences.entry(addr).or_default();
        *fence = spoken.max(*fence);
    }

    /// an engine that came back and is not in the list yet: its sidecar knows
    pub(super) fn add_ahead_of_list(&mut self, addr: SocketAddr, id: &BackendId, now: Instant) {
        let mut states = self.backends.values_mut();
        let Some(former) = states.find(|b| b.listed.addr == addr) else {
            return;
        };
        former.is_superseded = true;
        former.on_view_lost();
        let listed = Backend {
            id: id.clone(),
            leaving: false,
            models: Vec::new(),
            held: Vec::new(),
            ..former.listed.clone()
        };
        let mut state = BackendState::new(listed, now);
        state.is_ahead = true;
        self.backends.insert(id.clone(), state);
    }

    pub(super) fn on_view_lost(&mut self, backend: &BackendId) {
        if let Some(state) = self.backends.get_mut(backend) {
            state.on_view_lost();
            state.is_gone |= state.is_ahead;
        }
    }

    pub(super) fn on_version(&mut self, adapter: AdapterRef, version: u64, now: Instant) {
        let known = self.versions.get(&adapter).copied().unwrap_or(0);
        if version <= known {
            return;
        }
        self.versions.insert(adapter.clone(), version);
        for (id, state) in &self.backends {
            if state.held_version(&adapter, now).is_some() {
                self.urgent.insert(id.clone());
            }
        }
        self.versioned_at.insert(adapter, now);
    }
}
