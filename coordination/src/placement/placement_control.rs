use {
    super::{
        adapter_hash, DemandTable, EngineOrder, EngineReport, FenceToken, LoadTimeEstimator,
        OrderAnswer, OrderCount, OrderKind, PlacementSettings, RecentAdapters,
    },
    crate::{
        backend_admission::EngineLimit,
        backend_performance::{PerformanceChange, PerformanceEstimator, PublishedPerformance},
        backend_signals::{BackendSignals, RequestRate},
        membership::EntryCountMemory,
    },
    chalkcart_protocol::peer::{
        AdapterDemand, AdmissionReport, AdmissionResponse, EngineStats, EngineView,
    },
    chalkcart_state::{
        backends::{AdapterRef, BackendId, BackendName},
        spans::later,
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Interval between reads of the engine while it loads adapters.
const LOADING_READ_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between reads of the engine otherwise.
const IDLE_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Age from which a report is discarded. The engine is read each 100 ms and each call ends within
/// 500 ms, so an older report means that this process or its machine was suspended.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// An input of `PlacementControl`.
#[derive(Debug)]
pub enum PlacementEvent {
    Demand(AdapterDemand),
    /// The engine was read.
    Report(EngineReport),
    /// The engine could not be read.
    ReportFailed {
        /// Whether nothing listens at the engine's address.
        is_down: bool,
    },
    /// The engine's response to an identity request, with its name if it gave one.
    Identified(Option<BackendName>),
    OrderAnswered {
        order: EngineOrder,
        answer: OrderAnswer,
    },
    /// Signals about the engine's state, received with any of its responses.
    Signals(BackendSignals),
}

/// What the process must do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementAction {
    /// Request the engine's identity at this path.
    Identify { health_path: String },
    /// Send this order.
    Order(EngineOrder),
    /// Read the engine at the latest after this time.
    Read { after: Duration },
    /// Send nothing to the engine for this time.
    BackOff { remaining: Duration },
}

/// A slot of the engine that holds an adapter.
#[derive(Debug, Clone)]
pub(super) struct OccupiedSlot {
    pub(super) version: u64,
    pub(super) last_used: Instant,
    /// When a newer version became known.
    pub(super) outdated_since: Option<Instant>,
    /// Whether the load of the newest version was ordered.
    pub(super) is_replacing: bool,
}

/// Decides which adapters one engine holds.
///
/// One task sends one order at a time and reads the engine after each, so that no report
/// is older than the last completed order.
pub struct PlacementControl {
    pub(super) settings: PlacementSettings,
    fence: FenceToken,
    backend: BackendId,
    /// Whether the engine confirmed its name in its current incarnation.
    is_identified: bool,
    identity_requested_at: Option<Instant>,
    pub(super) demands: DemandTable,
    entry_counts: EntryCountMemory,
    pub(super) slots: HashMap<AdapterRef, OccupiedSlot>,
    pub(super) report: EngineReport,
    /// Whether `report` is recent and describes the current incarnation.
    is_report_valid: bool,
    read_at: Option<Instant>,
    /// The incarnation after which nothing listened at the engine's address.
    ended: Option<BackendId>,
    /// When orders that failed may be retried.
    pub(super) retry_at: HashMap<OrderKind, Instant>,
    order_count: OrderCount,
    /// Whether the engine has signalled that it is leaving.
    pub(super) is_engine_leaving: bool,
    /// End of the back-off that the engine requested from this machine.
    backoff_until: Option<Instant>,
    /// The request limit that the engine advertises.
    pub(super) limit: EngineLimit,
    /// End of the slow start that the engine signalled.
    slow_start_until: Option<Instant>,
    pub(super) model_ordered_at: Option<Instant>,
    load_times: LoadTimeEstimator,
    recent: RecentAdapters,
    /// How fast the current incarnation is.
    performance: PerformanceEstimator,
}

impl PlacementControl {
    /// `clock_ms` is the time of day, in ms since the Unix epoch.
    pub fn new(settings: PlacementSettings, clock_ms: u64) -> Self {
        Self {
            settings,
            fence: FenceToken::new(clock_ms),
            backend: BackendId::default(),
            is_identified: false,
            identity_requested_at: None,
            demands: DemandTable::default(),
            entry_counts: EntryCountMemory::default(),
            slots: HashMap::new(),
            report: EngineReport::default(),
            is_report_valid: false,
            read_at: None,
            ended: None,
            retry_at: HashMap::new(),
            order_count: OrderCount::default(),
            is_engine_leaving: false,
            backoff_until: None,
            limit: EngineLimit::default(),
            slow_start_until: None,
            model_ordered_at: None,
            load_times: LoadTimeEstimator::default(),
            recent: RecentAdapters::default(),
            performance: PerformanceEstimator::default(),
        }
    }

    pub fn handle(&mut self, event: PlacementEvent, now: Instant) {
        match event {
            PlacementEvent::Demand(demand) => self.on_demand(demand, now),
            PlacementEvent::Report(report) => self.on_report(report, now),
            PlacementEvent::ReportFailed { is_down } => self.on_report_failed(is_down),
            PlacementEvent::Identified(backend) => self.on_identified(backend, now),
            PlacementEvent::OrderAnswered { order, answer } => {
                self.on_order_answered(order, answer, now)
            }
            PlacementEvent::Signals(signals) => self.on_signals(signals, now),
        }
    }

    /// Returns what the process must do next.
    pub fn next_action(&mut self, now: Instant) -> PlacementAction {
        self.discard_old_report(now);
        self.demands.expire(self.settings.entry_timeout, now);
        self.entry_counts
            .on_count(self.demands.heard_entry_count(), now);
        self.retry_at.retain(|_, at| *at > now);
        if let Some(remaining) = self.backoff_remaining(now) {
            return PlacementAction::BackOff { remaining };
        }
        if let Some(health_path) = self.identity_due(now) {
            self.identity_requested_at = Some(now);
            return PlacementAction::Identify { health_path };
        }
        let may_order = self.order_count.is_current(now);
        if self.is_report_valid && may_order && !self.backend.is_empty() {
            if let Some(kind) = self.next_order(now) {
                return PlacementAction::Order(EngineOrder {
                    kind,
                    backend: self.backend.clone(),
                    fence: self.fence.value(),
                    expected_count: self.order_count.reported(),
                });
            }
        }
        let is_loading = !self.report.loading.is_empty() || self.is_replacing();
        let after = match is_loading || !self.is_report_valid || !may_order {
            true => LOADING_READ_INTERVAL,
            false => IDLE_READ_INTERVAL,
        };
        PlacementAction::Read { after }
    }

    /// Returns the state of the engine that is published to entries.
    pub fn view(&self, now: Instant) -> EngineView {
        let performance = match self.settings.features.engine_performance {
            true => self.performance.published(),
            false => PublishedPerformance::default(),
        };
        let stats = EngineStats {
            fence: self.fence.value(),
            next_load_ms: self
                .expected_load_delay(self.load_times.load_time(), now)
                .as_millis() as u32,
            next_return_ms: self
                .expected_load_delay(self.load_times.reload_time(), now)
                .as_millis() as u32,
            spare_slots: self.spare_slots(now),
            running: self.report.running,
            queued: self.report.queued,
            reading: self.report.prefilling,
            kv_used: self.report.kv_used,
            kv_total: self.report.kv_total,
            entries: self.demands.entry_count(),
            is_down: Some(self.ended.as_ref() == Some(&self.backend)),
            is_leaving: self.is_engine_leaving,
            limit_milli_per_s: self.limit.effective_rate(now).map(RequestRate::milli_per_s),
            cold_left_ms: self.slow_start_left_ms(now),
            event_interval_us: performance.event_interval_us,
            prefill_tokens_per_s: performance.prefill_tokens_per_s,
            // a report has no prompt sizes of runs in prefill and of most queued requests
            prefill_tokens: None,
            known_entries: self.entry_counts.known(now),
            ..EngineStats::default()
        };
        let mut view = EngineView {
            backend: self.backend.clone(),
            models: self.report.models.clone(),
            loading: self.report.loading.clone(),
            held: Vec::new(),
            lately: self.recent.hashes().collect(),
            figures: stats,
        };
        let held = self.report.held.iter();
        let ready = held.filter(|h| {
            let slot = self.slots.get(&h.adapter);
            !slot.is_some_and(|s| s.is_replacing)
        });
        view.held = ready.cloned().collect();
        view.held.sort_by(|a, b| a.adapter.cmp(&b.adapter));
        view
    }

    /// Returns whether an order loads an adapter that the engine held recently, which takes no
    /// load from the weight store while the engine has it in host memory.
    pub fn is_reload(&self, order: &OrderKind) -> bool {
        match order {
            OrderKind::LoadAdapter(adapter) => self.recent.contains(adapter_hash(adapter)),
            OrderKind::UnloadAdapter(_) | OrderKind::LoadModel(_) => false,
        }
    }

    pub fn backend(&self) -> &BackendId {
        &self.backend
    }

    /// Returns a change of the published performance by more than a quarter since the last call,
    /// for logs.
    pub fn take_performance_change(&mut self, now: Instant) -> Option<PerformanceChange> {
        let is_published = self.settings.features.engine_performance;
        is_published.then(|| self.performance.take_change(now))?
    }

    /// Applies the engine's signals. A requested back-off holds for everything that this
    /// machine sends to the engine: orders, reads and identity requests.
    fn on_signals(&mut self, signals: BackendSignals, now: Instant) {
        self.is_engine_leaving |= signals.is_leaving;
        self.limit.on_engine_signal(signals.limit, now);
        if let Some(left) = signals.slow_start_left {
            self.slow_start_until = Some(later(now, left));
        }
        if let Some(backoff) = signals.backoff {
            let until = later(now, backoff);
            self.backoff_until = Some(self.backoff_until.map_or(until, |known| known.max(until)));
        }
    }
    /// Records the limit that an entry observed and responds to its request for permits.
    pub fn on_admission_report(
        &mut self,
        report: &AdmissionReport,
        now: Instant,
    ) -> AdmissionResponse {
        self.limit.on_report(&self.backend, report, now)
    }
    fn slow_start_left_ms(&self, now: Instant) -> u16 {
        let until = self.slow_start_until;
        let left = until.map(|at| at.saturating_duration_since(now));
        let left = left.map_or(0, |left| left.as_millis());
        u16::try_from(left).unwrap_or(u16::MAX)
    }
    fn backoff_remaining(&self, now: Instant) -> Option<Duration> {
        let remaining = self.backoff_until?.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    fn on_demand(&mut self, demand: AdapterDemand, now: Instant) {
        self.fence.on_seen(demand.fence_seen);
        self.entry_counts.on_known(demand.known_entries, now);
        for used in &demand.used {
            if let Some(slot) = self.slots.get_mut(&used.adapter) {
                slot.last_used = now;
            }
        }
        for newer in &demand.outdated {
            if let Some(slot) = self.slots.get_mut(&newer.adapter) {
                if slot.version < newer.version {
                    slot.outdated_since.get_or_insert(now);
                }
            }
        }
        self.demands.insert(demand, now);
        let newest = self.demands.newest().map(|d| d.backend.clone());
        if newest.as_ref().is_some_and(|b| b.name != self.backend.name) {
            // the incarnation that requested the back-off may have ended
            self.backoff_until = None;
        }
        if let Some(backend) = newest.filter(|_| !self.is_identified) {
            self.set_name(backend.name);
        }
    }

    /// Returns the path to request the engine's identity at, if it is unconfirmed and the
    /// last request was not too recent.
    fn identity_due(&self, now: Instant) -> Option<String> {
        let requested = self.identity_requested_at;
        let interval = self.settings.identify_interval;
        let is_too_soon = requested.is_some_and(|at| now.saturating_duration_since(at) < interval);
        if self.is_identified || !self.is_report_valid || is_too_soon {
            return None;
        }
        let path = &self.demands.newest()?.health_path;
        (!path.is_empty()).then(|| path.clone())
    }

    fn on_identified(&mut self, name: Option<BackendName>, now: Instant) {
        self.identity_requested_at = Some(now);
        if let Some(name) = name {
            self.is_identified = true;
            if name == self.backend.name {
                self.ended = None;
            }
            // a new name invalidates the report: orders based on it could exceed the slots
            self.set_name(name);
        }
    }

    /// Discards a report from before a pause of this process, so that no order is based on
    /// it.
    fn discard_old_report(&mut self, now: Instant) {
        let age = self.read_at.map(|at| now.saturating_duration_since(at));
        if age.is_some_and(|age| age > MAX_REPORT_AGE) {
            self.is_report_valid = false;
            self.is_identified = false;
            self.read_at = None;
        }
    }

    /// Requires a new identification: the engine may return as another incarnation.
    fn on_report_failed(&mut self, is_down: bool) {
        if is_down && !self.backend.is_empty() {
            self.ended = Some(self.backend.clone());
        }
        self.is_report_valid = false;
        self.is_identified = false;
    }

    fn set_name(&mut self, name: BackendName) {
        if self.backend.name != name {
            self.backend.name = name;
            self.is_report_valid = false;
            self.reset_incarnation();
        }
    }

    /// Clears the state of the previous incarnation. The time of the last load of a base
    /// model is kept, so that an engine that restarts repeatedly does not overload the
    /// weight store.
    fn reset_incarnation(&mut self) {
        self.slots.clear();
        self.retry_at.clear();
        self.order_count = OrderCount::default();
        self.backoff_until = None;
        self.is_engine_leaving = false;
        self.limit = EngineLimit::default();
        self.slow_start_until = None;
        self.recent.clear();
        self.load_times.clear_ordered();
        self.performance = PerformanceEstimator::default();
    }

    /// Handles a restart of the engine. Reports are read in order, so that any other start
    /// time is a later incarnation, even a smaller one after the engine's clock was set
    /// back.
    fn on_restart(&mut self, start_time_ms: u64) {
        self.backend.start_time_ms = start_time_ms;
        self.is_identified = false;
        self.identity_requested_at = None;
        self.reset_incarnation();
    }

    fn on_report(&mut self, report: EngineReport, now: Instant) {
        if report.start_time_ms != self.backend.start_time_ms {
            self.on_restart(report.start_time_ms);
        }
        let mut slots = HashMap::with_capacity(report.held.len());
        for held in &report.held {
            let known = self.slots.get(&held.adapter);
            let same = known.filter(|s| s.version == held.version).cloned();
            let mut slot = same.unwrap_or(OccupiedSlot {
                version: held.version,
                last_used: now,
                outdated_since: None,
                is_replacing: false,
            });
            // the engine did not accept a replacement that it does not list
            slot.is_replacing &= report.loading.contains(&held.adapter);
            let newest = self.demands.newest_version(&held.adapter);
            if newest.is_some_and(|v| v > slot.version) {
                slot.outdated_since.get_or_insert(now);
            }
            slots.insert(held.adapter.clone(), slot);
        }
        if let Some(refused) = self.order_count.on_report(report.order_count) {
            self.retry_at.remove(&refused);
        }
        self.remember_evicted(&report);
        self.load_times.on_report(&report, now);
        self.performance.on_report(report.runs.as_deref(), now);
        self.slots = slots;
        self.report = report;
        self.is_report_valid = true;
        self.read_at = Some(now);
    }

    pub(super) fn max_concurrent_loads(&self) -> usize {
        let limit = self.settings.max_concurrent_loads;
        match self.settings.features.loads_by_speed {
            true => self.load_times.max_concurrent_loads(limit),
            false => limit,
        }
    }

    /// Remembers the adapters that the engine no longer holds, which it reloads quickly.
    fn remember_evicted(&mut self, report: &EngineReport) {
        let is_held = |adapter: &AdapterRef| report.held.iter().any(|h| h.adapter == *adapter);
        let evicted = self.slots.keys().filter(|adapter| !is_held(adapter));
        for adapter in evicted {
            self.recent.insert(adapter_hash(adapter));
        }
    }

    /// Returns the time until an adapter that is requested now would be loaded, if its own
    /// load takes `load_time`.
    fn expected_load_delay(&self, load_time: Duration, now: Instant) -> Duration {
        let wanted = self.demands.wanted();
        let missing = wanted.iter().filter(|w| {
            !self.slots.contains_key(&w.adapter) && !self.report.loading.contains(&w.adapter)
        });
        let loads_ahead = missing.count() + self.report.loading.len();
        let rounds = loads_ahead / self.settings.max_concurrent_loads.max(1);
        self.model_wait(now) + self.load_times.load_time() * rounds as u32 + load_time
    }

    /// Returns the time until the base model is loaded; zero if the engine holds a model.
    fn model_wait(&self, now: Instant) -> Duration {
        if !self.report.models.is_empty() {
            return Duration::ZERO;
        }
        let demand = self.demands.newest();
        let model = demand.and_then(|d| d.room.models.first());
        let reload = model.map_or(0, |m| u64::from(m.reload_ms));
        let ordered = self.model_ordered_at;
        let elapsed = ordered.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        Duration::from_millis(reload).saturating_sub(elapsed)
    }

    fn on_order_answered(&mut self, order: EngineOrder, answer: OrderAnswer, now: Instant) {
        // the engine is read again before the next order
        self.is_report_valid = false;
        self.order_count.on_answer(&order, &answer, now);
        match answer {
            OrderAnswer::Taken | OrderAnswer::Done => self.on_order_accepted(&order.kind, now),
            OrderAnswer::Fenced => self.fence.on_refused(order.fence),
            OrderAnswer::OtherBackend(_) => {
                self.is_identified = false;
                self.identity_requested_at = None;
            }
            OrderAnswer::Busy | OrderAnswer::Refused | OrderAnswer::Unknown => {
                let retry_at = now + self.settings.order_retry_delay;
                self.retry_at.insert(order.kind, retry_at);
            }
        }
    }

    fn on_order_accepted(&mut self, kind: &OrderKind, now: Instant) {
        match kind {
            OrderKind::LoadAdapter(adapter) => {
                if let Some(slot) = self.slots.get_mut(adapter) {
                    slot.is_replacing = true;
                }
                let is_reload = self.recent.contains(adapter_hash(adapter));
                self.load_times.on_load_ordered(adapter, is_reload, now);
            }
            OrderKind::UnloadAdapter(adapter) => {
                self.slots.remove(adapter);
                self.recent.insert(adapter_hash(adapter));
                self.report.held.retain(|h| h.adapter != *adapter);
            }
            OrderKind::LoadModel(_) => {}
        }
    }
}
