//! which back end a request goes to

use {
    super::{dispatcher::Dispatcher, Ask, Assignment, BackendState, Basis, RefusalCause},
    chalkcart_state::backends::{AdapterRef, BackendId},
    std::time::{Duration, Instant},
};

/// cost of a back end in another zone, in ms
const FAR_MS: f64 = 2.0;
/// cost of a back end that fails each request, in ms
const FAILING_MS: f64 = 800.0;
/// cost of one more request that runs there, in ms
const RUNNING_MS: f64 = 0.4;

/// what can be done for a request now
pub(super) enum Choice {
    Send(Assignment),
    Wait(RefusalCause),
}

impl Dispatcher {
    /// what is known at a decision, for logs
    pub(super) fn basis(&self, ask: &Ask, chosen: Option<&BackendId>, now: Instant) -> Basis {
        let candidates = self.candidates(ask, now);
        let adapter = ask.adapter.as_ref();
        let holders = candidates.iter().filter(|id| {
            let state = self.backends.get(*id);
            adapter.is_some_and(|a| state.is_some_and(|b| b.held_version(a, now).is_some()))
        });
        let chosen = chosen.and_then(|id| self.backends.get(id));
        Basis {
            candidates: candidates.len() as u32,
            holders: holders.count() as u32,
            queue_ms: chosen.map_or(0.0, |b| self.queue_ms(b, now)),
            occupied: chosen.map_or(0, |b| b.occupied(now)),
            view_age: chosen.and_then(|b| b.view_age(now)),
            waiting: self.waiting.len() as u32,
            list_version: self.list_version,
        }
    }

    pub(super) fn choose(&mut self, ask: &Ask, now: Instant) -> Choice {
        let candidates = self.candidates(ask, now);
        if candidates.is_empty() {
            return Choice::Wait(RefusalCause::NoBackend);
        }
        match &ask.adapter {
            Some(adapter) => self.choose_holder(ask, adapter, candidates, now),
            None => self.choose_with_model(ask, candidates, now),
        }
    }

    /// a back end for a request without an adapter
    pub(super) fn choose_with_model(
        &self,
        ask: &Ask,
        candidates: Vec<BackendId>,
        now: Instant,
    ) -> Choice {
        let Some(model) = &ask.model else {
            return self.choose_cheapest(candidates, None, now);
        };
        let with_model = self.with_model(&candidates, model);
        match with_model.is_empty() {
            true => Choice::Wait(RefusalCause::NotLoaded),
            false => self.choose_cheapest(with_model, None, now),
        }
    }

    /// those of the back ends that hold a base model
    pub(super) fn with_model(&self, candidates: &[BackendId], model: &str) -> Vec<BackendId> {
        let holds = |id: &&BackendId| self.backends.get(*id).is_some_and(|b| b.has_model(model));
        candidates.iter().filter(holds).cloned().collect()
    }

    /// back ends that may take the request, sound ones if there are any
    pub(super) fn candidates(&self, ask: &Ask, now: Instant) -> Vec<BackendId> {
        let of_service: Vec<&BackendState> = self
            .backends
            .values()
            .filter(|b| b.listed.service == ask.service && !ask.tried.contains(&b.listed.id))
            .collect();
        let sound = of_service.iter().filter(|b| b.takes_work(now));
        let sound: Vec<BackendId> = sound.map(|b| b.listed.id.clone()).collect();
        if !sound.is_empty() {
            return sound;
        }
        let resting = of_service
            .iter()
            .filter(|b| !b.listed.leaving && !b.is_gone && !b.is_superseded);
        let resting: Vec<BackendId> = resting.map(|b| b.listed.id.clone()).collect();
        if !resting.is_empty() || self.has_listed(&ask.service) {
            return resting;
        }
        let gone = of_service
            .iter()
            .filter(|b| !b.listed.leaving && !b.is_superseded);
        gone.map(|b| b.listed.id.clone()).collect()
    }

    pub(super) fn choose_cheapest(
        &self,
        candidates: Vec<BackendId>,
        adapter: Option<&AdapterRef>,
        now: Instant,
    ) -> Choice {
        let states = candidates.iter().filter_map(|id| self.backends.get(id));
        let with_place = states.filter(|b| b.has_place(now));
        let cheapest = with_place.min_by(|a, b| self.cost(a, now).total_cmp(&self.cost(b, now)));
        match cheapest {
            Some(state) => Choice::Send(Assignment {
                backend: state.listed.id.clone(),
                addr: state.listed.addr,
                version: adapter.and_then(|a| state.held_version(a, now)),
                basis: Basis::default(),
            }),
            None => Choice::Wait(RefusalCause::Full),
        }
    }

    pub(super) fn choose_holder(
        &mut self,
        ask: &Ask,
        adapter: &AdapterRef,
        candidates: Vec<BackendId>,
        now: Instant,
    ) -> Choice {
        let is_holder = |id: &&BackendId| {
            let state = self.backends.get(*id);
            let version = state.and_then(|b| b.held_version(adapter, now));
            version.is_some_and(|v| self.is_current(adapter, v, now))
        };
        let holders: Vec<BackendId> = candidates.iter().filter(is_holder).cloned().collect();
        if holders.is_empty() {
            self.wish(adapter, &candidates, ask, now);
            return Choice::Wait(RefusalCause::NotLoaded);
        }
        let choice = self.choose_cheapest(holders.clone(), Some(adapter), now);
        self.consider_spread(adapter, &holders, &candidates, &choice, now);
        choice
    }

    /// whether an adapter's version may still be run
    pub(super) fn is_current(&self, adapter: &AdapterRef, version: u64, now: Instant) -> bool {
        let newest = self.versions.get(adapter).copied().unwrap_or(0);
        let since = self.versioned_at.get(adapter);
        let age = since.map_or(Duration::ZERO, |at| now.saturating_duration_since(*at));
        version >= newest || age < self.settings.version_grace
    }

    /// expected time to the first token there, in ms
    pub(super) fn queue_ms(&self, state: &BackendState, now: Instant) -> f64 {
        state.queued_tokens(now) / self.settings.tokens_per_ms
    }

    pub(super) fn cost(&self, state: &BackendState, now: Instant) -> f64 {
        let is_far = state.listed.zone != self.settings.zone;
        let far = if is_far { FAR_MS } else { 0.0 };
        // requests of a plain service have no tokens, and share its slots
        let load = f64::from(state.occupied(now)) / f64::from(state.listed.slots.max(1));
        self.queue_ms(state, now)
            + f64::from(state.occupied(now)) * RUNNING_MS
            + load * 30.0
            + far
            + state.health.failure_rate(now) * FAILING_MS
    }
}
