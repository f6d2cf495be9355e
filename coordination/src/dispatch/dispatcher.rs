use {
    super::{
        backend_signal_tracker::BackendSignalTracker, choice::Choice, decision::MIN_RETRY_AFTER,
        expected_return::ExpectedReturn, list_source::ListSource, pending_load::PendingLoad,
        reported_incarnation::ReportedIncarnation, service_performance::ServicePerformance,
        turn_wait::TurnWait, waiting_list::WaitingList, AccountFairQueueing, AdapterVersions,
        AdmissionOrder, Assignment, BackendState, BudgetUsage, Decision, DispatchEvent,
        DispatchRequest, DispatchSettings, FleetSize, InFlightRequest, LoadDelay, PrefillRate,
        RejectionCause, RequestedLoad, SharedRetryBudget, Ticket,
    },
    crate::{
        backend_performance::{EnginePerformance, SettledRate},
        backend_signals::BackendSignals,
        crashes::{CrashDetector, EngineCrash, InterruptedRun},
    },
    chalkcart_state::{
        backends::{AdapterRef, Backend, BackendId},
        ids::{ServiceName, ZoneName},
        ingress::{RequestDigest, RouteTable, Service},
        published::StorePosition,
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::Instant,
    },
};

/// Summary of one back end for logs and operators.
#[derive(Debug, Clone)]
pub struct BackendSummary {
    pub id: BackendId,
    /// Requests of this entry.
    pub in_flight: u32,
    /// Requests of all entries that run or wait there.
    pub occupied: u32,
    /// Number of adapters that its sidecar reports as loaded.
    pub held: usize,
    pub failure_rate: f64,
    /// How fast it is, by its own figures or those of its service; `None` if none are known.
    pub performance: Option<EnginePerformance>,
}

/// Chooses back ends for the requests of one entry.
pub struct Dispatcher {
    pub(super) settings: DispatchSettings,
    pub(super) backends: BTreeMap<BackendId, BackendState>,
    pub(super) list_position: StorePosition,
    pub(super) list_source: ListSource,
    pub(super) table: Arc<RouteTable>,
    pub(super) waiting: WaitingList,
    pub(super) fair_queueing: AccountFairQueueing,
    /// Priorities of the routes that compete for a service.
    pub(super) admission_order: AdmissionOrder,
    pub(super) in_flight: HashMap<Ticket, (BackendId, ServiceName, InFlightRequest)>,
    /// Prefill rates by service.
    pub(super) prefill_rates: HashMap<ServiceName, PrefillRate>,
    /// Median performance of each service's engines.
    pub(super) performance: ServicePerformance,
    pub(super) retry_budgets: HashMap<ServiceName, SharedRetryBudget>,
    pub(super) adapter_versions: AdapterVersions,
    /// Adapters that sidecars were requested to load.
    pub(super) pending_loads: HashMap<AdapterRef, PendingLoad>,
    /// Incarnations that sidecars reported, by engine address.
    pub(super) incarnations: HashMap<SocketAddr, ReportedIncarnation>,
    /// Whether `BackendState::is_replaced` must be computed again before it is used.
    pub(super) is_replaced_outdated: bool,
    /// Signals that back ends sent about themselves.
    pub(super) signals: BackendSignalTracker,
    /// Highest fence that a sidecar reported, by engine address.
    pub(super) fences: HashMap<SocketAddr, u64>,
    /// Loads requested since the last call of `take_requested_loads`.
    pub(super) requested_loads: Vec<RequestedLoad>,
    /// Time until an adapter is expected at an engine without a reporting sidecar.
    pub(super) load_delay: LoadDelay,
    /// Rejected requests that are expected to return once their adapter is loaded.
    pub(super) expected_returns: HashMap<AdapterRef, ExpectedReturn>,
    /// Engines whose sidecars must receive a new load request.
    pub(super) urgent_demands: HashSet<BackendId>,
    pub(super) decisions: Vec<(Ticket, Decision)>,
    /// Requests that wait for their turn at an engine.
    pub(super) turn_waits: BTreeMap<Ticket, TurnWait>,
    /// Of these, the ones since the last call of `take_turn_waits`.
    pub(super) new_turn_waits: Vec<(Ticket, TurnWait)>,
    /// Time of the last check of turns.
    pub(super) turns_checked_at: Option<Instant>,
    /// Zones whose back ends receive no requests.
    pub(super) evacuated_zones: HashSet<ZoneName>,
    /// Back ends that advertise a rate limit.
    pub(super) limited_backends: HashSet<BackendId>,
    /// Time of the last update of the limits.
    pub(super) limits_refreshed_at: Option<Instant>,
    /// Whether any engine was in slow start at the last check; avoids a scan of all engines
    /// at each event.
    pub(super) may_have_slow_start: bool,
    /// Attributes engine crashes to the requests that were running.
    pub(super) crashes: CrashDetector,
    /// Requests completed since the last call of `take_completed`.
    pub(super) completed: Vec<RequestDigest>,
    /// Start time of this process, if the fleet was already serving.
    restarted_at: Option<Instant>,
    pub(super) fleet_size: FleetSize,
    /// Number of engines in the list.
    pub(super) listed_engines: usize,
    /// Time of the last sidecar report or completed response.
    pub(super) last_report_at: Option<Instant>,
}

