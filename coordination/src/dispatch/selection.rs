//! which back end a request goes to

use {
    super::{
        dispatcher::Dispatcher,
        urgency::{urgency, LOWEST_URGENCY},
        Assignment, BackendState, DecisionInputs, DispatchRequest, LoadCause, RejectionCause,
        RequestedLoad,
    },
    crate::placement::adapter_mark,
    chalkcart_state::{
        backends::{AdapterRef, BackendId},
        ids::ServiceName,
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// cost of a back end in another zone, in ms
const REMOTE_ZONE_COST_MS: f64 = 2.0;
/// cost of a back end that fails each request, in ms
const FAILURE_COST_MS: f64 = 800.0;
/// cost of a back end with all places taken, in ms: in proportion to its load,
/// and what grows faster, since each token comes later in a crowded batch
const LOAD_COST_MS: f64 = 30.0;
const CROWDING_COST_MS: f64 = 150.0;
/// cost of one more request that runs there, in ms
const ACTIVE_REQUEST_COST_MS: f64 = 0.4;
/// cost of a back end that names a limit, in ms: what it takes is kept for requests that
/// only it can serve
const RATE_LIMIT_COST_MS: f64 = 150.0;

/// size of a prompt before one was seen, in tokens
const DEFAULT_PROMPT_TOKENS: f64 = 1_000.0;

/// a request that has waited for this long goes to an engine that has its adapter
const MAX_RELOAD_WAIT: Duration = Duration::from_millis(120);
/// what an adapter must save to be brought back to another engine, in ms
const MIN_RELOAD_SAVING_MS: f64 = 60.0;

/// what can be done for a request now
pub(super) enum Choice {
    Send(Assignment),
    Wait(RejectionCause),
}

impl Dispatcher {
    /// what is known when a request is refused, for logs
    pub(super) fn decision_inputs(
        &self,
        request: &DispatchRequest,
        now: Instant,
    ) -> DecisionInputs {
        let candidates = self.candidates(request, now);
        let holders = match &request.adapter {
            Some(adapter) => self.holders(&candidates, adapter, now).len(),
            None => 0,
        };
        self.decision_inputs_for(request, candidates.len(), holders, None, now)
    }

    fn decision_inputs_for(
        &self,
        request: &DispatchRequest,
        candidates: usize,
        holders: usize,
        chosen: Option<&BackendState>,
        now: Instant,
    ) -> DecisionInputs {
        let (leaving, resting, limited) = self.excluded_counts(request, now);
        DecisionInputs {
            candidates: candidates as u32,
            holders: holders as u32,
            leaving,
            resting,
            limited,
            queue_ms: chosen.map_or(0.0, |b| self.queue_ms(b, now)),
            occupied: chosen.map_or(0, |b| b.occupied(now)),
            view_age: chosen.and_then(|b| b.view_age(now)),
            waiting: self.waiting.len() as u32,
            list_version: self.list_version,
            budget: self.budget_usage(&request.service),
        }
    }

    /// back ends of the service that leave, that rest, and that name a limit
    fn excluded_counts(&self, request: &DispatchRequest, now: Instant) -> (u32, u32, u32) {
        let (mut leaving, mut resting, mut limited) = (0, 0, 0);
        let listed = self.backends.values().filter(|b| !b.is_unlisted);
        for state in listed.filter(|b| b.listed.service == request.service) {
            leaving += u32::from(state.is_leaving());
            resting += u32::from(state.health.is_resting(now) || state.backoff.is_on(now));
            limited += u32::from(state.limit.named().is_some());
        }
        (leaving, resting, limited)
    }

    /// what is done for a request now; an adapter that it lacks is wished for
    pub(super) fn choose(&mut self, request: &DispatchRequest, now: Instant) -> Choice {
        let (choice, homes) = self.plan(request, now);
        if let (Some(adapter), false) = (&request.adapter, homes.is_empty()) {
            self.record_requested_load(adapter, &homes, &choice, now);
            match choice {
                Choice::Wait(RejectionCause::Reloading) => {
                    self.request_additional_load(adapter, homes, now)
                }
                _ => self.request_load_for_region(request, adapter, homes, now),
            }
        }
        choice
    }

    fn record_requested_load(
        &mut self,
        adapter: &AdapterRef,
        backends: &[BackendId],
        choice: &Choice,
        now: Instant,
    ) {
        let cause = match choice {
            Choice::Wait(RejectionCause::Reloading) => LoadCause::Reload,
            Choice::Wait(RejectionCause::NotLoaded) => LoadCause::Home,
            _ => LoadCause::Copy,
        };
        if cause == LoadCause::Reload && self.is_load_pending(adapter, backends, now) {
            return;
        }
        self.requested_loads.push(RequestedLoad {
            adapter: adapter.clone(),
            backends: backends.to_vec(),
            cause,
            waiting: self.waiting.len(),
        });
    }

    /// what to do for a request, and the engines that are to load its adapter
    fn plan(&self, request: &DispatchRequest, now: Instant) -> (Choice, Vec<BackendId>) {
        let candidates = self.candidates(request, now);
        // a base model that none of the others has does not come within any rest
        let lacks_model = |model: &String| with_model(&candidates, model).is_empty();
        let may_serve = !candidates.is_empty() && !request.model.as_ref().is_some_and(lacks_model);
        if !may_serve && self.shortest_backoff(request, now).is_some() {
            return (Choice::Wait(RejectionCause::BackedOff), Vec::new());
        }
        if candidates.is_empty() {
            let cause = match request.allowed_regions.allows_each() {
                true => RejectionCause::NoBackend,
                false => RejectionCause::OutsideRegions,
            };
            return (Choice::Wait(cause), Vec::new());
        }
        let Some(adapter) = &request.adapter else {
            return (
                self.choose_with_model(request, &candidates, now),
                Vec::new(),
            );
        };
        let holders = self.holders(&candidates, adapter, now);
        if holders.is_empty() {
            let expected = self.expected_holders(&candidates, adapter, now);
            if !expected.is_empty() {
                let choice = self.choose_cheapest(request, &expected, candidates.len(), now);
                return (choice, Vec::new());
            }
            if self.is_unloadable(request, &candidates, now) {
                return (Choice::Wait(RejectionCause::NoLoadingSidecar), Vec::new());
            }
            let homes = self.homes_for(adapter, &candidates, request, now);
            return (Choice::Wait(RejectionCause::NotLoaded), homes);
        }
        let choice = self.choose_cheapest(request, &holders, candidates.len(), now);
        if matches!(choice, Choice::Wait(RejectionCause::RateLimited)) {
            if let Some(homes) =
                self.homes_while_holders_limited(request, adapter, &holders, &candidates, now)
            {
                return (Choice::Wait(RejectionCause::NotLoaded), homes);
            }
        }
        if let Some(home) = self.better_reload_target(request, adapter, &holders, &candidates, now)
        {
            return (Choice::Wait(RejectionCause::Reloading), vec![home]);
        }
        let copies = self.copy_targets(adapter, &holders, &candidates, &choice, now);
        (choice, copies)
    }

    /// An engine that held the adapter lately, has a place for it, and would read
    /// the prompt sooner than each of those that hold it now. Bringing it back
    /// takes a few steps of the engine and costs nothing.
    fn better_reload_target(
        &self,
        request: &DispatchRequest,
        adapter: &AdapterRef,
        holders: &[&BackendState],
        candidates: &[&BackendState],
        now: Instant,
    ) -> Option<BackendId> {
        let waited = now.saturating_duration_since(request.arrived_at);
        if !self.settings.features.return_home || waited > MAX_RELOAD_WAIT {
            return None;
        }
        let hash = adapter_mark(adapter);
        let with_place = holders.iter().filter(|b| b.can_accept(now));
        let held = with_place.map(|b| self.cost(b, now));
        let least = held.min_by(f64::total_cmp).unwrap_or(f64::INFINITY);
        let is_holder = |b: &BackendState| holders.iter().any(|h| h.listed.id == b.listed.id);
        let others = candidates.iter().filter(|b| {
            let may_load = b.spare_slots() > 0 || b.is_loading(adapter);
            b.has_recently_held(hash) && may_load && b.can_accept(now) && !is_holder(b)
        });
        let costs = others.map(|b| (self.cost(b, now) + reload_ms(b), b));
        let (cost, best) = costs.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        (cost + MIN_RELOAD_SAVING_MS < least).then(|| best.listed.id.clone())
    }

    /// a back end for a request without an adapter
    fn choose_with_model(
        &self,
        request: &DispatchRequest,
        candidates: &[&BackendState],
        now: Instant,
    ) -> Choice {
        let Some(model) = &request.model else {
            return self.choose_cheapest(request, candidates, candidates.len(), now);
        };
        let with_model = with_model(candidates, model);
        match with_model.is_empty() {
            true => Choice::Wait(RejectionCause::NotLoaded),
            false => self.choose_cheapest(request, &with_model, candidates.len(), now),
        }
    }

    /// time until the first back end can be asked that only its rest keeps from a request
    pub(super) fn shortest_backoff(
        &self,
        request: &DispatchRequest,
        now: Instant,
    ) -> Option<Duration> {
        let states = self.backends.values();
        let may_serve = states.filter(|b| {
            b.listed.service == request.service && b.may_receive_requests() && !b.is_unlisted
        });
        let may_serve = may_serve.filter(|b| self.may_serve(request, b));
        let with_model =
            may_serve.filter(|b| request.model.as_ref().is_none_or(|m| b.has_model(m)));
        with_model.filter_map(|b| b.backoff.left(now)).min()
    }

    /// Of the back ends whose limit alone keeps them from a request, the one that takes it
    /// first, and the time until then. So many others go `ahead` at each.
    pub(super) fn first_to_open(
        &self,
        request: &DispatchRequest,
        ahead: &HashMap<BackendId, (u32, u8)>,
        now: Instant,
    ) -> Option<(BackendId, Duration)> {
        let mut states = self.candidates(request, now);
        match (&request.adapter, &request.model) {
            (Some(adapter), _) => states = self.holders(&states, adapter, now),
            (None, Some(model)) => states = with_model(&states, model),
            (None, None) => {}
        }
        let limited = states.iter().filter(|b| b.can_accept_beyond_limit(now));
        let openings = limited.map(|b| {
            let ahead = ahead.get(&b.listed.id).map_or(0, |(waiting, _)| *waiting);
            (b.listed.id.clone(), b.limit.opens_after(ahead, now))
        });
        openings.min_by_key(|(_, opens_in)| *opens_in)
    }

    /// whether the request may be served in the region of a back end
    pub(super) fn may_serve(&self, request: &DispatchRequest, state: &BackendState) -> bool {
        let region = self.settings.regions.get(&state.listed.zone);
        request.allowed_regions.allows(region)
    }

    /// back ends that may take the request, sound ones if there are any
    fn candidates(&self, request: &DispatchRequest, now: Instant) -> Vec<&BackendState> {
        let of_service: Vec<&BackendState> = self
            .backends
            .values()
            .filter(|b| {
                b.listed.service == request.service
                    && !request.tried_backends.contains(&b.listed.id)
            })
            .filter(|b| !self.evacuated_zones.contains(&b.listed.zone))
            .filter(|b| self.may_serve(request, b))
            .collect();
        let keep = |is_kept: &dyn Fn(&BackendState) -> bool| -> Vec<&BackendState> {
            let kept = of_service.iter().copied().filter(|b| is_kept(b));
            kept.collect()
        };
        let sound = keep(&|b| b.is_available(now));
        if !sound.is_empty() {
            return sound;
        }
        let resting =
            keep(&|b| b.may_receive_requests() && !b.is_unlisted && !b.backoff.is_on(now));
        if !resting.is_empty() || self.has_listed(&request.service) {
            return resting;
        }
        keep(&|b| b.may_receive_requests() && !b.backoff.is_on(now))
    }

    /// those that hold an adapter in a version that may be run
    fn holders<'b>(
        &self,
        candidates: &[&'b BackendState],
        adapter: &AdapterRef,
        now: Instant,
    ) -> Vec<&'b BackendState> {
        let is_holder = |b: &&BackendState| {
            let version = b.held_version(adapter, now);
            version.is_some_and(|v| self.is_current(adapter, v, now))
        };
        candidates.iter().copied().filter(is_holder).collect()
    }

    fn choose_cheapest(
        &self,
        request: &DispatchRequest,
        states: &[&BackendState],
        candidates: usize,
        now: Instant,
    ) -> Choice {
        let with_place = states.iter().filter(|b| b.can_accept_request(request, now));
        let costs = with_place.map(|b| (self.cost(b, now), *b));
        let Some((_, cheapest)) = costs.min_by(|(a, _), (b, _)| a.total_cmp(b)) else {
            let is_limited = states.iter().any(|b| b.can_accept_beyond_limit(now));
            return Choice::Wait(match is_limited {
                true => RejectionCause::RateLimited,
                false => RejectionCause::Full,
            });
        };
        let adapter = request.adapter.as_ref();
        let holders = adapter.map_or(0, |_| states.len());
        Choice::Send(Assignment {
            backend: cheapest.listed.id.clone(),
            addr: cheapest.listed.addr,
            version: adapter.and_then(|a| self.required_version(cheapest, a, now)),
            urgency: self.urgency(request, now),
            utilization: self.utilization(cheapest, now),
            is_limited: cheapest.limit.named().is_some(),
            inputs: self.decision_inputs_for(request, candidates, holders, Some(cheapest), now),
        })
    }

    /// the version that a request must run on; of an engine that is not heard, the newest
    /// that was named, which any load brings
    fn required_version(
        &self,
        state: &BackendState,
        adapter: &AdapterRef,
        now: Instant,
    ) -> Option<u64> {
        let newest = Some(self.adapter_versions.newest(adapter)).filter(|newest| *newest > 0);
        state.held_version(adapter, now).or(newest)
    }

    /// whether an adapter's version may still be run
    pub(super) fn is_current(&self, adapter: &AdapterRef, version: u64, now: Instant) -> bool {
        let grace = self.settings.version_grace;
        self.adapter_versions
            .may_begin(adapter, version, grace, now)
    }

    /// time until the prompts that wait there are read, in ms
    pub(super) fn queue_ms(&self, state: &BackendState, now: Instant) -> f64 {
        let service = &state.listed.service;
        let typical = match self.settings.features.prompts_of_all {
            true => self.typical_prompt(service),
            false => 0.0,
        };
        state.queued_tokens(typical, now) / self.tokens_per_ms(service)
    }

    fn urgency(&self, request: &DispatchRequest, now: Instant) -> u8 {
        match self.settings.features.urgency_by_size {
            true => urgency(request, self.tokens_per_ms(&request.service), now),
            false => request.priority.min(LOWEST_URGENCY),
        }
    }

    /// prompt tokens that an engine of a service reads in a ms
    pub(super) fn tokens_per_ms(&self, service: &ServiceName) -> f64 {
        let observed = self
            .prefill_rates
            .get(service)
            .and_then(|r| r.tokens_per_ms());
        let observed = observed.filter(|_| self.settings.features.observed_rate);
        observed.unwrap_or(self.settings.default_tokens_per_ms)
    }

    fn typical_prompt(&self, service: &ServiceName) -> f64 {
        let observed = self
            .prefill_rates
            .get(service)
            .and_then(|r| r.typical_prompt());
        observed.unwrap_or(DEFAULT_PROMPT_TOKENS)
    }

    /// how busy an engine is, by its queue and its places; at 1 an adapter that
    /// only it holds is worth another copy
    pub(super) fn utilization(&self, state: &BackendState, now: Instant) -> f64 {
        let queue = self.queue_ms(state, now) / self.settings.copy_queue_threshold_ms;
        queue.max(state.load(now) / self.settings.copy_load_threshold)
    }

    fn cost(&self, state: &BackendState, now: Instant) -> f64 {
        let is_remote_zone = state.listed.zone != self.settings.zone;
        let remote_zone = if is_remote_zone {
            REMOTE_ZONE_COST_MS
        } else {
            0.0
        };
        let limited = match state.limit.named() {
            Some(_) => RATE_LIMIT_COST_MS,
            None => 0.0,
        };
        // requests of a plain service have no tokens, and share its slots
        let load = state.load(now);
        self.queue_ms(state, now)
            + f64::from(state.occupied(now)) * ACTIVE_REQUEST_COST_MS
            + load * LOAD_COST_MS
            + load * load * CROWDING_COST_MS
            + remote_zone
            + limited
            + state.health.failure_rate(now) * FAILURE_COST_MS
    }
}

/// time to bring back an adapter that an engine held lately, in ms
fn reload_ms(state: &BackendState) -> f64 {
    let view = state.view.as_ref();
    view.map_or(0.0, |v| f64::from(v.figures.next_return_ms))
}

/// those of the back ends that hold a base model
pub(super) fn with_model<'b>(
    candidates: &[&'b BackendState],
    model: &str,
) -> Vec<&'b BackendState> {
    let holds = candidates.iter().filter(|b| b.has_model(model));
    holds.copied().collect()
}
