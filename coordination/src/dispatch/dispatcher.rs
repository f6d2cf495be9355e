use {
    super::{
        backend_signal_tracker::BackendSignalTracker, backend_updates::ReportedIncarnation,
        expected_returns::ExpectedReturn, pending_loads::PendingLoad, rejection::MIN_RETRY_AFTER,
        selection::Choice, waiting_list::WaitingList, AccountFairQueueing, AdapterVersions,
        Assignment, BackendState, BudgetUsage, Decision, DispatchEvent, DispatchRequest,
        DispatchSettings, FleetSize, InFlightRequest, LoadDelay, PrefillRate, RejectionCause,
        RequestedLoad, SendOutcome, SharedRetryBudget, Ticket,
    },
    crate::{
        crashes::{Crash, CrashEvidence},
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
const DEFAULT_ENTRY_COUNT: u32 = 8;

/// one back end, for logs and operators
#[derive(Debug, Clone)]
pub struct BackendSummary {
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
    pub(super) fair_queueing: AccountFairQueueing,
    pub(super) in_flight: HashMap<Ticket, (BackendId, ServiceName, InFlightRequest)>,
    /// how fast prompts are read, by service
    pub(super) prefill_rates: HashMap<ServiceName, PrefillRate>,
    pub(super) retry_budgets: HashMap<ServiceName, SharedRetryBudget>,
    pub(super) adapter_versions: AdapterVersions,
    /// adapters that engines were asked to load
    pub(super) pending_loads: HashMap<AdapterRef, PendingLoad>,
    /// what the sidecars say of the lives of engines, by the engine's address
    pub(super) incarnations: HashMap<SocketAddr, ReportedIncarnation>,
    /// what back ends say of themselves
    pub(super) signals: BackendSignalTracker,
    /// highest fences of the sidecars, by the address of their engine
    pub(super) fences: HashMap<SocketAddr, u64>,
    /// wishes since the last call of `take_wished`
    pub(super) requested_loads: Vec<RequestedLoad>,
    /// time until adapters come that sidecars were asked for which are not heard
    pub(super) load_delay: LoadDelay,
    /// requests that were told to come back for an adapter
    pub(super) expected_returns: HashMap<AdapterRef, ExpectedReturn>,
    /// engines whose sidecars must hear of a new wish
    pub(super) urgent_demands: HashSet<BackendId>,
    pub(super) decisions: Vec<(Ticket, Decision)>,
    /// zones whose back ends are to be sent nothing
    pub(super) evacuated_zones: HashSet<ZoneName>,
    /// back ends that name a limit
    pub(super) limited_backends: HashSet<BackendId>,
    /// when their limits were last shared anew
    pub(super) limits_refreshed_at: Option<Instant>,
    /// an engine was cold when this was looked at last: with thousands of engines a look at
    /// each event would cost as much as a decision
    pub(super) may_have_slow_start: bool,
    /// which runs the ends of engines belong to
    pub(super) crashes: CrashEvidence,
    /// requests that were served since the last call of `take_served`
    completed: Vec<RequestDigest>,
    /// when this process began, if the fleet served before
    restarted_at: Option<Instant>,
    pub(super) fleet_size: FleetSize,
    /// when a sidecar spoke or a back end answered
    pub(super) last_report_at: Option<Instant>,
}

impl Dispatcher {
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            restarted_at: settings.restarted_at,
            fleet_size: FleetSize::default(),
            settings,
            backends: BTreeMap::new(),
            list_version: 0,
            table: Arc::default(),
            waiting: WaitingList::default(),
            fair_queueing: AccountFairQueueing::default(),
            in_flight: HashMap::new(),
            prefill_rates: HashMap::new(),
            retry_budgets: HashMap::new(),
            adapter_versions: AdapterVersions::default(),
            pending_loads: HashMap::new(),
            incarnations: HashMap::new(),
            signals: BackendSignalTracker::default(),
            fences: HashMap::new(),
            requested_loads: Vec::new(),
            load_delay: LoadDelay::default(),
            expected_returns: HashMap::new(),
            urgent_demands: HashSet::new(),
            decisions: Vec::new(),
            evacuated_zones: HashSet::new(),
            limited_backends: HashSet::new(),
            limits_refreshed_at: None,
            may_have_slow_start: false,
            crashes: CrashEvidence::default(),
            completed: Vec::new(),
            last_report_at: None,
        }
    }

    /// take in what happened; gives what was decided by it
    pub fn handle(&mut self, event: DispatchEvent, now: Instant) -> Vec<(Ticket, Decision)> {
        self.advance_slow_starts(now);
        self.refresh_limits(now);
        match event {
            DispatchEvent::RequestArrived { ticket, request } => {
                self.on_request_arrived(ticket, request, now)
            }
            DispatchEvent::RequestWithdrawn(ticket) => {
                if let Some(request) = self.waiting.take(ticket) {
                    self.on_not_sent(&request);
                }
            }
            DispatchEvent::ResponseStarted(ticket) => self.on_response_started(ticket, now),
            DispatchEvent::SendEnded { ticket, outcome } => {
                if let Some(service) = self.on_request_ended(ticket, outcome, now) {
                    self.dispatch_waiting(|request| request.service == service, now);
                }
            }
            DispatchEvent::SignalReceived {
                backend,
                signal,
                sent_at,
            } => self.on_signal(&backend, signal, sent_at, now),
            DispatchEvent::PermitsReceived {
                backend,
                requested_at,
                response,
            } => {
                self.on_permits(&backend, requested_at, response, now);
                let held = self
                    .backends
                    .get(&backend)
                    .map(|b| b.listed.service.clone());
                self.dispatch_waiting(|request| Some(&request.service) == held.as_ref(), now);
            }
            DispatchEvent::ViewReceived { .. } | DispatchEvent::StatsReceived { .. }
                if !self.settings.features.sidecar_views => {}
            DispatchEvent::ViewReceived { addr, view } => {
                let affected = self.on_view(addr, view, now);
                if !affected.is_empty() {
                    self.dispatch_waiting(|request| affected.includes(request), now);
                }
            }
            DispatchEvent::StatsReceived { backend, stats } => self.on_stats(&backend, stats, now),
            DispatchEvent::ListUpdated { version, list } => {
                self.on_list(version, list, now);
                self.dispatch_waiting(|_| true, now);
            }
            DispatchEvent::ConfigUpdated(table) => {
                self.table = table;
                self.dispatch_waiting(|_| true, now);
            }
            DispatchEvent::ZonesEvacuated(zones) => {
                self.evacuated_zones = zones;
                self.dispatch_waiting(|_| true, now);
            }
            DispatchEvent::SettingsUpdated(settings) => self.on_settings(settings),
            DispatchEvent::ViewLost(backend) => self.on_view_lost(&backend, now),
            DispatchEvent::DemandSent { addr, is_accepted } => {
                self.on_demand_sent(addr, is_accepted)
            }
            DispatchEvent::VersionAnnounced { adapter, version } => {
                self.on_version(adapter, version, now)
            }
            DispatchEvent::Tick => {
                self.dispatch_waiting(|_| true, now);
            }
        }
        std::mem::take(&mut self.decisions)
    }

    /// what engines were asked to load since the last call, for logs
    pub fn take_requested_loads(&mut self) -> Vec<RequestedLoad> {
        std::mem::take(&mut self.requested_loads)
    }
    /// engines that ended under runs since the last call
    pub fn take_crashes(&mut self) -> Vec<Crash> {
        self.crashes.take_crashes()
    }
    /// requests that were run to their end since the last call
    pub fn take_completed(&mut self) -> Vec<RequestDigest> {
        std::mem::take(&mut self.completed)
    }
    pub fn has_urgent_demands(&self) -> bool {
        !self.urgent_demands.is_empty()
    }
    /// whether any back end was heard of lately; a process that is cut off
    /// should not be sent clients
    pub fn reaches_backends(&self, now: Instant) -> bool {
        let Some(heard) = self.last_report_at else {
            // nothing was ever heard: the list alone must do
            return true;
        };
        now.saturating_duration_since(heard) < self.settings.disconnected_after
    }
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }
    pub fn backend_summaries(&self, now: Instant) -> Vec<BackendSummary> {
        let rows = self.backends.values().map(|b| BackendSummary {
            id: b.listed.id.clone(),
            in_flight: b.in_flight,
            occupied: b.occupied(now),
            held: b.view.as_ref().map_or(0, |v| v.held.len()),
            failure_rate: b.health.failure_rate(now),
        });
        rows.collect()
    }

    fn on_settings(&mut self, settings: DispatchSettings) {
        for budget in self.retry_budgets.values_mut() {
            budget.update_settings(settings.budget);
        }
        self.settings = settings;
    }

    fn on_request_arrived(&mut self, ticket: Ticket, mut request: DispatchRequest, now: Instant) {
        request.start_tag = self
            .fair_queueing
            .next_start_tag(request.account, request.prompt_tokens);
        let entries = self.retry_budget_entries();
        let budget = self.retry_budgets.entry(request.service.clone());
        let bounds = self.settings.budget;
        let budget = budget.or_insert_with(|| SharedRetryBudget::new(bounds, self.restarted_at));
        match request.send_count {
            0 => budget.on_request(now),
            _ if !budget.try_reserve(entries, now) => {
                let cause = RejectionCause::RetryBudgetExhausted;
                let inputs = self.decision_inputs(&request, now);
                self.reject(ticket, cause, MIN_RETRY_AFTER, inputs);
                return;
            }
            _ => {}
        }
        let (service, adapter) = (request.service.clone(), request.adapter.clone());
        self.waiting.put(ticket, request);
        // those that wait for the same go first
        self.dispatch_waiting(|a| a.service == service && a.adapter == adapter, now);
    }

    /// The back end itself knows that it leaves before its record does: where the store is
    /// silent, its answers are all that says so. It alone knows how long it needs, too: tried
    /// each 60 ms, the repeats of a service were used up within 2 s.
    pub(super) fn record_signal(&mut self, backend: &BackendId, signal: OwnWord, now: Instant) {
        self.signals.on_signal(backend, signal, now);
        let backoff_until = self.signals.backoff_until(backend, now);
        if let Some(state) = self.backends.get_mut(backend) {
            state.has_announced_leaving |= signal.is_leaving;
            state.backoff.set_until(backoff_until);
        }
    }

    /// an answer to a request that was sent then says this of its back end
    fn on_signal(&mut self, backend: &BackendId, signal: OwnWord, sent: Instant, now: Instant) {
        self.record_signal(backend, signal, now);
        self.on_limit_signal(backend, (signal.limit, sent), now);
        if let Some(left) = signal.cold {
            self.on_slow_start(backend, left, now);
        }
    }

    fn on_response_started(&mut self, ticket: Ticket, now: Instant) {
        let Some((backend, service, sent)) = self.in_flight.get_mut(&ticket) else {
            return;
        };
        if sent.has_started {
            return;
        }
        if let Some(state) = self.backends.get_mut(backend) {
            state.on_response_started(sent);
            if sent.is_trial {
                state.backoff.on_trial_started(now);
            }
        }
        if sent.is_sole_prefill {
            let took = now.saturating_duration_since(sent.sent_at);
            let rate = self.prefill_rates.entry(service.clone()).or_default();
            rate.on_sole_prefill(sent.prompt_tokens, took.as_secs_f64() * 1_000.0);
        }
        sent.has_started = true;
        if let (Some(state), Some(adapter)) = (self.backends.get_mut(backend), &sent.adapter) {
            if state.observations.on_ran(adapter, now) {
                self.load_delay.on_adapter_present();
            }
        }
    }

    /// gives the service whose back end has a free place now
    fn on_request_ended(
        &mut self,
        ticket: Ticket,
        outcome: SendOutcome,
        now: Instant,
    ) -> Option<ServiceName> {
        let (backend, service, sent) = self.in_flight.remove(&ticket)?;
        let Some(state) = self.backends.get_mut(&backend) else {
            return Some(service);
        };
        state.on_request_ended(&sent);
        if sent.is_trial {
            state.backoff.on_trial_ended(outcome, now);
        }
        match outcome {
            SendOutcome::Answered => {
                state.health.on_success(now);
                self.last_report_at = Some(now);
                self.completed.push(sent.digest);
            }
            SendOutcome::Shed => state.on_saturated(now),
            SendOutcome::Misdirected => match &sent.adapter {
                Some(adapter) => {
                    if state.on_adapter_refused(adapter, now) {
                        self.load_delay.on_adapter_missing();
                    }
                }
                // it lacks the base model
                None => state.on_saturated(now),
            },
            SendOutcome::Superseded => {
                state.is_superseded = true;
                self.crashes.on_ended(&backend, now);
            }
            SendOutcome::Unreachable => state.health.on_unreachable(now),
            SendOutcome::Failed => state.health.on_failure(now),
            SendOutcome::Broken => {
                state.health.on_failure(now);
                // what breaks off while an engine leaves is its planned end
                if !state.is_leaving() {
                    self.crashes.on_broken(&backend, sent.digest, now);
                }
            }
            SendOutcome::Abandoned => {}
        }
        let is_idle_and_gone = state.is_unlisted && state.in_flight == 0;
        if is_idle_and_gone && self.has_listed(&service) {
            if let Some(state) = self.backends.remove(&backend) {
                self.signals.keep_limit(&backend, &state.limit, now);
            }
        }
        Some(service)
    }

    /// give back ends to those of the requests that wait, in order, and refuse
    /// those whose wait is over; gives how many wait for each limited back end, and the
    /// priority of the most urgent
    pub(super) fn dispatch_waiting(
        &mut self,
        is_affected: impl Fn(&DispatchRequest) -> bool,
        now: Instant,
    ) -> HashMap<BackendId, (u32, u8)> {
        let mut ahead = HashMap::new();
        for ticket in self.waiting.tickets(is_affected) {
            let Some(request) = self.waiting.take(ticket) else {
                continue;
            };
            match self.choose(&request, now) {
                Choice::Send(assignment) => self.send(ticket, request, assignment, now),
                Choice::Wait(RejectionCause::RateLimited) => {
                    self.wait_for_rate_limit(ticket, request, &mut ahead, now);
                }
                Choice::Wait(cause) => self.wait_or_reject(ticket, request, cause, now),
            }
        }
        self.set_wanted_permits(&ahead, false);
        ahead
    }

    fn send(
        &mut self,
        ticket: Ticket,
        request: DispatchRequest,
        assignment: Assignment,
        now: Instant,
    ) {
        self.fair_queueing.on_served(request.start_tag);
        if request.send_count > 0 {
            if let Some(budget) = self.retry_budgets.get_mut(&request.service) {
                budget.on_retry_sent(now);
            }
        }
        let pending_prefills = self.backends.get(&assignment.backend);
        let pending_prefills = pending_prefills.map_or(0, |b| b.pending_prefills(now));
        if request.prompt_tokens > 0 {
            let rate = self
                .prefill_rates
                .entry(request.service.clone())
                .or_default();
            rate.on_sent(request.prompt_tokens);
        }
        let state = self.backends.get_mut(&assignment.backend);
        let is_trial = state.is_some_and(|state| state.backoff.on_sent());
        let sent = InFlightRequest {
            is_trial,
            digest: request.digest,
            is_crash_suspect: request.is_crash_suspect,
            adapter: request.adapter,
            prompt_tokens: request.prompt_tokens,
            sent_at: now,
            has_started: false,
            is_sole_prefill: pending_prefills == 0,
        };
        if let Some(state) = self.backends.get_mut(&assignment.backend) {
            state.on_sent(&sent);
        }
        let backend = assignment.backend.clone();
        self.in_flight
            .insert(ticket, (backend, request.service, sent));
        self.decisions.push((ticket, Decision::Send(assignment)));
    }

    pub(super) fn budget_usage(&self, service: &ServiceName) -> BudgetUsage {
        let budget = self.retry_budgets.get(service);
        budget.map_or_else(BudgetUsage::default, |b| {
            b.usage(self.retry_budget_entries())
        })
    }

    /// entries of the fleet, as the sidecars count them
    pub fn reported_entry_count(&self) -> Option<u32> {
        let views = self.backends.values().filter_map(|b| b.view.as_ref());
        let counted = views.map(|v| v.figures.entries).max();
        counted.filter(|n| *n > 0)
    }
    /// The same; where none has counted them, this one alone: it can't tell what others wait
    /// for, and homes for eight entries had twice the adapters brought that were needed.
    pub fn entry_count(&self) -> u32 {
        self.reported_entry_count().unwrap_or(1)
    }

    /// Entries that share the budgets. Copies and homes go by the count of the moment: one
    /// that is too high for a while would have adapters loaded that nobody waits for.
    fn retry_budget_entries(&self) -> u32 {
        self.fleet_size.entries().unwrap_or(DEFAULT_ENTRY_COUNT)
    }

    /// the configuration of a service
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.table.services.get(name)
    }
    /// a back end as it was last listed
    pub fn listed_backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends
            .values()
            .filter(|b| !b.is_unlisted)
            .map(|b| &b.listed)
    }
}
