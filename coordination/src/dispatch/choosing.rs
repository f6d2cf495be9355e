//! which back end a request goes to

use {
    super::{
        dispatcher::Dispatcher,
        urgency::{urgency, LEAST as LEAST_URGENT},
        Ask, Assignment, BackendState, Basis, RefusalCause, WishCause, Wished,
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
const FAR_MS: f64 = 2.0;
/// cost of a back end that fails each request, in ms
const FAILING_MS: f64 = 800.0;
/// cost of a back end with all places taken, in ms: in proportion to its load,
/// and what grows faster, since each token comes later in a crowded batch
const LOAD_MS: f64 = 30.0;
const CROWDED_MS: f64 = 150.0;
/// cost of one more request that runs there, in ms
const RUNNING_MS: f64 = 0.4;
/// cost of a back end that names a limit, in ms: what it takes is kept for requests that
/// only it can serve
const LIMITED_MS: f64 = 150.0;

/// size of a prompt before one was seen, in tokens
const PROMPT_AT_FIRST: f64 = 1_000.0;

/// a request that has waited for this long goes to an engine that has its adapter
const RETURN_PATIENCE: Duration = Duration::from_millis(120);
/// what an adapter must save to be brought back to another engine, in ms
const RETURN_MARGIN_MS: f64 = 60.0;

/// what can be done for a request now
pub(super) enum Choice {
    Send(Assignment),
    Wait(RefusalCause),
}

impl Dispatcher {
    /// what is known when a request is refused, for logs
    pub(super) fn basis(&self, ask: &Ask, now: Instant) -> Basis {
        let candidates = self.candidates(ask, now);
        let holders = match &ask.adapter {
            Some(adapter) => self.holders(&candidates, adapter, now).len(),
            None => 0,
        };
        self.basis_of(ask, candidates.len(), holders, None, now)
    }

    fn basis_of(
        &self,
        ask: &Ask,
        candidates: usize,
        holders: usize,
        chosen: Option<&BackendState>,
        now: Instant,
    ) -> Basis {
        let (leaving, resting, limited) = self.held_back(ask, now);
        Basis {
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
            budget: self.budget_standing(&ask.service),
        }
    }

    /// back ends of the service that leave, that rest, and that name a limit
    fn held_back(&self, ask: &Ask, now: Instant) -> (u32, u32, u32) {
        let (mut leaving, mut resting, mut limited) = (0, 0, 0);
        let listed = self.backends.values().filter(|b| !b.is_gone);
        for state in listed.filter(|b| b.listed.service == ask.service) {
            leaving += u32::from(state.is_leaving());
            resting += u32::from(state.health.is_resting(now) || state.rest.is_on(now));
            limited += u32::from(state.limit.named().is_some());
        }
        (leaving, resting, limited)
    }

    /// what is done for a request now; an adapter that it lacks is wished for
    pub(super) fn choose(&mut self, ask: &Ask, now: Instant) -> Choice {
        let (choice, homes) = self.plan(ask, now);
        if let (Some(adapter), false) = (&ask.adapter, homes.is_empty()) {
            self.note_wish(adapter, &homes, &choice, now);
            match choice {
                Choice::Wait(RefusalCause::Returns) => self.wish_also(adapter, homes, now),
                _ => self.wish_where_allowed(ask, adapter, homes, now),
            }
        }
        choice
    }

    fn note_wish(
        &mut self,
        adapter: &AdapterRef,
        backends: &[BackendId],
        choice: &Choice,
        now: Instant,
    ) {
        let cause = match choice {
            Choice::Wait(RefusalCause::Returns) => WishCause::Return,
            Choice::Wait(RefusalCause::NotLoaded) => WishCause::Home,
            _ => WishCause::Copy,
        };
        if cause == WishCause::Return && self.is_wished(adapter, backends, now) {
            return;
        }
        self.wished.push(Wished {
            adapter: adapter.clone(),
            backends: backends.to_vec(),
            cause,
            waiting: self.waiting.len(),
        });
    }

    /// what to do for a request, and the engines that are to load its adapter
    fn plan(&self, ask: &Ask, now: Instant) -> (Choice, Vec<BackendId>) {
        let candidates = self.candidates(ask, now);
        // a base model that none of the others has does not come within any rest
        let lacks_model = |model: &String| with_model(&candidates, model).is_empty();
        let may_serve = !candidates.is_empty() && !ask.model.as_ref().is_some_and(lacks_model);
        if !may_serve && self.shortest_rest(ask, now).is_some() {
            return (Choice::Wait(RefusalCause::Resting), Vec::new());
        }
        if candidates.is_empty() {
            let cause = match ask.allowed_regions.is_unrestricted() {
                true => RefusalCause::NoBackend,
                false => RefusalCause::OutsideRegions,
            };
            return (Choice::Wait(cause), Vec::new());
        }
        let Some(adapter) = &ask.adapter else {
            return (self.choose_with_model(ask, &candidates, now), Vec::new());
        };
        let holders = self.holders(&candidates, adapter, now);
        if holders.is_empty() {
            let expected = self.expected_holders(&candidates, adapter, now);
            if !expected.is_empty() {
                let choice = self.choose_cheapest(ask, &expected, candidates.len(), now);
                return (choice, Vec::new());
            }
            if self.nobody_brings(ask, &candidates, now) {
                return (Choice::Wait(RefusalCause::Unheard), Vec::new());
            }
            let homes = self.homes_for(adapter, &candidates, ask, now);
            return (Choice::Wait(RefusalCause::NotLoaded), homes);
        }
        let choice = self.choose_cheapest(ask, &holders, candidates.len(), now);
        if matches!(choice, Choice::Wait(RefusalCause::Limited)) {
            if let Some(homes) = self.homes_beside_limited(ask, adapter, &holders, &candidates, now)
            {
                return (Choice::Wait(RefusalCause::NotLoaded), homes);
            }
        }
        if let Some(home) = self.better_return(ask, adapter, &holders, &candidates, now) {
            return (Choice::Wait(RefusalCause::Returns), vec![home]);
        }
        let copies = self.homes_for_copies(adapter, &holders, &candidates, &choice, now);
        (choice, copies)
    }

    /// An engine that held the adapter lately, has a place for it, and would read
    /// the prompt sooner than each of those that hold it now. Bringing it back
    /// takes a few steps of the engine and costs nothing.
    fn better_return(
        &self,
        ask: &Ask,
        adapter: &AdapterRef,
        holders: &[&BackendState],
        candidates: &[&BackendState],
        now: Instant,
    ) -> Option<BackendId> {
        let waited = now.saturating_duration_since(ask.arrived);
        if !self.settings.mechanisms.return_home || waited > RETURN_PATIENCE {
            return None;
        }
        let mark = adapter_mark(adapter);
        let with_place = holders.iter().filter(|b| b.has_place(now));
        let held = with_place.map(|b| self.cost(b, now));
        let least = held.min_by(f64::total_cmp).unwrap_or(f64::INFINITY);
        let is_holder = |b: &BackendState| holders.iter().any(|h| h.listed.id == b.listed.id);
        let others = candidates.iter().filter(|b| {
            let may_load = b.spare_slots() > 0 || b.is_loading(adapter);
            b.held_lately(mark) && may_load && b.has_place(now) && !is_holder(b)
        });
        let costs = others.map(|b| (self.cost(b, now) + return_ms(b), b));
        let (cost, best) = costs.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        (cost + RETURN_MARGIN_MS < least).then(|| best.listed.id.clone())
    }

    /// a back end for a request without an adapter
    fn choose_with_model(&self, ask: &Ask, candidates: &[&BackendState], now: Instant) -> Choice {
        let Some(model) = &ask.model else {
            return self.choose_cheapest(ask, candidates, candidates.len(), now);
        };
        let with_model = with_model(candidates, model);
        match with_model.is_empty() {
            true => Choice::Wait(RefusalCause::NotLoaded),
            false => self.choose_cheapest(ask, &with_model, candidates.len(), now),
        }
    }

    /// time until the first back end can be asked that only its rest keeps from a request
    pub(super) fn shortest_rest(&self, ask: &Ask, now: Instant) -> Option<Duration> {
        let states = self.backends.values();
        let may_serve =
            states.filter(|b| b.listed.service == ask.service && b.may_be_asked() && !b.is_gone);
        let may_serve = may_serve.filter(|b| self.may_serve(ask, b));
        let with_model = may_serve.filter(|b| ask.model.as_ref().is_none_or(|m| b.has_model(m)));
        with_model.filter_map(|b| b.rest.left(now)).min()
    }

    /// Of the back ends whose limit alone keeps them from a request, the one that takes it
    /// first, and the time until then. So many others go `ahead` at each.
    pub(super) fn first_to_open(
        &self,
        ask: &Ask,
        ahead: &HashMap<BackendId, (u32, u8)>,
        now: Instant,
    ) -> Option<(BackendId, Duration)> {
        let mut states = self.candidates(ask, now);
        match (&ask.adapter, &ask.model) {
            (Some(adapter), _) => states = self.holders(&states, adapter, now),
            (None, Some(model)) => states = with_model(&states, model),
            (None, None) => {}
        }
        let limited = states.iter().filter(|b| b.has_place_beyond_limit(now));
        let openings = limited.map(|b| {
            let ahead = ahead.get(&b.listed.id).map_or(0, |(waiting, _)| *waiting);
            (b.listed.id.clone(), b.limit.opens_after(ahead, now))
        });
        openings.min_by_key(|(_, opens_in)| *opens_in)
    }

    /// whether the request may be served in the region of a back end
    pub(super) fn may_serve(&self, ask: &Ask, state: &BackendState) -> bool {
        let region = self.settings.regions.get(&state.listed.zone);
        ask.allowed_regions.allows(region)
    }

    /// back ends that may take the request, sound ones if there are any
    fn candidates(&self, ask: &Ask, now: Instant) -> Vec<&BackendState> {
        let of_service: Vec<&BackendState> = self
            .backends
            .values()
            .filter(|b| b.listed.service == ask.service && !ask.tried.contains(&b.listed.id))
            .filter(|b| !self.evacuated.contains(&b.listed.zone))
            .filter(|b| self.may_serve(ask, b))
            .collect();
        let keep = |is_kept: &dyn Fn(&BackendState) -> bool| -> Vec<&BackendState> {
            let kept = of_service.iter().copied().filter(|b| is_kept(b));
            kept.collect()
        };
        let sound = keep(&|b| b.takes_work(now));
        if !sound.is_empty() {
            return sound;
        }
        let resting = keep(&|b| b.may_be_asked() && !b.is_gone && !b.rest.is_on(now));
        if !resting.is_empty() || self.has_listed(&ask.service) {
            return resting;
        }
        keep(&|b| b.may_be_asked() && !b.rest.is_on(now))
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
        ask: &Ask,
        states: &[&BackendState],
        candidates: usize,
        now: Instant,
    ) -> Choice {
        let with_place = states.iter().filter(|b| b.has_place_for(ask, now));
        let costs = with_place.map(|b| (self.cost(b, now), *b));
        let Some((_, cheapest)) = costs.min_by(|(a, _), (b, _)| a.total_cmp(b)) else {
            let is_limited = states.iter().any(|b| b.has_place_beyond_limit(now));
            return Choice::Wait(match is_limited {
                true => RefusalCause::Limited,
                false => RefusalCause::Full,
            });
        };
        let adapter = ask.adapter.as_ref();
        let holders = adapter.map_or(0, |_| states.len());
        Choice::Send(Assignment {
            backend: cheapest.listed.id.clone(),
            addr: cheapest.listed.addr,
            version: adapter.and_then(|a| self.version_at(cheapest, a, now)),
            urgency: self.urgency(ask, now),
            pressure: self.pressure(cheapest, now),
            is_limited: cheapest.limit.named().is_some(),
            basis: self.basis_of(ask, candidates, holders, Some(cheapest), now),
        })
    }

    /// the version that a request must run on; of an engine that is not heard, the newest
    /// that was named, which any load brings
    fn version_at(&self, state: &BackendState, adapter: &AdapterRef, now: Instant) -> Option<u64> {
        let newest = Some(self.versions.newest(adapter)).filter(|newest| *newest > 0);
        state.held_version(adapter, now).or(newest)
    }

    /// whether an adapter's version may still be run
    pub(super) fn is_current(&self, adapter: &AdapterRef, version: u64, now: Instant) -> bool {
        let grace = self.settings.version_grace;
        self.versions.may_begin(adapter, version, grace, now)
    }

    /// time until the prompts that wait there are read, in ms
    pub(super) fn queue_ms(&self, state: &BackendState, now: Instant) -> f64 {
        let service = &state.listed.service;
        let typical = match self.settings.mechanisms.prompts_of_all {
            true => self.typical_prompt(service),
            false => 0.0,
        };
        state.queued_tokens(typical, now) / self.tokens_per_ms(service)
    }

    fn urgency(&self, ask: &Ask, now: Instant) -> u8 {
        match self.settings.mechanisms.urgency_by_size {
            true => urgency(ask, self.tokens_per_ms(&ask.service), now),
            false => ask.priority.min(LEAST_URGENT),
        }
    }

    /// prompt tokens that an engine of a service reads in a ms
    pub(super) fn tokens_per_ms(&self, service: &ServiceName) -> f64 {
        let observed = self.rates.get(service).and_then(|r| r.tokens_per_ms());
        let observed = observed.filter(|_| self.settings.mechanisms.observed_rate);
        observed.unwrap_or(self.settings.tokens_per_ms)
    }

    fn typical_prompt(&self, service: &ServiceName) -> f64 {
        let observed = self.rates.get(service).and_then(|r| r.typical_prompt());
        observed.unwrap_or(PROMPT_AT_FIRST)
    }

    /// how busy an engine is, by its queue and its places; at 1 an adapter that
    /// only it holds is worth another copy
    pub(super) fn pressure(&self, state: &BackendState, now: Instant) -> f64 {
        let queue = self.queue_ms(state, now) / self.settings.copy_from_queue_ms;
        queue.max(state.load(now) / self.settings.copy_from_load)
    }

    fn cost(&self, state: &BackendState, now: Instant) -> f64 {
        let is_far = state.listed.zone != self.settings.zone;
        let far = if is_far { FAR_MS } else { 0.0 };
        let limited = match state.limit.named() {
            Some(_) => LIMITED_MS,
            None => 0.0,
        };
        // requests of a plain service have no tokens, and share its slots
        let load = state.load(now);
        self.queue_ms(state, now)
            + f64::from(state.occupied(now)) * RUNNING_MS
            + load * LOAD_MS
            + load * load * CROWDED_MS
            + far
            + limited
            + state.health.failure_rate(now) * FAILING_MS
    }
}

/// time to bring back an adapter that an engine held lately, in ms
fn return_ms(state: &BackendState) -> f64 {
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