impl Dispatcher {
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            restarted_at: settings.restarted_at,
            fleet_size: FleetSize::default(),
            listed_engines: 0,
            settings,
            backends: BTreeMap::new(),
            list_position: StorePosition::default(),
            list_source: ListSource::default(),
            table: Arc::default(),
            waiting: WaitingList::default(),
            fair_queueing: AccountFairQueueing::default(),
            admission_order: AdmissionOrder::default(),
            in_flight: HashMap::new(),
            prefill_rates: HashMap::new(),
            performance: ServicePerformance::default(),
            retry_budgets: HashMap::new(),
            adapter_versions: AdapterVersions::default(),
            pending_loads: HashMap::new(),
            incarnations: HashMap::new(),
            is_replaced_outdated: false,
            signals: BackendSignalTracker::default(),
            fences: HashMap::new(),
            requested_loads: Vec::new(),
            load_delay: LoadDelay::default(),
            expected_returns: HashMap::new(),
            urgent_demands: HashSet::new(),
            decisions: Vec::new(),
            turn_waits: BTreeMap::new(),
            new_turn_waits: Vec::new(),
            turns_checked_at: None,
            evacuated_zones: HashSet::new(),
            limited_backends: HashSet::new(),
            limits_refreshed_at: None,
            may_have_slow_start: false,
            crashes: CrashDetector::default(),
            completed: Vec::new(),
            last_report_at: None,
        }
    }

    /// Handles an event and returns the decisions that follow from it.
    pub fn handle(&mut self, event: DispatchEvent, now: Instant) -> Vec<(Ticket, Decision)> {
        self.advance_slow_starts(now);
        self.refresh_limits(now);
        self.refresh_turns(now);
        match event {
            DispatchEvent::RequestArrived { ticket, request } => {
                self.on_request_arrived(ticket, request, now)
            }
            DispatchEvent::RequestWithdrawn(ticket) => {
                self.turn_waits.remove(&ticket);
                if let Some(request) = self.waiting.remove(ticket) {
                    self.on_not_sent(&request);
                }
            }
            DispatchEvent::HeadReceived(ticket) => self.on_head_received(ticket, now),
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
                let service = self
                    .backends
                    .get(&backend)
                    .map(|b| b.listed.service.clone());
                self.dispatch_waiting(|request| Some(&request.service) == service.as_ref(), now);
            }
            DispatchEvent::ViewReceived { .. } | DispatchEvent::StatsReceived { .. }
                if !self.settings.features.sidecar_views => {}
            DispatchEvent::ViewReceived { addr, view } => {
                let backend = view.backend.clone();
                let affected = self.on_view(addr, view, now);
                if !affected.is_empty() {
                    self.dispatch_waiting(|request| affected.includes(request), now);
                }
                self.refresh_turns_at(&backend, now);
            }
            DispatchEvent::StatsReceived { backend, stats } => {
                self.on_stats(&backend, stats, now);
                self.refresh_turns_at(&backend, now);
            }
            DispatchEvent::ListUpdated { at, list } => {
                self.on_list(at, list, now);
                self.count_listed_engines();
                self.dispatch_waiting(|_| true, now);
            }
            DispatchEvent::ListSourceChanged { is_available } => {
                self.list_source.set_available(is_available, now)
            }
            DispatchEvent::ConfigUpdated(table) => self.on_table(table, now),
            DispatchEvent::ZonesEvacuated(zones) => {
                self.evacuated_zones = zones;
                self.dispatch_waiting(|_| true, now);
            }
            DispatchEvent::SettingsUpdated(settings) => self.on_settings(settings, now),
            DispatchEvent::ViewLost(backend) => self.on_view_lost(&backend, now),
            DispatchEvent::DemandSent { addr, is_accepted } => {
                self.on_demand_sent(addr, is_accepted)
            }
            DispatchEvent::VersionAnnounced { adapter, version } => {
                self.on_version(adapter, version, Some(now), now)
            }
            DispatchEvent::VersionFound { adapter, version } => {
                self.on_version(adapter, version, None, now)
            }
            DispatchEvent::Tick => {
                self.refresh_performance(now);
                self.dispatch_waiting(|_| true, now);
            }
        }
        std::mem::take(&mut self.decisions)
    }

    /// Returns the position of the store at which the list in use was read.
    pub fn list_position(&self) -> StorePosition {
        self.list_position
    }
    /// Returns the loads requested since the last call, for logs.
    pub fn take_requested_loads(&mut self) -> Vec<RequestedLoad> {
        std::mem::take(&mut self.requested_loads)
    }
    /// Returns the engine crashes detected since the last call.
    pub fn take_crashes(&mut self) -> Vec<EngineCrash> {
        self.crashes.take_crashes()
    }
    /// Returns the requests completed since the last call.
    pub fn take_completed(&mut self) -> Vec<RequestDigest> {
        std::mem::take(&mut self.completed)
    }
    /// Returns the runs whose connection ended their response and whose engine turned out to have
    /// survived since the last call.
    pub fn take_survived_runs(&mut self) -> Vec<InterruptedRun> {
        self.crashes.take_completed()
    }
    pub fn has_urgent_demands(&self) -> bool {
        !self.urgent_demands.is_empty()
    }
    /// Returns whether any back end was reachable recently; an entry that is cut off should
    /// receive no clients.
    pub fn can_reach_backends(&self, now: Instant) -> bool {
        let Some(reported_at) = self.last_report_at else {
            // without any report so far, the list alone has to do
            return true;
        };
        now.saturating_duration_since(reported_at) < self.settings.disconnected_after
    }
    /// Returns whether a request waits for its decision.
    pub fn is_waiting(&self, ticket: Ticket) -> bool {
        self.waiting.contains(ticket)
    }
    /// Returns the number of requests that wait in this entry.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }
    pub fn backend_summaries(&self, now: Instant) -> Vec<BackendSummary> {
        let summaries = self.backends.values().map(|b| BackendSummary {
            id: b.listed.id.clone(),
            in_flight: b.in_flight,
            occupied: b.occupied(now),
            held: b.view.as_ref().map_or(0, |v| v.held.len()),
            failure_rate: b.health.failure_rate(now),
            performance: self.performance(b),
        });
        summaries.collect()
    }

    fn on_settings(&mut self, settings: DispatchSettings, now: Instant) {
        for budget in self.retry_budgets.values_mut() {
            budget.update_settings(settings.budget, now);
        }
        self.settings = settings;
        self.performance = ServicePerformance::default();
        for state in self.backends.values_mut() {
            state.home_rate = SettledRate::default();
        }
    }

    fn on_request_arrived(&mut self, ticket: Ticket, mut request: DispatchRequest, now: Instant) {
        // where all routes have one priority, requests are ordered as without shares
        request.is_beyond_share &= self.admission_order.rank(&request).is_some();
        request.start_tag = self
            .fair_queueing
            .next_start_tag(request.account, request.prompt_tokens);
        let entries = self.sharing_entries(now);
        let budget = self.retry_budgets.entry(request.service.clone());
        let settings = self.settings.budget;
        let budget = budget.or_insert_with(|| SharedRetryBudget::new(settings, self.restarted_at));
        match request.send_count {
            0 => budget.on_request(now),
            _ if !budget.try_reserve(entries, now) => {
                let cause = RejectionCause::RetryBudgetExhausted;
                let inputs = self.decision_inputs(&request, now);
                // no reservation of the budget to release
                self.fair_queueing
                    .on_withdrawn(request.account, request.prompt_tokens);
                self.reject(ticket, cause, MIN_RETRY_AFTER, inputs);
                return;
            }
            _ => {}
        }
        let (service, adapter) = (request.service.clone(), request.adapter.clone());
        self.waiting.insert(ticket, request);
        // requests that wait for the same adapter go first
        self.dispatch_waiting(|a| a.service == service && a.adapter == adapter, now);
    }

    /// Records what a back end reports about itself. It may announce that it is leaving
    /// before its record in the registry does, and it alone knows how long it needs to
    /// recover. When such back ends were tried each 60 ms, the retries of a service were used up
    /// within 2 s.
    pub(super) fn record_signal(
        &mut self,
        backend: &BackendId,
        signal: BackendSignals,
        now: Instant,
    ) {
        self.signals.on_signal(backend, signal, now);
        let backoff_until = self.signals.backoff_until(backend, now);
        if let Some(state) = self.backends.get_mut(backend) {
            state.has_announced_leaving |= signal.is_leaving;
            state.backoff.set_until(backoff_until);
        }
    }

    /// Handles a signal in the response to a request that was sent at `sent_at`.
    fn on_signal(
        &mut self,
        backend: &BackendId,
        signal: BackendSignals,
        sent_at: Instant,
        now: Instant,
    ) {
        self.record_signal(backend, signal, now);
        self.on_limit_signal(backend, (signal.limit, sent_at), now);
        if let Some(left) = signal.slow_start_left {
            self.on_slow_start(backend, left, now);
        }
    }

    /// Sends waiting requests in order and rejects those whose wait is over. Returns, for
    /// each rate-limited back end, the number of requests that wait for it and the priority
    /// of the most urgent one.
    pub(super) fn dispatch_waiting(
        &mut self,
        is_affected: impl Fn(&DispatchRequest) -> bool,
        now: Instant,
    ) -> HashMap<BackendId, (u32, u8)> {
        let tickets = self.waiting.tickets(is_affected);
        self.dispatch_tickets(tickets, now)
    }

    /// Does the same for these waiting requests, in the given order.
    pub(super) fn dispatch_tickets(
        &mut self,
        tickets: Vec<Ticket>,
        now: Instant,
    ) -> HashMap<BackendId, (u32, u8)> {
        let mut ahead = HashMap::new();
        if !tickets.is_empty() {
            self.refresh_replaced();
            self.refresh_performance(now);
        }
        for ticket in tickets {
            let Some(request) = self.waiting.remove(ticket) else {
                continue;
            };
            let turn_since = self.turn_waits.remove(&ticket).map(|wait| wait.since);
            match self.choose(&request, now) {
                Choice::Send(mut assignment) => {
                    if let (Some(pacing), Some(since)) = (&mut assignment.inputs.pacing, turn_since)
                    {
                        pacing.turn_waited = now.saturating_duration_since(since);
                    }
                    self.send(ticket, request, *assignment, now)
                }
                Choice::WaitForTurn(wait) => self.wait_for_turn(ticket, request, *wait, turn_since),
                Choice::Wait(RejectionCause::RateLimited) => {
                    self.wait_for_rate_limit(ticket, request, &mut ahead, now);
                }
                Choice::Wait(cause) => self.wait_or_reject(ticket, request, cause, now),
            }
        }
        self.set_waiting_counts(&ahead, false);
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
                budget.on_retry_sent();
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
            self.admission_order
                .on_sent(&request.service, request.priority, request.prompt_tokens);
        }
        let state = self.backends.get_mut(&assignment.backend);
        let is_probe = state.is_some_and(|state| state.backoff.on_request_sent());
        let sent = InFlightRequest {
            is_probe,
            is_unanswered_retry: request.send_count > 0,
            earlier_unread_until: request.earlier_unread_until,
            digest: request.digest,
            shared_parts: request.shared_parts,
            is_crash_suspect: request.is_crash_suspect,
            has_progress: request.has_progress,
            adapter: request.adapter,
            prompt_tokens: request.prompt_tokens,
            sent_at: now,
            head_at: None,
            started_at: None,
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

    pub(super) fn budget_usage(&self, service: &ServiceName, now: Instant) -> BudgetUsage {
        let budget = self.retry_budgets.get(service);
        let usage = budget.map_or_else(BudgetUsage::default, |budget| budget.usage(now));
        let counted = self.fleet_size.current();
        BudgetUsage {
            entries: self.sharing_entries(now),
            known: self.fleet_size.known(now),
            counted_by: counted.map(|count| count.by),
            counted_ago: counted.map(|count| now.saturating_duration_since(count.at)),
            ..usage
        }
    }
    /// Returns the usage of each service's retry budget, for logs and metrics.
    pub fn budget_usages(&self, now: Instant) -> Vec<(ServiceName, BudgetUsage)> {
        let services = self.table.services.keys();
        services
            .map(|service| (service.clone(), self.budget_usage(service, now)))
            .collect()
    }

    /// Returns the number of entries that sidecars report.
    pub fn reported_entry_count(&self) -> Option<u32> {
        let views = self.backends.values().filter_map(|b| b.view.as_ref());
        let reported = views.map(|v| v.figures.entries).max();
        reported.filter(|n| *n > 0)
    }
    /// Returns the number of entries, or 1 until a sidecar reports it: too high a number
    /// would load adapters that no request waits for.
    pub fn entry_count(&self) -> u32 {
        self.reported_entry_count().unwrap_or(1)
    }

    /// Returns the configuration of a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.table.services.get(name)
    }
    /// Returns the back ends of the current list.
    pub fn listed_backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends
            .values()
            .filter(|b| !b.is_unlisted)
            .map(|b| &b.listed)
    }
}
