//! Loads and unloads of adapters, and the permits for loads.

use {
    super::{
        load_table::{PendingLoad, PermitState},
        OrderFence, OrderResult, PermitMode, SidecarAction, SidecarControl,
    },
    crate::slots::{AdapterKey, SlotAvailability},
    chalkcart_protocol::peer::{PermitPurpose, PermitRequest, PermitResponse, Reason, Step},
    chalkcart_state::ids::{Incarnation, RequestId},
    std::time::{Duration, Instant},
};

/// Failed permit requests after which a load starts without a permit.
const MAX_FAILED_PERMIT_REQUESTS: u32 = 2;
/// Delay before a failed permit request is retried.
const PERMIT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time within which a load without a permit may start.
const NO_PERMIT_LEASE: Duration = Duration::from_millis(500);
/// Failed loads after which the requests for the adapter are rejected.
const MAX_FAILED_LOADS: u32 = 3;
/// Base of the exponential back-off after failed loads.
const FAILED_LOAD_BACKOFF: Duration = Duration::from_millis(100);

impl SidecarControl {
    /// Advances the loads of the most urgent missing adapters, as many as may run at a
    /// time; no permits are requested for the others yet.
    pub(super) fn advance_loads(&mut self, now: Instant) {
        let missing = self.missing_adapters(now);
        self.loads.missing_count = missing.len();
        let in_progress = self.slots.loading_count() + self.loads.unloading.len();
        let free = self
            .settings
            .max_concurrent_loads
            .saturating_sub(in_progress);
        let mut next = missing;
        // skip adapters that are loading, unloading or draining
        next.retain(|key| self.slots.phase(key).is_none());
        if next.is_empty() {
            self.slots.stop_draining();
        }
        next.truncate(free);
        self.drop_other_loads(&next);
        for key in &next {
            self.advance_load(key, now);
        }
    }

    /// Returns how long a request would wait for an adapter that is not loaded. Zero if its
    /// load is pending already, and while no other load is: otherwise one long measurement
    /// would reject all requests, and no load would correct it.
    pub(super) fn expected_stall(&self, key: &AdapterKey) -> Duration {
        let is_pending = self.slots.phase(key).is_some() || self.loads.pending.contains_key(key);
        let rounds = self
            .loads
            .missing_count
            .div_ceil(self.settings.max_concurrent_loads.max(1));
        match is_pending {
            true => Duration::ZERO,
            false => self.loads.expected_load_delay() * rounds as u32,
        }
    }

    pub(super) fn on_permit(
        &mut self,
        key: &AdapterKey,
        response: Option<PermitResponse>,
        now: Instant,
    ) {
        let Some(load) = self.loads.pending.get_mut(key) else {
            if matches!(response, Some(PermitResponse::Granted { .. })) {
                self.return_permit(key);
            }
            return;
        };
        load.permit = match response {
            Some(PermitResponse::Granted { lease }) => PermitState::GrantedUntil(now + lease),
            Some(PermitResponse::Wait { retry_after }) => PermitState::RequestAt(now + retry_after),
            None => {
                load.failed_permit_requests += 1;
                PermitState::RequestAt(now + PERMIT_RETRY_DELAY)
            }
        };
    }

    pub(super) fn on_load_ended(
        &mut self,
        key: &AdapterKey,
        incarnation: Incarnation,
        result: OrderResult,
        duration: Duration,
        now: Instant,
    ) {
        self.return_permit(key);
        match result {
            OrderResult::Done => {
                let load = self.loads.pending.remove(key);
                // requests wait for the permit as well as for the load
                let delay = load.map(|l| now.saturating_duration_since(l.since));
                self.loads.record_load_delay(delay.unwrap_or(duration));
            }
            OrderResult::Failed => self.on_load_failed(key, now),
            OrderResult::Fenced | OrderResult::Unknown => self.invalidate_engine_state(),
        }
        let is_current = self.order_fence().map(|o| o.incarnation) == Some(incarnation);
        if is_current {
            self.slots.end_load(key, result == OrderResult::Done, now);
        }
    }

    pub(super) fn on_unload_ended(
        &mut self,
        key: &AdapterKey,
        incarnation: Incarnation,
        result: OrderResult,
    ) {
        self.loads.unloading.remove(key);
        match result {
            OrderResult::Done => {
                let is_current = self.order_fence().map(|o| o.incarnation) == Some(incarnation);
                if is_current {
                    self.slots.end_unload(key);
                }
            }
            OrderResult::Failed | OrderResult::Fenced | OrderResult::Unknown => {
                self.invalidate_engine_state()
            }
        }
    }

    /// Returns the adapters that queued requests need and that are not loaded, the most
    /// urgent first.
    fn missing_adapters(&mut self, now: Instant) -> Vec<AdapterKey> {
        let mut missing = Vec::new();
        for request in self.queue.order(now) {
            let Some(queued) = self.queue.get(&request) else {
                continue;
            };
            let Some(key) = queued.adapter.clone() else {
                continue;
            };
            if !self.is_stalled(queued) {
                continue;
            }
            self.loads.stalled.insert(request);
            if !missing.contains(&key) {
                missing.push(key);
            }
        }
        let queue = &self.queue;
        self.loads.stalled.retain(|request| queue.contains(request));
        missing
    }

