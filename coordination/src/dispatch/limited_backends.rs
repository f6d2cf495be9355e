//! Back ends that advertise a rate limit.

use {
    super::{dispatcher::Dispatcher, PermitError, PermitQuery},
    crate::{
        backend_admission::{AdvertisedLimit, LimitSharing},
        backend_signals::{LimitSignal, RequestRate},
    },
    chalkcart_protocol::peer::{AdmissionReport, AdmissionResponse, EngineStats},
    chalkcart_state::backends::BackendId,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Minimum time between two updates of all limits, which cost as much as many decisions.
const LIMIT_REFRESH_INTERVAL: Duration = Duration::from_millis(25);

impl Dispatcher {
    /// Applies the limit signal in the response to a request that was sent at `sent_at`.
    pub(super) fn on_limit_signal(
        &mut self,
        backend: &BackendId,
        (signal, sent_at): (LimitSignal, Instant),
        now: Instant,
    ) {
        self.update_limit(backend, now, |limit, sharing| {
            limit.on_signal(signal, sent_at, sharing, now);
        });
    }

    /// Applies the limit, or its absence, that an engine's sidecar reports.
    pub(super) fn on_limit_reported(
        &mut self,
        backend: &BackendId,
        stats: &EngineStats,
        now: Instant,
    ) {
        let reported = stats.limit_milli_per_s.map(RequestRate::from_milli_per_s);
        if reported.is_none() && !self.limited_backends.contains(backend) {
            return;
        }
        self.update_limit(backend, now, |limit, sharing| {
            limit.on_sidecar_report(reported, sharing, now);
        });
    }

    /// Handles a response of the permit issuer beside an engine, or its absence.
    pub(super) fn on_permits(
        &mut self,
        backend: &BackendId,
        requested_at: Instant,
        response: Result<AdmissionResponse, PermitError>,
        now: Instant,
    ) {
        self.update_limit(backend, now, |limit, sharing| match &response {
            Ok(response) if response.backend == *backend => {
                limit.on_permit_response(response, requested_at, sharing, now);
            }
            // the response is about another incarnation, possibly the next one
            Ok(_) => limit.on_permit_request_failed(false, now),
            Err(cause) => limit.on_permit_request_failed(*cause == PermitError::Unsupported, now),
        });
    }

    fn update_limit(
        &mut self,
        backend: &BackendId,
        now: Instant,
        change: impl FnOnce(&mut AdvertisedLimit, LimitSharing),
    ) {
        let sharing = self.limit_sharing(backend, now);
        let (Some(sharing), Some(state)) = (sharing, self.backends.get_mut(backend)) else {
            return;
        };
        change(&mut state.limit, sharing);
        match state.limit.effective_rate() {
            Some(_) => self.limited_backends.insert(backend.clone()),
            // the permit issuer has yet to learn that the limit is gone
            None if state.limit.is_permit_request_due(now) => {
                self.limited_backends.insert(backend.clone())
            }
            None => self.limited_backends.remove(backend),
        };
    }

    /// Updates the limits and dispatches the requests that wait for them. Runs at every
    /// event, since no tick comes while other events are frequent.
    pub(super) fn refresh_limits(&mut self, now: Instant) {
        let is_recent = self
            .limits_refreshed_at
            .is_some_and(|at| now.saturating_duration_since(at) < LIMIT_REFRESH_INTERVAL);
        if self.limited_backends.is_empty() || is_recent {
            return;
        }
        self.limits_refreshed_at = Some(now);
        self.update_limit_sharing(now);
        let waiting = self.dispatch_waiting(|_| true, now);
        self.set_waiting_counts(&waiting, true);
    }

    /// Adapts the limits to the current number of entries.
    fn update_limit_sharing(&mut self, now: Instant) {
        self.limited_backends
            .retain(|id| self.backends.contains_key(id));
        for id in self.limited_backends.clone() {
            let sharing = self.limit_sharing(&id, now);
            if let (Some(sharing), Some(state)) = (sharing, self.backends.get_mut(&id)) {
                state.limit.update_sharing(sharing, now);
            }
        }
    }

    fn limit_sharing(&self, backend: &BackendId, now: Instant) -> Option<LimitSharing> {
        let state = self.backends.get(backend)?;
        let service = self.table.services.get(&state.listed.service);
        let is_engine = service.is_some_and(|service| service.engine.is_some());
        let entries = self.sharing_entries(now);
        Some(state.limit_sharing(&self.settings.entry, entries, is_engine))
    }

    /// Sets how many requests wait for each rate-limited back end.
    pub(super) fn set_waiting_counts(
        &mut self,
        waiting: &HashMap<BackendId, (u32, u8)>,
        is_complete: bool,
    ) {
        for id in &self.limited_backends {
            let Some(state) = self.backends.get_mut(id) else {
                continue;
            };
            match waiting.get(id) {
                Some((wanted, priority)) => state.limit.set_waiting(*wanted, *priority),
                None if is_complete => state.limit.set_waiting(0, 0),
                None => {}
            }
        }
    }

    /// Returns the queries that are due to permit issuers.
    pub fn permit_queries(&mut self, now: Instant) -> Vec<PermitQuery> {
        let mut queries = Vec::new();
        let mut released = Vec::new();
        for id in &self.limited_backends {
            let Some(state) = self.backends.get_mut(id) else {
                continue;
            };
            if !state.limit.is_permit_request_due(now) {
                continue;
            }
            let (wanted, priority) = state.limit.waiting();
            let (update, unused) = state.limit.on_permits_requested(now);
            if state.limit.effective_rate().is_none() {
                released.push(id.clone());
            }
            queries.push(PermitQuery {
                engine: state.listed.addr,
                report: AdmissionReport {
                    entry: self.settings.entry.clone(),
                    backend: id.clone(),
                    named: update.limit,
                    freed_ago_ms: update.lifted_ago_ms,
                    wanted,
                    priority,
                    unused,
                },
                requested_at: now,
            });
        }
        for id in released {
            self.limited_backends.remove(&id);
        }
        queries
    }
}
