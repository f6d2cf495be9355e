//! what is known of the back ends: the list, the sidecars' views, versions

use {
    super::{
        backend_state::{said_at, ViewNews},
        dispatcher::Dispatcher,
        BackendState,
    },
    crate::own_word::OwnWord,
    chalkcart_protocol::peer::{EngineStats, EngineView},
    chalkcart_state::{
        backends::{AdapterRef, Backend, BackendId, BackendList, BackendName},
        ids::ServiceName,
    },
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// the life of the engine at an address, by its sidecar's last word
#[derive(Debug, Clone)]
pub(super) struct Life {
    id: BackendId,
    /// when the sidecar said so
    said: Instant,
}

impl Dispatcher {
    pub(super) fn on_list(&mut self, version: u64, list: BackendList, now: Instant) {
        if version < self.list_version {
            return;
        }
        self.list_version = version;
        let listed: HashMap<&BackendName, &BackendId> =
            list.iter().map(|b| (&b.id.name, &b.id)).collect();
        let ended: HashSet<BackendId> = self.ended().cloned().collect();
        for (id, state) in &mut self.backends {
            let by_name = listed.get(&id.name);
            let is_listed = by_name.is_some_and(|listed| *listed == id);
            let is_followed =
                by_name.is_some_and(|b| b.is_later_incarnation_of(id) && !ended.contains(*b));
            state.is_ahead &= !is_listed && !is_followed;
            let was_gone = state.is_gone;
            state.is_gone = !(is_listed || state.is_ahead && state.view.is_some());
            // where a sidecar speaks, it sees the end itself
            if state.is_gone && !was_gone && state.view.is_none() {
                self.crashes.on_ended(id, now);
            }
        }
        for backend in list {
            let cold_left = backend.cold_left;
            self.may_have_cold |= !cold_left.is_zero();
            let entry = &self.settings.entry;
            match self.backends.get_mut(&backend.id) {
                Some(state) => {
                    // what was listed before has run on since
                    if state.listed.cold_left != cold_left {
                        state.set_cold(entry, cold_left, now);
                    }
                    state.listed = backend;
                }
                None => {
                    let id = backend.id.clone();
                    self.urgent.insert(id.clone());
                    let mut state = BackendState::new(backend, now);
                    state.recall(&mut self.own_words, now);
                    if state.limit.named().is_some() {
                        self.limited.insert(id.clone());
                    }
                    state.set_cold(entry, cold_left, now);
                    self.backends.insert(id, state);
                }
            }
        }
        self.forget_gone(now);
        let backends = &self.backends;
        self.own_words
            .forget_gone(|id| backends.contains_key(id), now);
        self.lives
            .retain(|_, life| self.backends.contains_key(&life.id));
        self.review_replaced();
    }

    /// forget back ends that left the list, unless nothing else is left
    pub(super) fn forget_gone(&mut self, now: Instant) {
        let services: HashSet<ServiceName> = self
            .backends
            .values()
            .filter(|b| !b.is_gone)
            .map(|b| b.listed.service.clone())
            .collect();
        self.backends.retain(|id, b| {
            let is_kept = !b.is_gone || b.in_flight > 0 || !services.contains(&b.listed.service);
            if !is_kept {
                self.own_words.keep_limit(id, &b.limit, now);
            }
            is_kept
        });
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
        if !self.on_life(addr, &view, now) {
            return nothing;
        }
        let Some(state) = self.backends.get_mut(&view.backend) else {
            return nothing;
        };
        let is_first = state.view.is_none();
        self.crashes.on_word(&view.backend, &view.figures, now);
        let told = (view.backend.clone(), view.figures);
        let news = state.on_view(view, now);
        self.on_own_word_told(&told.0, &told.1, now);
        if is_first {
            self.review_replaced();
        }
        news
    }

    /// The sidecar at an address says which life its engine lives; false if it said so
    /// before the last word from there, as a relay may that has not heard it lately.
    ///
    /// It sees the engine itself, so a life that it spoke of before has ended, whatever
    /// the clock of the engine says.
    fn on_life(&mut self, addr: SocketAddr, view: &EngineView, now: Instant) -> bool {
        let said = said_at(&view.figures, now);
        let known = self.lives.get(&addr);
        if known.is_some_and(|known| known.id != view.backend && said < known.said) {
            return false;
        }
        let is_other = known.is_some_and(|known| known.id != view.backend);
        let former = known.map(|known| known.id.clone()).filter(|_| is_other);
        if !self.backends.contains_key(&view.backend) {
            self.add_ahead_of_list(addr, &view.backend, now);
        }
        if let Some(former) = former.and_then(|id| self.backends.get_mut(&id)) {
            self.crashes.on_ended(&former.listed.id, now);
            former.end_life();
        }
        let id = view.backend.clone();
        self.lives.insert(addr, Life { id, said });
        if let Some(state) = self.backends.get_mut(&view.backend) {
            state.has_ended = false;
        }
        true
    }

    /// lives that have ended, by the word of their sidecars
    fn ended(&self) -> impl Iterator<Item = &BackendId> {
        let ended = self.backends.values().filter(|b| b.has_ended);
        ended.map(|b| &b.listed.id)
    }

    /// After a restart the list may have the former life of an engine beside the new one,
    /// or have a life that the sidecar has not seen yet. The sidecar knows which one lives
    /// while it speaks, unless the list has one that was surely born later, or a back end
    /// of another service that got the address.
    fn is_replaced(&self, state: &BackendState) -> bool {
        let listed = &state.listed;
        let life = self.lives.get(&listed.addr);
        let living = life.and_then(|life| self.backends.get(&life.id));
        living.is_some_and(|living| {
            let id = &living.listed.id;
            living.view.is_some()
                && living.listed.service == listed.service
                && *id != listed.id
                && !listed.id.is_later_incarnation_of(id)
        })
    }

    fn review_replaced(&mut self) {
        let replaced = self.backends.values().filter(|b| self.is_replaced(b));
        let replaced: HashSet<BackendId> = replaced.map(|b| b.listed.id.clone()).collect();
        for (id, state) in &mut self.backends {
            state.is_replaced = replaced.contains(id);
        }
    }

    /// Its sidecar heard from the engine itself that it leaves, how many requests it takes or
    /// that it is cold: entries that had no answer of it know it by that, also while the
    /// store is silent.
    fn on_own_word_told(&mut self, backend: &BackendId, figures: &EngineStats, now: Instant) {
        self.on_limit_told(backend, figures, now);
        if figures.cold_left_ms > 0 {
            let left = Duration::from_millis(u64::from(figures.cold_left_ms));
            let said = Duration::from_millis(u64::from(figures.age_ms));
            self.on_cold_told(backend, left.saturating_sub(said), now);
        }
        if figures.is_leaving {
            self.note_own_word(backend, OwnWord::new(true, None), now);
        }
    }

    pub(super) fn on_figures(&mut self, backend: &BackendId, figures: EngineStats, now: Instant) {
        self.last_heard = Some(now);
        self.on_counted(figures.entries, now);
        if let Some(state) = self.backends.get_mut(backend) {
            self.crashes.on_word(backend, &figures, now);
            state.on_figures(figures, now);
            let addr = state.listed.addr;
            self.on_own_word_told(backend, &figures, now);
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
        self.crashes.on_ended(&former.listed.id, now);
        former.end_life();
        let service = self.table.services.get(&former.listed.service);
        let cold_left = service.map_or(Duration::ZERO, |s| s.cold_start);
        let listed = Backend {
            id: id.clone(),
            leaving: false,
            cold_left,
            models: Vec::new(),
            held: Vec::new(),
            ..former.listed.clone()
        };
        let mut state = BackendState::new(listed, now);
        state.recall(&mut self.own_words, now);
        if state.limit.named().is_some() {
            self.limited.insert(id.clone());
        }
        state.is_ahead = true;
        self.may_have_cold |= !cold_left.is_zero();
        state.set_cold(&self.settings.entry, cold_left, now);
        self.backends.insert(id.clone(), state);
    }

    pub(super) fn on_view_lost(&mut self, backend: &BackendId, now: Instant) {
        let Some(state) = self.backends.get_mut(backend) else {
            return;
        };
        state.on_view_lost(now);
        state.is_gone |= state.is_ahead;
        // the list has the last word where no sidecar speaks
        self.review_replaced();
    }

    pub(super) fn on_version(&mut self, adapter: AdapterRef, version: u64, now: Instant) {
        let grace = self.settings.version_grace;
        if !self.versions.put(&adapter, version, grace, now) {
            return;
        }
        for (id, state) in &self.backends {
            if state.held_version(&adapter, now).is_some() {
                self.urgent.insert(id.clone());
            }
        }
    }
}
