use {
    super::{
        demands::build_demand, waiting::WaitingList, Ask, Assignment, BackendState, Basis,
        Decision, DispatchEvent, DispatchSettings, RefusalCause, SendOutcome, Sent, SharedBudget,
        Ticket,
    },
    crate::membership::{rendezvous_weight, stable_hash},
    chalkcart_protocol::peer::{AdapterDemand, EngineView, WantedAdapter},
    chalkcart_state::{
        backends::{AdapterRef, Backend, BackendId, BackendList},
        ids::ServiceName,
        ingress::{RouteTable, Service},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// cost of a back end in another zone, in ms
const FAR_MS: f64 = 2.0;
/// cost of a back end that fails each request, in ms
const FAILING_MS: f64 = 800.0;
/// cost of one more request that runs there, in ms
const RUNNING_MS: f64 = 0.4;
/// after this time without its adapter a request asks at the next engine too
const NEXT_HOME_AFTER: Duration = Duration::from_millis(1_500);
/// an adapter is spread only while this many of its requests are in flight
const SPREAD_IN_FLIGHT: u32 = 3;
/// a wish for another copy is given up after this time
const SPREAD_FOR: Duration = Duration::from_millis(1_500);
/// entries assumed before a sidecar has counted them
const ENTRIES_UNKNOWN: u32 = 8;
/// added to the time of a load before its requests come back
const PROMISE_MARGIN: Duration = Duration::from_millis(60);
/// an adapter stays wanted for this long after its requests should be back
const PROMISE_KEPT: Duration = Duration::from_millis(400);
/// what a request that was refused waits at least
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// one back end, for logs and operators
#[derive(Debug, Clone)]
pub struct BackendRow {
    pub id: BackendId,
    pub in_flight: u32,
    pub occupied: u32,
    pub held: usize,
    pub failure_rate: f64,
}

/// which adapter another engine is asked to load
#[derive(Debug, Clone)]
struct Spread {
    backend: BackendId,
    until: Instant,
}

/// requests that come back for an adapter
#[derive(Debug, Clone)]
struct Promise {
    backend: BackendId,
    priority: u8,
    requests: u32,
    /// when the last of them should be back
    until: Instant,
}

/// chooses back ends for one entry's requests
pub struct Dispatcher {
    settings: DispatchSettings,
    backends: BTreeMap<BackendId, BackendState>,
    list_version: u64,
    table: Arc<RouteTable>,
    waiting: WaitingList,
    sent: HashMap<Ticket, (BackendId, ServiceName, Sent)>,
    budgets: HashMap<ServiceName, SharedBudget>,
    /// newest versions, and since when this entry knows them
    versions: HashMap<AdapterRef, u64>,
    versioned_at: HashMap<AdapterRef, Instant>,
    spreads: HashMap<AdapterRef, Spread>,
    /// highest fences of the sidecars, by the address of their engine
    fences: HashMap<SocketAddr, u64>,
    /// requests that were told to come back for an adapter
    promises: HashMap<AdapterRef, Promise>,
    /// engines whose sidecars must hear of a new wish
    urgent: HashSet<BackendId>,
    decided: Vec<(Ticket, Decision)>,
    /// when a sidecar spoke or a back end answered
    last_heard: Option<Instant>,
}

impl Dispatcher {
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            settings,
            backends: BTreeMap::new(),
            list_version: 0,
            table: Arc::default(),
            waiting: WaitingList::default(),
            sent: HashMap::new(),
            budgets: HashMap::new(),
            versions: HashMap::new(),
            versioned_at: HashMap::new(),
            spreads: HashMap::new(),
            fences: HashMap::new(),
            promises: HashMap::new(),
            urgent: HashSet::new(),
            decided: Vec::new(),
            last_heard: None,
        }
    }

    /// take in what happened; gives what was decided by it
    pub fn handle(&mut self, event: DispatchEvent, now: Instant) -> Vec<(Ticket, Decision)> {
        match event {
            DispatchEvent::Asked { ticket, ask } => self.on_asked(ticket, ask, now),
            DispatchEvent::Withdrawn(ticket) => {
                self.waiting.take(ticket);
            }
            DispatchEvent::Started(ticket) => self.on_started(ticket),
            DispatchEvent::Ended { ticket, outcome } => self.on_ended(ticket, outcome, now),
            DispatchEvent::Listed { version, list } => self.on_list(version, list, now),
            DispatchEvent::Configured(table) => self.table = table,
            DispatchEvent::Tuned(settings) => self.on_settings(settings),
            DispatchEvent::Viewed { addr, view } => self.on_view(addr, view, now),
            DispatchEvent::ViewLost(backend) => self.on_view_lost(&backend),
            DispatchEvent::Versioned { adapter, version } => self.on_version(adapter, version, now),
            DispatchEvent::Tick => {}
        }
        self.serve_waiting(now);
        std::mem::take(&mut self.decided)
    }

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

    pub fn has_urgent_demands(&self) -> bool {
        !self.urgent.is_empty()
    }
    /// whether any back end was heard of lately; a process that is cut off
    /// should not be sent clients
    pub fn reaches_backends(&self, now: Instant) -> bool {
        let Some(heard) = self.last_heard else {
            // nothing was ever heard: the list alone must do
            return true;
        };
        now.saturating_duration_since(heard) < self.settings.unheard_after
    }
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }
    pub fn rows(&self, now: Instant) -> Vec<BackendRow> {
        let rows = self.backends.values().map(|b| BackendRow {
            id: b.listed.id.clone(),
            in_flight: b.in_flight,
            occupied: b.occupied(now),
            held: b.view.as_ref().map_or(0, |v| v.held.len()),
            failure_rate: b.health.failure_rate(now),
        });
        rows.collect()
    }

    fn on_settings(&mut self, settings: DispatchSettings) {
        for budget in self.budgets.values_mut() {
            budget.set_bounds(
                settings.retry_ratio,
                settings.retry_extra,
                settings.retry_window,
            );
        }
        self.settings = settings;
    }

    fn on_asked(&mut self, ticket: Ticket, ask: Ask, now: Instant) {
        let entries = self.entry_count();
        let settings = &self.settings;
        let budget = self.budgets.entry(ask.service.clone());
        let budget = budget.or_insert_with(|| {
            SharedBudget::new(
                settings.retry_ratio,
                settings.retry_extra,
                settings.retry_window,
            )
        });
        match ask.sends {
            0 => budget.on_request(now),
            _ if !budget.allows(entries, now) => {
                let cause = RefusalCause::NoBudget;
                let basis = self.basis(&ask, None, now);
                self.refuse(ticket, cause, MIN_RETRY_AFTER, basis);
                return;
            }
            _ => {}
        }
        self.waiting.put(ticket, ask);
    }

    fn on_started(&mut self, ticket: Ticket) {
        let Some((backend, _, sent)) = self.sent.get_mut(&ticket) else {
            return;
        };
        if sent.started {
            return;
        }
        if let Some(state) = self.backends.get_mut(backend) {
            state.on_started(sent);
        }
        sent.started = true;
    }

    fn on_ended(&mut self, ticket: Ticket, outcome: SendOutcome, now: Instant) {
        let Some((backend, _, sent)) = self.sent.remove(&ticket) else {
            return;
        };
        let Some(state) = self.backends.get_mut(&backend) else {
            return;
        };
        state.on_ended(&sent);
        match outcome {
            SendOutcome::Answered => {
                state.health.on_success(now);
                self.last_heard = Some(now);
            }
            SendOutcome::Shed => state.on_full(now),
            SendOutcome::Misdirected => match &sent.adapter {
                Some(adapter) => state.on_refused(adapter),
                // it lacks the base model
                None => state.on_full(now),
            },
            SendOutcome::Superseded => state.is_superseded = true,
            SendOutcome::Unreachable => state.health.on_unreachable(now),
            SendOutcome::Failed => state.health.on_failure(now),
            SendOutcome::Abandoned => {}
        }
        let is_idle_and_gone = state.is_gone && state.in_flight == 0;
        let service = state.listed.service.clone();
        if is_idle_and_gone && self.has_listed(&service) {
            self.backends.remove(&backend);
        }
    }

    fn on_list(&mut self, version: u64, list: BackendList, now: Instant) {
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
    fn forget_gone(&mut self) {
        let services: HashSet<ServiceName> = self
            .backends
            .values()
            .filter(|b| !b.is_gone)
            .map(|b| b.listed.service.clone())
            .collect();
        self.backends
            .retain(|_, b| !b.is_gone || b.in_flight > 0 || !services.contains(&b.listed.service));
    }

    fn has_listed(&self, service: &ServiceName) -> bool {
        let mut of_service = self.backends.values();
        of_service.any(|b| !b.is_gone && b.listed.service == *service)
    }

    fn on_view(&mut self, addr: SocketAddr, view: EngineView, now: Instant) {
        self.last_heard = Some(now);
        let fence = self.fences.entry(addr).or_default();
        *fence = view.figures.fence.max(*fence);
        if view.backend.is_empty() {
            return;
        }
        if !self.backends.contains_key(&view.backend) {
            self.add_ahead_of_list(addr, &view.backend, now);
        }
        if let Some(state) = self.backends.get_mut(&view.backend) {
            state.on_view(view, now);
        }
    }

    /// an engine that came back and is not in the list yet: its sidecar knows
    fn add_ahead_of_list(&mut self, addr: SocketAddr, id: &BackendId, now: Instant) {
        let mut states = self.backends.values_mut();
        let Some(former) = states.find(|b| b.listed.addr == addr) else {
            return;
        };
        former.is_superseded = true;
        former.view = None;
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

    fn on_view_lost(&mut self, backend: &BackendId) {
        if let Some(state) = self.backends.get_mut(backend) {
            state.view = None;
            state.is_gone |= state.is_ahead;
        }
    }

    fn on_version(&mut self, adapter: AdapterRef, version: u64, now: Instant) {
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

    /// give back ends to requests that wait, in order, and refuse those whose
    /// wait is over
    fn serve_waiting(&mut self, now: Instant) {
        if self.waiting.is_empty() {
            return;
        }
        for ticket in self.waiting.tickets() {
            let Some(ask) = self.waiting.get(ticket).cloned() else {
                continue;
            };
            match self.choose(&ask, now) {
                Choice::Send(assignment) => {
                    self.waiting.take(ticket);
                    self.send(ticket, ask, assignment, now);
                }
                Choice::Wait(cause) => self.wait_or_refuse(ticket, &ask, cause, now),
            }
        }
    }

    fn send(&mut self, ticket: Ticket, ask: Ask, mut assignment: Assignment, now: Instant) {
        assignment.basis = self.basis(&ask, Some(&assignment.backend), now);
        if ask.sends > 0 {
            if let Some(budget) = self.budgets.get_mut(&ask.service) {
                budget.on_repeat(now);
            }
        }
        let sent = Sent {
            adapter: ask.adapter,
            prompt_tokens: ask.prompt_tokens,
            at: now,
            started: false,
        };
        if let Some(state) = self.backends.get_mut(&assignment.backend) {
            state.on_sent(&sent);
        }
        let backend = assignment.backend.clone();
        self.sent.insert(ticket, (backend, ask.service, sent));
        self.decided.push((ticket, Decision::Send(assignment)));
    }

    fn wait_or_refuse(&mut self, ticket: Ticket, ask: &Ask, cause: RefusalCause, now: Instant) {
        if cause == RefusalCause::NotLoaded {
            if let Some(retry_after) = self.promise(ask, now) {
                self.waiting.take(ticket);
                let basis = self.basis(ask, None, now);
                self.refuse(ticket, RefusalCause::LoadsLater, retry_after, basis);
                return;
            }
        }
        let part = match cause {
            RefusalCause::NotLoaded => self.settings.wait_for_adapter,
            RefusalCause::Full
            | RefusalCause::NoBackend
            | RefusalCause::NoBudget
            | RefusalCause::LoadsLater => self.settings.wait_for_place,
        };
        let longest = ask.target_latency.mul_f64(part);
        let waited = now.saturating_duration_since(ask.arrived);
        if waited >= longest || now >= ask.deadline {
            self.waiting.take(ticket);
            let retry_after = ask.target_latency / 2;
            let basis = self.basis(ask, None, now);
            self.refuse(ticket, cause, retry_after.max(MIN_RETRY_AFTER), basis);
        }
    }

    /// when a request should come back whose adapter is too late for its
    /// objective; it is refused early, and its adapter goes on being wanted
    fn promise(&mut self, ask: &Ask, now: Instant) -> Option<Duration> {
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

    /// what is known at a decision, for logs
    fn basis(&self, ask: &Ask, chosen: Option<&BackendId>, now: Instant) -> Basis {
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

    fn refuse(&mut self, ticket: Ticket, cause: RefusalCause, retry_after: Duration, basis: Basis) {
        let decision = Decision::Refuse {
            cause,
            retry_after,
            basis,
        };
        self.decided.push((ticket, decision));
    }

    fn choose(&mut self, ask: &Ask, now: Instant) -> Choice {
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
    fn choose_with_model(&self, ask: &Ask, candidates: Vec<BackendId>, now: Instant) -> Choice {
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
    fn with_model(&self, candidates: &[BackendId], model: &str) -> Vec<BackendId> {
        let holds = |id: &&BackendId| self.backends.get(*id).is_some_and(|b| b.has_model(model));
        candidates.iter().filter(holds).cloned().collect()
    }

    /// back ends that may take the request, sound ones if there are any
    fn candidates(&self, ask: &Ask, now: Instant) -> Vec<BackendId> {
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

    fn choose_cheapest(
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

    fn choose_holder(
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
    fn is_current(&self, adapter: &AdapterRef, version: u64, now: Instant) -> bool {
        let newest = self.versions.get(adapter).copied().unwrap_or(0);
        let since = self.versioned_at.get(adapter);
        let age = since.map_or(Duration::ZERO, |at| now.saturating_duration_since(*at));
        version >= newest || age < self.settings.version_grace
    }

    /// have a sidecar load the adapter, if none does yet
    fn wish(&mut self, adapter: &AdapterRef, candidates: &[BackendId], ask: &Ask, now: Instant) {
        if self
            .spreads
            .get(adapter)
            .is_some_and(|s| s.until > now && candidates.contains(&s.backend))
        {
            return;
        }
        let waited = now.saturating_duration_since(ask.arrived);
        let skip = (waited.as_millis() / NEXT_HOME_AFTER.as_millis()) as usize;
        if let Some(home) = self.home(adapter, candidates, skip) {
            self.urgent.insert(home.clone());
            let until = now + NEXT_HOME_AFTER;
            let backend = home;
            self.spreads
                .insert(adapter.clone(), Spread { backend, until });
        }
    }

    /// the engine that is to load an adapter: the one that does so already,
    /// else the first with a spare place in the adapter's own order
    fn home(
        &self,
        adapter: &AdapterRef,
        candidates: &[BackendId],
        skip: usize,
    ) -> Option<BackendId> {
        let with_model = self.with_model(candidates, &adapter.model);
        // an engine that holds no model gets the one that is wanted there
        let candidates = match with_model.is_empty() {
            true => candidates,
            false => &with_model,
        };
        let states: Vec<&BackendState> = candidates
            .iter()
            .filter_map(|id| self.backends.get(id))
            .filter(|b| b.view.is_some())
            .collect();
        if let Some(loading) = states.iter().find(|b| b.is_loading(adapter)) {
            return Some(loading.listed.id.clone());
        }
        let key = stable_hash(&adapter.to_string());
        let mut ranked: Vec<(u64, &BackendState)> = states
            .into_iter()
            .filter(|b| b.spare_slots() > 0)
            .map(|b| {
                let member = stable_hash(&b.listed.addr.to_string());
                (rendezvous_weight(key, member), b)
            })
            .collect();
        ranked.sort_by_key(|(weight, _)| Reverse(*weight));
        let index = skip % ranked.len().max(1);
        ranked.get(index).map(|(_, b)| b.listed.id.clone())
    }

    /// ask for another copy if those that hold the adapter are too busy
    fn consider_spread(
        &mut self,
        adapter: &AdapterRef,
        holders: &[BackendId],
        candidates: &[BackendId],
        choice: &Choice,
        now: Instant,
    ) {
        let wait = match choice {
            Choice::Send(assignment) => {
                let state = self.backends.get(&assignment.backend);
                state.map_or(0.0, |b| self.queue_ms(b, now))
            }
            Choice::Wait(_) => f64::INFINITY,
        };
        let in_flight: u32 = holders
            .iter()
            .filter_map(|id| self.backends.get(id)?.running_on.get(adapter))
            .sum();
        if wait < self.settings.spread_wait_ms
            || in_flight < SPREAD_IN_FLIGHT
            || self.spreads.contains_key(adapter)
        {
            return;
        }
        let others: Vec<BackendId> = candidates
            .iter()
            .filter(|id| !holders.contains(id))
            .filter(|id| {
                let state = self.backends.get(*id);
                state.is_some_and(|b| self.queue_ms(b, now) < wait / 2.0)
            })
            .cloned()
            .collect();
        if let Some(backend) = self.home(adapter, &others, 0) {
            self.urgent.insert(backend.clone());
            let until = now + SPREAD_FOR;
            self.spreads
                .insert(adapter.clone(), Spread { backend, until });
        }
    }

    /// expected time to the first token there, in ms
    fn queue_ms(&self, state: &BackendState, now: Instant) -> f64 {
        state.queued_tokens(now) / self.settings.tokens_per_ms
    }

    fn cost(&self, state: &BackendState, now: Instant) -> f64 {
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

    /// what requests wait for, by the engine that is to load it
    fn wanted(&self, now: Instant) -> HashMap<BackendId, Vec<WantedAdapter>> {
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

    /// entries of the fleet, as the sidecars count them
    pub fn entry_count(&self) -> u32 {
        let views = self.backends.values().filter_map(|b| b.view.as_ref());
        let counted = views.map(|v| v.figures.entries).max();
        counted.filter(|n| *n > 0).unwrap_or(ENTRIES_UNKNOWN)
    }

    /// the configuration of a service
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.table.services.get(name)
    }
    /// a back end as it was last listed
    pub fn listed(&self) -> impl Iterator<Item = &Backend> {
        self.backends
            .values()
            .filter(|b| !b.is_gone)
            .map(|b| &b.listed)
    }
}

/// what can be done for a request now
enum Choice {
    Send(Assignment),
    Wait(RefusalCause),
}

fn wanted_adapter(adapter: &AdapterRef) -> WantedAdapter {
    WantedAdapter {
        adapter: adapter.clone(),
        waiting: 0,
        priority: u8::MAX,
        waited_ms: 0,
    }
}