    /// Drops pending loads that are no longer needed or no longer among the next ones. A
    /// load that failed is kept with its count of failures while requests wait for it.
    fn drop_other_loads(&mut self, next: &[AdapterKey]) {
        let is_kept = |key: &AdapterKey, load: &PendingLoad| {
            let is_needed = || self.queue.iter().any(|w| w.adapter.as_ref() == Some(key));
            let is_in_progress = next.contains(key) || self.slots.phase(key).is_some();
            is_in_progress || (load.failed_loads > 0 && is_needed())
        };
        let pending = self.loads.pending.iter();
        let dropped: Vec<AdapterKey> = pending
            .filter(|(key, load)| !is_kept(key, load))
            .map(|(key, _)| key.clone())
            .collect();
        for key in dropped {
            self.loads.pending.remove(&key);
            // an unused permit or a place in the issuer's queue would delay other sidecars
            self.return_permit(&key);
        }
    }

    fn advance_load(&mut self, key: &AdapterKey, now: Instant) {
        let load = self
            .loads
            .pending
            .entry(key.clone())
            .or_insert_with(|| PendingLoad::new(now));
        let availability = self.slots.availability(now);
        if availability == SlotAvailability::Full {
            self.drain_slot_if_overtaken(key, now);
            return;
        }
        match load.permit {
            PermitState::RequestAt(at) if now >= at => self.request_permit(key, now),
            PermitState::GrantedUntil(until) if now >= until => {
                load.permit = PermitState::RequestAt(now);
            }
            PermitState::GrantedUntil(_) => self.use_permit(key, availability),
            PermitState::RequestAt(_) | PermitState::Requested => {}
        }
    }

    /// Drains one slot if a request for the adapter was overtaken by more tokens than the
    /// policy allows.
    fn drain_slot_if_overtaken(&mut self, key: &AdapterKey, now: Instant) {
        let limit = self.policy.batch_ahead_tokens;
        let needs_adapter = |w: &&crate::queue::QueuedRequest| w.adapter.as_ref() == Some(key);
        let queued = self.queue.iter().filter(needs_adapter);
        let overtaken = queued.map(|w| w.overtaken).max();
        if overtaken.is_some_and(|tokens| tokens > limit) {
            self.slots.drain_least_used(now);
        }
    }

    fn request_permit(&mut self, key: &AdapterKey, now: Instant) {
        let Some(load) = self.loads.pending.get_mut(key) else {
            return;
        };
        if let PermitMode::StaticShare(rate) = self.settings.permits {
            let permit = self.loads.static_permit(rate, now);
            if let Some(load) = self.loads.pending.get_mut(key) {
                load.permit = permit;
            }
            return;
        }
        let issuer = match self.loads.issuer {
            Some(issuer) if load.failed_permit_requests < MAX_FAILED_PERMIT_REQUESTS => issuer,
            // without permits, the store still enforces its own limit
            _ => {
                load.permit = PermitState::GrantedUntil(now + NO_PERMIT_LEASE);
                return;
            }
        };
        load.permit = PermitState::Requested;
        let request = self.permit_request(key, PermitPurpose::Ask, now);
        self.actions.push(SidecarAction::RequestPermit {
            issuer,
            request,
            adapter: key.clone(),
        });
    }

    fn permit_request(
        &self,
        key: &AdapterKey,
        purpose: PermitPurpose,
        now: Instant,
    ) -> PermitRequest {
        let queued = self
            .queue
            .iter()
            .filter(|w| w.adapter.as_ref() == Some(key));
        let most_urgent = queued.min_by_key(|w| (w.priority_at(now), w.arrived));
        PermitRequest {
            purpose,
            target: self.settings.name.clone(),
            adapter: key.adapter.clone(),
            priority: most_urgent.map_or(u8::MAX, |w| w.priority_at(now)),
            waited: most_urgent
                .map_or(Duration::ZERO, |w| now.saturating_duration_since(w.arrived)),
        }
    }

    fn return_permit(&mut self, key: &AdapterKey) {
        let Some(issuer) = self.loads.issuer else {
            return;
        };
        self.actions.push(SidecarAction::ReturnPermit {
            issuer,
            request: PermitRequest {
                purpose: PermitPurpose::Return,
                target: self.settings.name.clone(),
                adapter: key.adapter.clone(),
                priority: 0,
                waited: Duration::ZERO,
            },
        });
    }

    fn use_permit(&mut self, key: &AdapterKey, availability: SlotAvailability) {
        let Some(order) = self.order_fence() else {
            return;
        };
        match availability {
            SlotAvailability::Free => self.order_load(key, order),
            SlotAvailability::Evict(victim) => self.order_unload(&victim, order),
            SlotAvailability::Full => {}
        }
    }

    fn order_load(&mut self, key: &AdapterKey, order: OrderFence) {
        self.slots.begin_load(key.clone());
        self.actions.push(SidecarAction::Load {
            adapter: key.clone(),
            order,
        });
    }

    fn order_unload(&mut self, key: &AdapterKey, order: OrderFence) {
        if !self.slots.begin_unload(key) {
            return;
        }
        self.loads.unloading.insert(key.clone());
        self.actions.push(SidecarAction::Unload {
            adapter: key.clone(),
            order,
        });
    }

    fn on_load_failed(&mut self, key: &AdapterKey, now: Instant) {
        let Some(load) = self.loads.pending.get_mut(key) else {
            return;
        };
        load.failed_loads += 1;
        if load.failed_loads < MAX_FAILED_LOADS {
            let backoff = FAILED_LOAD_BACKOFF * (1 << load.failed_loads);
            load.permit = PermitState::RequestAt(now + backoff);
            return;
        }
        self.loads.pending.remove(key);
        let queued: Vec<RequestId> = self
            .queue
            .iter()
            .filter(|w| w.adapter.as_ref() == Some(key))
            .map(|w| w.request.clone())
            .collect();
        for request in queued {
            self.queue.remove(&request);
            let refusal = self.refusal(Step::Load, Reason::LoadFailed);
            self.reject_queued(&request, refusal);
        }
    }
}
