//! Updates of what is known about back ends: routes, the list, sidecar views and adapter versions.

use {
    super::{
        affected_requests::AffectedRequests, backend_state::reported_at, dispatcher::Dispatcher,
        reported_incarnation::ReportedIncarnation, BackendState,
    },
    crate::backend_signals::BackendSignals,
    chalkcart_protocol::peer::{EngineStats, EngineView},
    chalkcart_state::{
        backends::{AdapterRef, Backend, BackendId, BackendList, BackendName},
        ids::ServiceName,
        ingress::RouteTable,
        published::StorePosition,
    },
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

impl Dispatcher {
    pub(super) fn on_list(&mut self, at: StorePosition, list: BackendList, now: Instant) {
        if at < self.list_position {
            return;
        }
        // A restored store may lack back ends that started since its copy.
        let is_of_new_era = at.era > self.list_position.era;
        let is_first = self.list_position == StorePosition::default();
        self.list_position = at;
        if is_of_new_era && !is_first {
            self.list_source.on_restored(now);
        }
        let unlisted = self.mark_unlisted(&list, now);
        // the record of a back end that the store may not have heard has lapsed, which proves
        // nothing of its end
        if !self.list_source.may_lack_running(now) {
            let ended = unlisted.iter();
            ended.for_each(|id| self.crashes.on_engine_ended(id, now));
        }
        for backend in list {
            self.update_listed(backend, now);
        }
        self.remove_unlisted(now);
        let backends = &self.backends;
        self.signals
            .remove_expired(|id| backends.contains_key(id), now);
        self.incarnations
            .retain(|_, reported| self.backends.contains_key(&reported.id));
        self.is_replaced_outdated = true;
        self.performance.invalidate();
    }

    /// Marks the back ends that a list does not contain. Returns those that it no longer contains
    /// and whose sidecar, which would detect their end itself, does not report.
    fn mark_unlisted(&mut self, list: &BackendList, now: Instant) -> Vec<BackendId> {
        let may_lack_running = self.list_source.may_lack_running(now);
        let listed: HashMap<&BackendName, &BackendId> =
            list.iter().map(|b| (&b.id.name, &b.id)).collect();
        let ended: HashSet<BackendId> = self.ended_incarnations().cloned().collect();
        let listed_ended: HashSet<SocketAddr> = list
            .iter()
            .filter(|b| ended.contains(&b.id))
            .map(|b| b.addr)
            .collect();
        let mut newly_unlisted = Vec::new();
        for (id, state) in &mut self.backends {
            let by_name = listed.get(&id.name);
            let is_listed = by_name.is_some_and(|listed| *listed == id);
            let has_successor =
                by_name.is_some_and(|b| b.is_later_incarnation_of(id) && !ended.contains(*b));
            state.is_ahead_of_list &= !is_listed && !has_successor;
            let was_unlisted = state.is_unlisted;
            let is_list_behind = listed_ended.contains(&state.listed.addr);
            let may_come = may_lack_running || state.may_be_listed_soon(now);
            let is_expected = may_come && (state.view.is_some() || is_list_behind);
            state.is_unlisted = !(is_listed || state.is_ahead_of_list && is_expected);
            let has_left = state.is_unlisted && !was_unlisted;
            if has_left {
                state.is_lapsed = may_lack_running;
            }
            if has_left && state.view.is_none() {
                newly_unlisted.push(id.clone());
            }
        }
        newly_unlisted
    }

    /// Applies one row of a list.
    fn update_listed(&mut self, backend: Backend, now: Instant) {
        let slow_start_left = backend.slow_start_left;
        self.may_have_slow_start |= !slow_start_left.is_zero();
        let entry = &self.settings.entry;
        if let Some(state) = self.backends.get_mut(&backend.id) {
            // an unchanged value has been counting down since it was listed
            if state.listed.slow_start_left != slow_start_left {
                state.set_slow_start(entry, slow_start_left, now);
            }
            state.listed = backend;
            return;
        }
        let id = backend.id.clone();
        self.urgent_demands.insert(id.clone());
        let mut state = BackendState::new(backend, now);
        state.restore_signals(&mut self.signals, now);
        if state.limit.effective_rate().is_some() {
            self.limited_backends.insert(id.clone());
        }
        state.set_slow_start(entry, slow_start_left, now);
        self.backends.insert(id, state);
    }

    /// Removes back ends that left the list, unless they may run and their service has no other.
    pub(super) fn remove_unlisted(&mut self, now: Instant) {
        let services: HashSet<ServiceName> = self
            .backends
            .values()
            .filter(|b| !b.is_unlisted)
            .map(|b| b.listed.service.clone())
            .collect();
        let may_lack_running = self.list_source.may_lack_running(now);
        self.backends.retain(|id, b| {
            let may_be_needed = may_lack_running && b.is_lapsed;
            let has_other = services.contains(&b.listed.service);
            let is_reported = b.is_ahead_of_list && b.view.is_some();
            let is_idle = b.in_flight == 0 && !is_reported;
            let is_kept = !b.is_unlisted || !is_idle || (may_be_needed && !has_other);
            if !is_kept {
                self.signals.save_limit(id, &b.limit, now);
            }
            is_kept
        });
    }

    pub(super) fn has_listed(&self, service: &ServiceName) -> bool {
        let mut of_service = self.backends.values();
        of_service.any(|b| !b.is_unlisted && b.listed.service == *service)
    }

    /// Applies a view of a sidecar; returns the waiting requests that may be sent now.
    pub(super) fn on_view(
        &mut self,
        addr: SocketAddr,
        view: EngineView,
        now: Instant,
    ) -> AffectedRequests {
        self.last_report_at = Some(now);
        self.on_entry_count(&view.figures, addr, now);
        self.on_fence(addr, view.figures.fence);
        let none_affected = AffectedRequests::OfAdapters(Vec::new());
        if view.backend.is_empty() {
            return none_affected;
        }
        if !self.on_incarnation(addr, &view, now) {
            return none_affected;
        }
        let Some(state) = self.backends.get_mut(&view.backend) else {
            return none_affected;
        };
        let is_first = state.view.is_none();
        self.crashes
            .on_engine_stats(&view.backend, &view.figures, now);
        let before = state.view.as_ref().map(|v| v.figures);
        let reported = (view.backend.clone(), view.figures);
        let affected = state.on_view(view, now);
        self.on_figures(&reported.0, before);
        self.on_reported_signals(&reported.0, &reported.1, now);
        self.on_prefill_reported(&reported.0);
        // All engines report for the first time shortly after each other.
        self.is_replaced_outdated |= is_first;
        affected
    }

    /// Records the incarnation that the sidecar at an address reports. Returns false if the
    /// report is older than the last one from there, as it may be from a relay that lags
    /// behind.
    ///
    /// The sidecar observes the engine itself, so an incarnation that it reported before
    /// has ended, regardless of the engine's clock.
    fn on_incarnation(&mut self, addr: SocketAddr, view: &EngineView, now: Instant) -> bool {
        let reported_at = reported_at(&view.figures, now);
        let known = self.incarnations.get(&addr);
        if known.is_some_and(|known| known.id != view.backend && reported_at < known.reported_at) {
            return false;
        }
        let is_different = known.is_some_and(|known| known.id != view.backend);
        let previous = known.map(|known| known.id.clone()).filter(|_| is_different);
        if !self.backends.contains_key(&view.backend) {
            self.add_ahead_of_list(addr, &view.backend, now);
        }
        if let Some(previous) = previous.and_then(|id| self.backends.get_mut(&id)) {
            self.crashes.on_engine_ended(&previous.listed.id, now);
            previous.end_incarnation();
            self.performance.invalidate();
        }
        let id = view.backend.clone();
        self.incarnations
            .insert(addr, ReportedIncarnation { id, reported_at });
        if let Some(state) = self.backends.get_mut(&view.backend) {
            state.has_ended = false;
        }
        true
    }

    /// Returns the incarnations that ended according to their sidecars.
    fn ended_incarnations(&self) -> impl Iterator<Item = &BackendId> {
        let ended = self.backends.values().filter(|b| b.has_ended);
        ended.map(|b| &b.listed.id)
    }

    /// Returns whether another incarnation runs at the address of a back end.
    ///
    /// After a restart the list may hold the previous incarnation beside the new one, or
    /// one that the sidecar hasn't seen yet. A reporting sidecar is authoritative unless
    /// the list has an incarnation that certainly started later, or a back end of another
    /// service at that address.
    fn is_replaced(&self, state: &BackendState) -> bool {
        let listed = &state.listed;
        let reported = self.incarnations.get(&listed.addr);
        let current = reported.and_then(|reported| self.backends.get(&reported.id));
        current.is_some_and(|current| {
            let id = &current.listed.id;
            current.view.is_some()
                && current.listed.service == listed.service
                && *id != listed.id
                && !listed.id.is_later_incarnation_of(id)
        })
    }

    /// Updates which back ends are replaced if that may have changed.
    pub(super) fn refresh_replaced(&mut self) {
        if !std::mem::take(&mut self.is_replaced_outdated) {
            return;
        }
        let replaced = self.backends.values().filter(|b| self.is_replaced(b));
        let replaced: HashSet<BackendId> = replaced.map(|b| b.listed.id.clone()).collect();
        for (id, state) in &mut self.backends {
            state.is_replaced = replaced.contains(id);
        }
    }

    /// Applies the engine's own signals that its sidecar forwards: leaving, a rate limit or
    /// slow start. They also reach entries that got no response from the engine, and arrive
    /// while the store is down.
    fn on_reported_signals(&mut self, backend: &BackendId, stats: &EngineStats, now: Instant) {
        self.on_limit_reported(backend, stats, now);
        if stats.cold_left_ms > 0 {
            let left = Duration::from_millis(u64::from(stats.cold_left_ms));
            let age = Duration::from_millis(u64::from(stats.age_ms));
            self.on_slow_start(backend, left.saturating_sub(age), now);
        }
        if stats.is_leaving {
            self.record_signal(backend, BackendSignals::new(true, None), now);
        }
    }

    pub(super) fn on_stats(&mut self, backend: &BackendId, stats: EngineStats, now: Instant) {
        self.last_report_at = Some(now);
        let addr = self.backends.get(backend).map(|b| b.listed.addr);
        if let Some(addr) = addr {
            self.on_entry_count(&stats, addr, now);
        }
        if let Some(state) = self.backends.get_mut(backend) {
            self.crashes.on_engine_stats(backend, &stats, now);
            let before = state.view.as_ref().map(|v| v.figures);
            state.on_stats(stats, now);
            let addr = state.listed.addr;
            self.on_figures(backend, before);
            self.on_reported_signals(backend, &stats, now);
            self.on_prefill_reported(backend);
            self.on_fence(addr, stats.fence);
        }
    }

    fn on_prefill_reported(&mut self, backend: &BackendId) {
        let service = self.backends.get(backend).map(|b| &b.listed.service);
        let typical = service.map(|service| self.typical_prompt_tokens(service));
        if let (Some(state), Some(typical)) = (self.backends.get_mut(backend), typical) {
            state.on_prefill_reported(typical);
        }
    }

    fn on_fence(&mut self, addr: SocketAddr, reported: u64) {
        let fence = self.fences.entry(addr).or_default();
        *fence = reported.max(*fence);
    }

    /// Adds an engine that restarted and isn't listed yet, as its sidecar reports.
    pub(super) fn add_ahead_of_list(&mut self, addr: SocketAddr, id: &BackendId, now: Instant) {
        let mut states = self.backends.values_mut();
        let Some(previous) = states.find(|b| b.listed.addr == addr) else {
            return;
        };
        self.crashes.on_engine_ended(&previous.listed.id, now);
        previous.end_incarnation();
        let service = self.table.services.get(&previous.listed.service);
        let slow_start_left = service.map_or(Duration::ZERO, |s| s.slow_start_duration);
        let listed = Backend {
            id: id.clone(),
            leaving: false,
            slow_start_left,
            models: Vec::new(),
            held: Vec::new(),
            // the later incarnation may run another one
            software_version: None,
            ..previous.listed.clone()
        };
        let mut state = BackendState::new(listed, now);
        state.restore_signals(&mut self.signals, now);
        if state.limit.effective_rate().is_some() {
            self.limited_backends.insert(id.clone());
        }
        state.is_ahead_of_list = true;
        self.may_have_slow_start |= !slow_start_left.is_zero();
        state.set_slow_start(&self.settings.entry, slow_start_left, now);
        self.backends.insert(id.clone(), state);
    }

    pub(super) fn on_view_lost(&mut self, backend: &BackendId, now: Instant) {
        let Some(state) = self.backends.get_mut(backend) else {
            return;
        };
        state.on_view_lost(now);
        self.performance.invalidate();
        if state.is_ahead_of_list {
            let addr = state.listed.addr;
            let is_list_behind = self.lists_ended_incarnation_at(addr);
            if let Some(state) = self.backends.get_mut(backend) {
                state.is_unlisted |= !is_list_behind;
            }
        }
        // the list is authoritative where no sidecar reports
        self.is_replaced_outdated = true;
    }

    /// Returns whether the list still has an incarnation at an address that has ended according
    /// to its sidecar, so that the incarnation the sidecar reported last is the current one.
    fn lists_ended_incarnation_at(&self, addr: SocketAddr) -> bool {
        let mut states = self.backends.values();
        states.any(|b| b.has_ended && !b.is_unlisted && b.listed.addr == addr)
    }

    pub(super) fn on_table(&mut self, table: Arc<RouteTable>, now: Instant) {
        self.admission_order.set_routes(&table);
        self.table = table;
        self.count_listed_engines();
        self.dispatch_waiting(|_| true, now);
    }

    /// `announced_at` is unknown for a version of before the start of this process.
    pub(super) fn on_version(
        &mut self,
        adapter: AdapterRef,
        version: u64,
        announced_at: Option<Instant>,
        now: Instant,
    ) {
        let grace = self.settings.version_grace;
        let versions = &mut self.adapter_versions;
        if !versions.insert(&adapter, version, announced_at, grace, now) {
            return;
        }
        for (id, state) in &self.backends {
            if state.held_version(&adapter, now).is_some() {
                self.urgent_demands.insert(id.clone());
            }
        }
    }
}
