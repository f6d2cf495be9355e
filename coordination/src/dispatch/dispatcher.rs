use {
    super::{
        choosing::Choice, listing::Life, own_words::OwnWords, promises::Promise,
        refusing::MIN_RETRY_AFTER, waiting::WaitingList, wishes::Wish, AccountTurns,
        AdapterVersions, Ask, Assignment, BackendState, BringTime, BudgetStanding, Decision,
        DispatchEvent, DispatchSettings, FleetSize, ReadingRate, RefusalCause, SendOutcome, Sent,
        SharedBudget, Ticket, Wished,
    },
    crate::{
        crashes::{CrashDetector, EngineCrash},
        own_word::OwnWord,
    },
    chalkcart_state::{
        backends::{AdapterRef, Backend, BackendId},
        ids::{ServiceName, ZoneName},
        ingress::{RequestDigest, RouteTable, Service},
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::Instant,
    },
};

/// entries assumed before a sidecar has counted them
const ENTRIES_UNKNOWN: u32 = 8;

/// one back end, for logs and operators
#[derive(Debug, Clone)]
pub struct BackendRow {
    pub id: BackendId,
    pub in_flight: u32,
    pub occupied: u32,
    pub held: usize,
    pub failure_rate: f64,
}

/// chooses back ends for one entry's requests
pub struct Dispatcher {
    pub(super) settings: DispatchSettings,
    pub(super) backends: BTreeMap<BackendId, BackendState>,
    pub(super) list_version: u64,
    pub(super) table: Arc<RouteTable>,
    pub(super) waiting: WaitingList,
    pub(super) turns: AccountTurns,
    pub(super) sent: HashMap<Ticket, (BackendId, ServiceName, Sent)>,
    /// how fast prompts are read, by service
    pub(super) rates: HashMap<ServiceName, ReadingRate>,
    pub(super) budgets: HashMap<ServiceName, SharedBudget>,
    pub(super) versions: AdapterVersions,
    /// adapters that engines were asked to load
    pub(super) wishes: HashMap<AdapterRef, Wish>,
    /// what the sidecars say of the lives of engines, by the engine's address
    pub(super) lives: HashMap<SocketAddr, Life>,
    /// what back ends say of themselves
    pub(super) own_words: OwnWords,
    /// highest fences of the sidecars, by the address of their engine
    pub(super) fences: HashMap<SocketAddr, u64>,
    /// wishes since the last call of `take_wished`
    pub(super) wished: Vec<Wished>,
    /// time until adapters come that sidecars were asked for which are not heard
    pub(super) bring_time: BringTime,
    /// requests that were told to come back for an adapter
    pub(super) promises: HashMap<AdapterRef, Promise>,
    /// engines whose sidecars must hear of a new wish
    pub(super) urgent: HashSet<BackendId>,
    pub(super) decided: Vec<(Ticket, Decision)>,
    /// zones whose back ends are to be sent nothing
    pub(super) evacuated: HashSet<ZoneName>,
    /// back ends that name a limit
    pub(super) limited: HashSet<BackendId>,
    /// when their limits were last shared anew
    pub(super) limits_shared: Option<Instant>,
    /// an engine was cold when this was looked at last: with thousands of engines a look at
    /// each event would cost as much as a decision
    pub(super) may_have_cold: bool,
    /// which runs the ends of engines belong to
    pub(super) crashes: CrashDetector,
    /// requests that were served since the last call of `take_served`
    served: Vec<RequestDigest>,
    /// when this process began, if the fleet served before
    began_anew: Option<Instant>,
    pub(super) fleet_size: FleetSize,
    /// when a sidecar spoke or a back end answered
    pub(super) last_heard: Option<Instant>,
}

