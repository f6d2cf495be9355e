//! Selects the back end that a request is sent to.

use {
    super::{
        choice::{Choice, PacedChoice},
        dispatcher::Dispatcher,
        holders::holders_of_model,
        urgency::{urgency, urgency_by_route, LOWEST_URGENCY},
        Assignment, BackendState, DecisionInputs, DispatchRequest, LoadCause, RejectionCause,
        RequestedLoad,
    },
    crate::placement::adapter_hash,
    chalkcart_state::backends::{AdapterRef, BackendId},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// A request that has waited for this long goes to an engine that holds its adapter
/// already.
const MAX_RELOAD_WAIT: Duration = Duration::from_millis(120);
/// Minimum saving for which an adapter is reloaded on another engine, in ms.
const MIN_RELOAD_SAVING_MS: f64 = 60.0;

impl Dispatcher {
    /// Returns the inputs of a rejection, for logs.
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
        let (leaving, backed_off, limited) = self.excluded_counts(request, now);
        DecisionInputs {
            candidates: candidates as u32,
            holders: holders as u32,
            leaving,
            backed_off,
            limited,
            route_rank: self.route_rank(request).map(|route| route.rank),
            typical_prompt_tokens: self.typical_prompt_of_route(request),
            queue_ms: chosen.map_or(0.0, |b| self.queue_ms(b, now)),
            relative_rate: chosen.map_or(1.0, |b| b.relative_rate.value()),
            occupied: chosen.map_or(0, |b| b.occupied(now)),
            view_age: chosen.and_then(|b| b.view_age(now)),
            waiting: self.waiting.len() as u32,
            list: self.list_position,
            budget: self.budget_usage(&request.service, now),
            pacing: None,
        }
    }

    /// Counts the back ends of the service that are leaving, that are backed off, and that
    /// advertise a rate limit.
    fn excluded_counts(&self, request: &DispatchRequest, now: Instant) -> (u32, u32, u32) {
        let (mut leaving, mut backed_off, mut limited) = (0, 0, 0);
        let listed = self.backends.values().filter(|b| !b.is_unlisted);
        for state in listed.filter(|b| b.listed.service == request.service) {
            leaving += u32::from(state.is_leaving());
            backed_off += u32::from(state.health.is_ejected(now) || state.backoff.is_active(now));
            limited += u32::from(state.limit.effective_rate().is_some());
        }
        (leaving, backed_off, limited)
    }

    /// Decides what to do with a request now, and requests loads of its adapter where
    /// needed.
    pub(super) fn choose(&mut self, request: &DispatchRequest, now: Instant) -> Choice {
        let (choice, homes) = self.plan(request, now);
        if let (Some(adapter), false) = (&request.adapter, homes.is_empty()) {
            self.record_requested_load(adapter, &homes, &choice, now);
            match choice {
                Choice::Wait(RejectionCause::Reloading) => {
                    self.request_additional_load(adapter, homes, now)
                }
                _ => self.request_load_where_allowed(request, adapter, homes, now),
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
            inputs: self.load_inputs(adapter, backends, now),
        });
    }

    /// Returns what to do with a request, and the engines that should load its adapter.
    fn plan(&self, request: &DispatchRequest, now: Instant) -> (Choice, Vec<BackendId>) {
        let candidates = self.candidates(request, now);
        // a base model takes longer to load than a back-off lasts, so its holders are waited for
        let lacks_model = |model: &String| holders_of_model(&candidates, model).is_empty();
        let may_serve = !candidates.is_empty() && !request.model.as_ref().is_some_and(lacks_model);
        if !may_serve && self.shortest_backoff(request, now).is_some() {
            return (Choice::Wait(RejectionCause::BackedOff), Vec::new());
        }
        if candidates.is_empty() {
            let cause = self.cause_without_candidates(request);
            return (Choice::Wait(cause), Vec::new());
        }
        if self.missed_deadline(request, now).is_some() {
            return (Choice::Wait(RejectionCause::MissesDeadline), Vec::new());
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
        if request.is_beyond_share {
            return (choice, Vec::new());
        }
        if let Some(target) =
            self.load_target_for_pauses(request, adapter, &holders, &candidates, &choice, now)
        {
            return (Choice::Wait(RejectionCause::Reloading), vec![target]);
        }
        let copies = self.copy_targets(adapter, &holders, &candidates, &choice, now);
        (choice, copies)
    }

    /// Returns why no back end may take a request.
    fn cause_without_candidates(&self, request: &DispatchRequest) -> RejectionCause {
        if !request.allowed_regions.is_unrestricted() {
            return RejectionCause::OutsideRegions;
        }
        match request.software_version {
            Some(_) => RejectionCause::OtherSoftware,
            None => RejectionCause::NoBackend,
        }
    }

    /// Returns an engine that held the adapter recently, has a slot for it and would
    /// prefill the prompt sooner than every current holder. A reload from the host cache is
    /// cheap.
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
        let hash = adapter_hash(adapter);
        let accepting = holders.iter().filter(|b| b.can_accept(now));
        let holder_costs = accepting.map(|b| self.cost_for(request, b, now));
        let lowest_cost = holder_costs.min_by(f64::total_cmp).unwrap_or(f64::INFINITY);
        let is_holder = |b: &BackendState| holders.iter().any(|h| h.listed.id == b.listed.id);
        let others = candidates.iter().filter(|b| {
            let may_load = b.spare_slots() > 0 || b.is_loading(adapter);
            b.has_recently_held(hash) && may_load && b.can_accept(now) && !is_holder(b)
        });
        let costs = others.map(|b| (self.cost_for(request, b, now) + reload_ms(b), b));
        let (cost, best) = costs.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        (cost + MIN_RELOAD_SAVING_MS < lowest_cost).then(|| best.listed.id.clone())
    }

    /// Chooses a back end for a request without an adapter.
    fn choose_with_model(
        &self,
        request: &DispatchRequest,
        candidates: &[&BackendState],
        now: Instant,
    ) -> Choice {
        let Some(model) = &request.model else {
            return self.choose_cheapest(request, candidates, candidates.len(), now);
        };
        let holders = holders_of_model(candidates, model);
        match holders.is_empty() {
            true => Choice::Wait(RejectionCause::NotLoaded),
            false => self.choose_cheapest(request, &holders, candidates.len(), now),
        }
    }

    /// Returns the time until the first back end is available that only its back-off keeps
    /// from the request.
    pub(super) fn shortest_backoff(
        &self,
        request: &DispatchRequest,
        now: Instant,
    ) -> Option<Duration> {
        let states = self.backends.values();
        let may_serve = states.filter(|b| {
            b.listed.service == request.service && b.may_receive_requests() && !b.is_unlisted
        });
        let may_serve = may_serve.filter(|b| self.is_allowed(request, b));
        // a repeat is not sent again to where it failed
        let is_over =
            |b: &BackendState| request.is_repeat && request.tried_backends.contains(&b.listed.id);
        let may_serve = may_serve.filter(|b| !is_over(b));
        let with_model =
            may_serve.filter(|b| request.model.as_ref().is_none_or(|m| b.has_model(m)));
        with_model.filter_map(|b| b.backoff.remaining(now)).min()
    }

    /// Returns the back end that accepts the request first, among those that only their
    /// rate limit keeps from it, and the time until then. `ahead` counts the requests
    /// queued before it at each back end.
    pub(super) fn first_to_open(
        &self,
        request: &DispatchRequest,
        ahead: &HashMap<BackendId, (u32, u8)>,
        now: Instant,
    ) -> Option<(BackendId, Duration)> {
        let mut states = self.candidates(request, now);
        match (&request.adapter, &request.model) {
            (Some(adapter), _) => states = self.holders(&states, adapter, now),
            (None, Some(model)) => states = holders_of_model(&states, model),
            (None, None) => {}
        }
        let limited = states.iter().filter(|b| b.can_accept_beyond_limit(now));
        let openings = limited.map(|b| {
            let ahead = ahead.get(&b.listed.id).map_or(0, |(waiting, _)| *waiting);
            (b.listed.id.clone(), b.limit.wait_time_behind(ahead, now))
        });
        openings.min_by_key(|(_, opens_in)| *opens_in)
    }

    /// Returns whether the request may be served in the region of a back end and by the software
    /// that runs there.
    pub(super) fn is_allowed(&self, request: &DispatchRequest, state: &BackendState) -> bool {
        let region = self.settings.regions.get(&state.listed.zone);
        let required = request.software_version.as_ref();
        let has_software =
            required.is_none_or(|v| state.listed.software_version.as_ref() == Some(v));
        has_software && request.allowed_regions.allows(region)
    }

    /// Returns the back ends that may take the request: healthy ones if there are any, else
    /// those ejected after failures, else those that are no longer listed.
    fn candidates(&self, request: &DispatchRequest, now: Instant) -> Vec<&BackendState> {
        let of_service: Vec<&BackendState> = self
            .backends
            .values()
            .filter(|b| {
                b.listed.service == request.service
                    && !request.tried_backends.contains(&b.listed.id)
            })
            .filter(|b| !self.evacuated_zones.contains(&b.listed.zone))
            .filter(|b| self.is_allowed(request, b))
            .collect();
        let filter_backends = |is_match: &dyn Fn(&BackendState) -> bool| -> Vec<&BackendState> {
            let matching = of_service.iter().copied().filter(|b| is_match(b));
            matching.collect()
        };
        let available = filter_backends(&|b| b.is_available(now));
        if !available.is_empty() {
            return available;
        }
        let listed = filter_backends(&|b| {
            b.may_receive_requests() && !b.is_unlisted && !b.backoff.is_active(now)
        });
        let is_list_complete = !self.list_source.may_lack_running(now);
        if !listed.is_empty() || is_list_complete || self.has_listed(&request.service) {
            return listed;
        }
        filter_backends(&|b| b.may_receive_requests() && b.is_lapsed && !b.backoff.is_active(now))
    }

    /// Returns the candidates that hold the adapter in a usable version.
    fn holders<'b>(
        &self,
        candidates: &[&'b BackendState],
        adapter: &AdapterRef,
        now: Instant,
    ) -> Vec<&'b BackendState> {
        let is_holder = |b: &&BackendState| {
            let version = b.held_version(adapter, now);
            version.is_some_and(|v| self.is_version_usable(adapter, v, now))
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
        let accepting = states.iter().filter(|b| b.can_accept_request(request, now));
        let accepting: Vec<&BackendState> = accepting.copied().collect();
        let (chosen, pacing) = match self.choose_paced(request, &accepting, now) {
            Some(PacedChoice::Wait(wait)) => return Choice::WaitForTurn(Box::new(wait)),
            Some(PacedChoice::Send(state, pacing)) => (Some(state), Some(pacing)),
            None => {
                let costs = accepting.into_iter().map(|b| (self.cost(b, now), b));
                let cheapest = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
                (cheapest.map(|(_, state)| state), None)
            }
        };
        let Some(cheapest) = chosen else {
            let is_limited = states.iter().any(|b| b.can_accept_beyond_limit(now));
            return Choice::Wait(match is_limited {
                true => RejectionCause::RateLimited,
                false => RejectionCause::Full,
            });
        };
        let adapter = request.adapter.as_ref();
        let holders = adapter.map_or(0, |_| states.len());
        Choice::Send(Box::new(Assignment {
            backend: cheapest.listed.id.clone(),
            addr: cheapest.listed.addr,
            version: adapter.and_then(|a| self.required_version(cheapest, a, now)),
            software_version: cheapest.listed.software_version.clone(),
            urgency: self.urgency(request, cheapest, now),
            utilization: self.utilization(cheapest, now),
            is_limited: cheapest.limit.effective_rate().is_some(),
            inputs: DecisionInputs {
                pacing,
                ..self.decision_inputs_for(request, candidates, holders, Some(cheapest), now)
            },
        }))
    }

    /// Returns the version that the request must run on: the one that the engine is known to hold,
    /// if requests may still start on it, else the newest announced one, which every load fetches.
    /// An engine that still holds an older one refuses the request without running it.
    fn required_version(
        &self,
        state: &BackendState,
        adapter: &AdapterRef,
        now: Instant,
    ) -> Option<u64> {
        let newest = Some(self.adapter_versions.newest(adapter)).filter(|newest| *newest > 0);
        let held = state.held_version(adapter, now);
        held.filter(|version| self.is_version_usable(adapter, *version, now))
            .or(newest)
    }

    /// Returns whether requests may still start on this version of the adapter.
    pub(super) fn is_version_usable(
        &self,
        adapter: &AdapterRef,
        version: u64,
        now: Instant,
    ) -> bool {
        let grace = self.settings.version_grace;
        self.adapter_versions
            .may_start(adapter, version, grace, now)
    }

    fn urgency(&self, request: &DispatchRequest, state: &BackendState, now: Instant) -> u8 {
        if !self.settings.features.urgency_by_size {
            return request.priority.min(LOWEST_URGENCY);
        }
        let tokens_per_ms = self.tokens_per_ms_of(state);
        match self.route_rank(request) {
            Some(route) => {
                let typical = self.typical_prompt_of_route(request);
                urgency_by_route(request, route, typical, tokens_per_ms, now)
            }
            None => urgency(request, tokens_per_ms, now),
        }
    }
}

/// Returns the time to reload an adapter from the engine's host cache, in ms.
fn reload_ms(state: &BackendState) -> f64 {
    let view = state.view.as_ref();
    view.map_or(0.0, |v| f64::from(v.figures.next_return_ms))
}