impl Dispatcher {
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            began_anew: settings.began_anew,
            fleet_size: FleetSize::default(),
            settings,
            backends: BTreeMap::new(),
            list_version: 0,
            table: Arc::default(),
            waiting: WaitingList::default(),
            turns: AccountTurns::default(),
            sent: HashMap::new(),
            rates: HashMap::new(),
            budgets: HashMap::new(),
            versions: AdapterVersions::default(),
            wishes: HashMap::new(),
            lives: HashMap::new(),
            own_words: OwnWords::default(),
            fences: HashMap::new(),
            wished: Vec::new(),
            bring_time: BringTime::default(),
            promises: HashMap::new(),
            urgent: HashSet::new(),
            decided: Vec::new(),
            evacuated: HashSet::new(),
            limited: HashSet::new(),
            limits_shared: None,
            may_have_cold: false,
            crashes: CrashDetector::default(),
            served: Vec::new(),
            last_heard: None,
        }
    }

    /// take in what happened; gives what was decided by it
    pub fn handle(&mut self, event: DispatchEvent, now: Instant) -> Vec<(Ticket, Decision)> {
        self.pass_cold(now);
        self.look_at_limits(now);
        match event {
            DispatchEvent::Asked { ticket, ask } => self.on_asked(ticket, ask, now),
            DispatchEvent::Withdrawn(ticket) => {
                if let Some(ask) = self.waiting.take(ticket) {
                    self.on_unsent(&ask);
                }
            }
            DispatchEvent::Started(ticket) => self.on_started(ticket, now),
            DispatchEvent::Ended { ticket, outcome } => {
                if let Some(service) = self.on_ended(ticket, outcome, now) {
                    self.serve_waiting(|ask| ask.service == service, now);
                }
            }
            DispatchEvent::Said {
                backend,
                word,
                sent,
            } => self.on_own_word(&backend, word, sent, now),
            DispatchEvent::Dealt {
                backend,
                asked,
                answer,
            } => {
                self.on_dealt(&backend, asked, answer, now);
                let held = self
                    .backends
                    .get(&backend)
                    .map(|b| b.listed.service.clone());
                self.serve_waiting(|ask| Some(&ask.service) == held.as_ref(), now);
            }
            DispatchEvent::Viewed { .. } | DispatchEvent::Figures { .. }
                if !self.settings.mechanisms.sidecar_views => {}
            DispatchEvent::Viewed { addr, view } => {
                let news = self.on_view(addr, view, now);
                if !news.is_empty() {
                    self.serve_waiting(|ask| news.concerns(ask), now);
                }
            }
            DispatchEvent::Figures { backend, figures } => self.on_figures(&backend, figures, now),
            DispatchEvent::Listed { version, list } => {
                self.on_list(version, list, now);
                self.serve_waiting(|_| true, now);
            }
            DispatchEvent::Configured(table) => {
                self.table = table;
                self.serve_waiting(|_| true, now);
            }
            DispatchEvent::Evacuated(zones) => {
                self.evacuated = zones;
                self.serve_waiting(|_| true, now);
            }
            DispatchEvent::Tuned(settings) => self.on_settings(settings),
            DispatchEvent::ViewLost(backend) => self.on_view_lost(&backend, now),
            DispatchEvent::Demanded { addr, is_taken } => self.on_demanded(addr, is_taken),
            DispatchEvent::Versioned { adapter, version } => self.on_version(adapter, version, now),
            DispatchEvent::Tick => {
                self.serve_waiting(|_| true, now);
            }
        }
        std::mem::take(&mut self.decided)
    }

    /// what engines were asked to load since the last call, for logs
    pub fn take_wished(&mut self) -> Vec<Wished> {
        std::mem::take(&mut self.wished)
    }
    /// engines that ended under runs since the last call
    pub fn take_crashes(&mut self) -> Vec<EngineCrash> {
        self.crashes.take_crashes()
    }
    /// requests that were run to their end since the last call
    pub fn take_served(&mut self) -> Vec<RequestDigest> {
        std::mem::take(&mut self.served)
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
            budget.set_bounds(settings.budget);
        }
        self.settings = settings;
    }

    fn on_asked(&mut self, ticket: Ticket, mut ask: Ask, now: Instant) {
        ask.turn = self.turns.next(ask.account, ask.prompt_tokens);
        let entries = self.budget_entries();
        let budget = self.budgets.entry(ask.service.clone());
        let bounds = self.settings.budget;
        let budget = budget.or_insert_with(|| SharedBudget::new(bounds, self.began_anew));
        match ask.sends {
            0 => budget.on_request(now),
            _ if !budget.take(entries, now) => {
                let cause = RefusalCause::NoBudget;
                let basis = self.basis(&ask, now);
                self.refuse(ticket, cause, MIN_RETRY_AFTER, basis);
                return;
            }
            _ => {}
        }
        let (service, adapter) = (ask.service.clone(), ask.adapter.clone());
        self.waiting.put(ticket, ask);
        // those that wait for the same go first
        self.serve_waiting(|a| a.service == service && a.adapter == adapter, now);
    }

    /// The back end itself knows that it leaves before its record does: where the store is
    /// silent, its answers are all that says so. It alone knows how long it needs, too: tried
    /// each 60 ms, the repeats of a service were used up within 2 s.
    pub(super) fn note_own_word(&mut self, backend: &BackendId, word: OwnWord, now: Instant) {
        self.own_words.on_word(backend, word, now);
        let rests_until = self.own_words.rests_until(backend, now);
        if let Some(state) = self.backends.get_mut(backend) {
            state.says_leaving |= word.is_leaving;
            state.rest.set_until(rests_until);
        }
    }

    /// an answer to a request that was sent then says this of its back end
    fn on_own_word(&mut self, backend: &BackendId, word: OwnWord, sent: Instant, now: Instant) {
        self.note_own_word(backend, word, now);
        self.on_limit_word(backend, (word.limit, sent), now);
        if let Some(left) = word.cold {
            self.on_cold_told(backend, left, now);
        }
    }

    fn on_started(&mut self, ticket: Ticket, now: Instant) {
        let Some((backend, service, sent)) = self.sent.get_mut(&ticket) else {
            return;
        };
        if sent.started {
            return;
        }
        if let Some(state) = self.backends.get_mut(backend) {
            state.on_started(sent);
            if sent.is_trial {
                state.rest.on_trial_started(now);
            }
        }
        if sent.read_alone {
            let took = now.saturating_duration_since(sent.at);
            let rate = self.rates.entry(service.clone()).or_default();
            rate.on_read_alone(sent.prompt_tokens, took.as_secs_f64() * 1_000.0);
        }
        sent.started = true;
        if let (Some(state), Some(adapter)) = (self.backends.get_mut(backend), &sent.adapter) {
            if state.sight.on_ran(adapter, now) {
                self.bring_time.on_there();
            }
        }
    }

    /// gives the service whose back end has a free place now
    fn on_ended(
        &mut self,
        ticket: Ticket,
        outcome: SendOutcome,
        now: Instant,
    ) -> Option<ServiceName> {
        let (backend, service, sent) = self.sent.remove(&ticket)?;
        let Some(state) = self.backends.get_mut(&backend) else {
            return Some(service);
        };
        state.on_ended(&sent);
        if sent.is_trial {
            state.rest.on_trial_ended(outcome, now);
        }
        match outcome {
            SendOutcome::Answered => {
                state.health.on_success(now);
                self.last_heard = Some(now);
                self.served.push(sent.digest);
            }
            SendOutcome::Shed => state.on_full(now),
            SendOutcome::Misdirected => match &sent.adapter {
                Some(adapter) => {
                    if state.on_refused(adapter, now) {
                        self.bring_time.on_early();
                    }
                }
                // it lacks the base model
                None => state.on_full(now),
            },
            SendOutcome::Superseded => {
                state.is_superseded = true;
                self.crashes.on_engine_ended(&backend, now);
            }
            SendOutcome::Unreachable => state.health.on_unreachable(now),
            SendOutcome::Failed => state.health.on_failure(now),
            SendOutcome::Broken => {
                state.health.on_failure(now);
                // what breaks off while an engine leaves is its planned end
                if !state.is_leaving() {
                    self.crashes.on_interrupted_run(&backend, sent.digest, now);
                }
            }
            SendOutcome::Abandoned => {}
        }
        let is_idle_and_gone = state.is_gone && state.in_flight == 0;
        if is_idle_and_gone && self.has_listed(&service) {
            if let Some(state) = self.backends.remove(&backend) {
                self.own_words.keep_limit(&backend, &state.limit, now);
            }
        }
        Some(service)
    }

    /// give back ends to those of the requests that wait, in order, and refuse
    /// those whose wait is over; gives how many wait for each limited back end, and the
    /// priority of the most urgent
    pub(super) fn serve_waiting(
        &mut self,
        is_concerned: impl Fn(&Ask) -> bool,
        now: Instant,
    ) -> HashMap<BackendId, (u32, u8)> {
        let mut ahead = HashMap::new();
        for ticket in self.waiting.tickets(is_concerned) {
            let Some(ask) = self.waiting.take(ticket) else {
                continue;
            };
            match self.choose(&ask, now) {
                Choice::Send(assignment) => self.send(ticket, ask, assignment, now),
                Choice::Wait(RefusalCause::Limited) => {
                    self.wait_for_limited(ticket, ask, &mut ahead, now);
                }
                Choice::Wait(cause) => self.wait_or_refuse(ticket, ask, cause, now),
            }
        }
        self.note_wanted(&ahead, false);
        ahead
    }

    fn send(&mut self, ticket: Ticket, ask: Ask, assignment: Assignment, now: Instant) {
        self.turns.on_served(ask.turn);
        if ask.sends > 0 {
            if let Some(budget) = self.budgets.get_mut(&ask.service) {
                budget.on_repeat(now);
            }
        }
        let unread = self.backends.get(&assignment.backend);
        let unread = unread.map_or(0, |b| b.unread(now));
        if ask.prompt_tokens > 0 {
            let rate = self.rates.entry(ask.service.clone()).or_default();
            rate.on_sent(ask.prompt_tokens);
        }
        let state = self.backends.get_mut(&assignment.backend);
        let is_trial = state.is_some_and(|state| state.rest.on_sent());
        let sent = Sent {
            is_trial,
            digest: ask.digest,
            is_suspected: ask.is_suspected,
            adapter: ask.adapter,
            prompt_tokens: ask.prompt_tokens,
            at: now,
            started: false,
            read_alone: unread == 0,
        };
        if let Some(state) = self.backends.get_mut(&assignment.backend) {
            state.on_sent(&sent);
        }
        let backend = assignment.backend.clone();
        self.sent.insert(ticket, (backend, ask.service, sent));
        self.decided.push((ticket, Decision::Send(assignment)));
    }

    pub(super) fn budget_standing(&self, service: &ServiceName) -> BudgetStanding {
        let budget = self.budgets.get(service);
        budget.map_or_else(BudgetStanding::default, |b| {
            b.standing(self.budget_entries())
        })
    }

    /// entries of the fleet, as the sidecars count them
    pub fn counted_entries(&self) -> Option<u32> {
        let views = self.backends.values().filter_map(|b| b.view.as_ref());
        let counted = views.map(|v| v.figures.entries).max();
        counted.filter(|n| *n > 0)
    }
    /// The same; where none has counted them, this one alone: it can't tell what others wait
    /// for, and homes for eight entries had twice the adapters brought that were needed.
    pub fn entry_count(&self) -> u32 {
        self.counted_entries().unwrap_or(1)
    }

    /// Entries that share the budgets. Copies and homes go by the count of the moment: one
    /// that is too high for a while would have adapters loaded that nobody waits for.
    fn budget_entries(&self) -> u32 {
        self.fleet_size.entries().unwrap_or(ENTRIES_UNKNOWN)
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
