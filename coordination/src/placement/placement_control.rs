use {
    super::{
        adapter_mark, DemandBook, EngineOrder, EngineReport, FenceToken, LatelyHeld, LoadSpeed,
        OrderAnswer, OrderKind, PlacementSettings,
    },
    crate::{
        intake::EngineLimit,
        own_word::{OwnWord, RequestRate},
    },
    chalkcart_protocol::peer::{
        AdapterDemand, AdmissionReport, AdmissionResponse, EngineStats, EngineView,
    },
    chalkcart_state::backends::{AdapterRef, BackendId, BackendName},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// how often the engine is read while adapters are on their way
const READ_LOADING: Duration = Duration::from_millis(20);
/// and otherwise
const READ_CALM: Duration = Duration::from_millis(100);

/// A report that is older than this says nothing of the engine: it is read each 100 ms and
/// each call ends within 500 ms, so this process did not run meanwhile, or its machine was
/// suspended.
const REPORT_FRESH: Duration = Duration::from_secs(1);

/// what happens to the control state of a sidecar's placement
#[derive(Debug)]
pub enum PlacementEvent {
    Demand(AdapterDemand),
    /// the engine was read
    Report(EngineReport),
    /// the engine could not be read
    ReportFailed {
        /// nobody listens at its address
        is_down: bool,
    },
    /// the engine said which incarnation it is, or nothing
    Identified(Option<BackendName>),
    Answered {
        order: EngineOrder,
        answer: OrderAnswer,
    },
    /// the engine said this of itself, whatever it was asked
    Said(OwnWord),
}

/// what the process does next
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementStep {
    /// ask the engine at this path which incarnation it is
    Identify { health_path: String },
    /// give this order
    Order(EngineOrder),
    /// read the engine after this time at the latest
    Read { after: Duration },
    /// ask nothing of the engine for this time
    Rest { left: Duration },
}

/// an adapter that the engine holds
#[derive(Debug, Clone)]
pub(super) struct Place {
    pub(super) version: u64,
    pub(super) last_used: Instant,
    /// a newer version is known since then
    pub(super) outdated_since: Option<Instant>,
    /// its newer version was ordered
    pub(super) replacing: bool,
}

/// which adapters one engine holds.
///
/// Orders are given one at a time, and the engine is read after each, by the
/// same task, so that a report never describes the time before an order that
/// was answered.
pub struct PlacementControl {
    pub(super) settings: PlacementSettings,
    fence: FenceToken,
    backend: BackendId,
    /// the engine itself said so, in this life of it
    is_identified: bool,
    asked_identity: Option<Instant>,
    pub(super) demands: DemandBook,
    pub(super) places: HashMap<AdapterRef, Place>,
    pub(super) report: EngineReport,
    /// the engine was read since its last change of incarnation or doubt
    is_read: bool,
    read_at: Option<Instant>,
    /// a life of the engine after which nobody listened at its address
    ended: Option<BackendId>,
    /// orders that failed, and until when they rest
    pub(super) resting: HashMap<OrderKind, Instant>,
    /// the engine has said that it leaves
    pub(super) says_leaving: bool,
    /// the engine wants nothing of this machine before
    rests_until: Option<Instant>,
    /// requests that the engine takes, by its own word
    pub(super) limit: EngineLimit,
    /// until when it is cold, by its own word
    cold_until: Option<Instant>,
    pub(super) model_ordered: Option<Instant>,
    speed: LoadSpeed,
    lately: LatelyHeld,
}

impl PlacementControl {
    /// `clock_ms` is the time of day, in ms since the epoch
    pub fn new(settings: PlacementSettings, clock_ms: u64) -> Self {
        Self {
            settings,
            fence: FenceToken::new(clock_ms),
            backend: BackendId::default(),
            is_identified: false,
            asked_identity: None,
            demands: DemandBook::default(),
            places: HashMap::new(),
            report: EngineReport::default(),
            is_read: false,
            read_at: None,
            ended: None,
            resting: HashMap::new(),
            says_leaving: false,
            rests_until: None,
            limit: EngineLimit::default(),
            cold_until: None,
            model_ordered: None,
            speed: LoadSpeed::default(),
            lately: LatelyHeld::default(),
        }
    }

    /// take in what happened
    pub fn handle(&mut self, event: PlacementEvent, now: Instant) {
        match event {
            PlacementEvent::Demand(demand) => self.on_demand(demand, now),
            PlacementEvent::Report(report) => self.on_report(report, now),
            PlacementEvent::ReportFailed { is_down } => self.on_report_failed(is_down),
            PlacementEvent::Identified(backend) => self.on_identified(backend, now),
            PlacementEvent::Answered { order, answer } => self.on_answer(order, answer, now),
            PlacementEvent::Said(word) => self.on_own_word(word, now),
        }
    }

    /// what to do now
    pub fn next_step(&mut self, now: Instant) -> PlacementStep {
        self.doubt_after_pause(now);
        self.demands.expire(self.settings.entry_silence, now);
        self.resting.retain(|_, until| *until > now);
        if let Some(left) = self.rest_left(now) {
            return PlacementStep::Rest { left };
        }
        if let Some(health_path) = self.identity_due(now) {
            self.asked_identity = Some(now);
            return PlacementStep::Identify { health_path };
        }
        if self.is_read && !self.backend.is_empty() {
            if let Some(kind) = self.next_order(now) {
                return PlacementStep::Order(EngineOrder {
                    kind,
                    backend: self.backend.clone(),
                    fence: self.fence.value(),
                });
            }
        }
        let is_loading = !self.report.loading.is_empty() || self.is_replacing();
        let after = match is_loading || !self.is_read {
            true => READ_LOADING,
            false => READ_CALM,
        };
        PlacementStep::Read { after }
    }

    /// what entries may know
    pub fn view(&self, now: Instant) -> EngineView {
        let figures = EngineStats {
            fence: self.fence.value(),
            next_load_ms: self.next_load(self.speed.load_time(), now).as_millis() as u32,
            next_return_ms: self.next_load(self.speed.return_time(), now).as_millis() as u32,
            spare_slots: self.spare_slots(now),
            running: self.report.running,
            queued: self.report.queued,
            reading: self.report.reading,
            kv_used: self.report.kv_used,
            kv_total: self.report.kv_total,
            entries: self.demands.entries(),
            is_down: Some(self.ended.as_ref() == Some(&self.backend)),
            is_leaving: self.says_leaving,
            limit_milli_per_s: self.limit.named(now).map(RequestRate::milli),
            cold_left_ms: self.cold_left_ms(now),
            ..EngineStats::default()
        };
        let mut view = EngineView {
            backend: self.backend.clone(),
            models: self.report.models.clone(),
            loading: self.report.loading.clone(),
            held: Vec::new(),
            lately: self.lately.marks().collect(),
            figures,
        };
        let held = self.report.held.iter();
        let ready = held.filter(|h| !self.places.get(&h.adapter).is_some_and(|p| p.replacing));
        view.held = ready.cloned().collect();
        view.held.sort_by(|a, b| a.adapter.cmp(&b.adapter));
        view
    }

    pub fn backend(&self) -> &BackendId {
        &self.backend
    }

    /// Orders, reports and questions for its identity share a machine's rest with requests.
    fn on_own_word(&mut self, word: OwnWord, now: Instant) {
        self.says_leaving |= word.is_leaving;
        self.limit.on_engine_word(word.limit, now);
        if let Some(left) = word.cold {
            self.cold_until = Some(now + left);
        }
        if let Some(rest) = word.rest {
            let until = now + rest;
            self.rests_until = Some(self.rests_until.map_or(until, |known| known.max(until)));
        }
    }
    /// an entry says what it heard of the engine's limit, and asks for permits
    pub fn deal(&mut self, report: &AdmissionReport, now: Instant) -> AdmissionResponse {
        self.limit.on_report(&self.backend, report, now)
    }
    fn cold_left_ms(&self, now: Instant) -> u16 {
        let left = self.cold_until.map(|at| at.saturating_duration_since(now));
        let left = left.map_or(0, |left| left.as_millis());
        u16::try_from(left).unwrap_or(u16::MAX)
    }
    fn rest_left(&self, now: Instant) -> Option<Duration> {
        let left = self.rests_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    fn on_demand(&mut self, demand: AdapterDemand, now: Instant) {
        self.fence.on_seen(demand.fence_seen);
        for used in &demand.used {
            if let Some(place) = self.places.get_mut(&used.adapter) {
                place.last_used = now;
            }
        }
        for newer in &demand.outdated {
            if let Some(place) = self.places.get_mut(&newer.adapter) {
                if place.version < newer.version {
                    place.outdated_since.get_or_insert(now);
                }
            }
        }
        self.demands.put(demand, now);
        let newest = self.demands.newest().map(|d| d.backend.clone());
        if newest.as_ref().is_some_and(|b| b.name != self.backend.name) {
            // the life that asked for it may be over
            self.rests_until = None;
        }
        if let Some(backend) = newest.filter(|_| !self.is_identified) {
            self.follow_name(backend.name);
        }
    }

    /// the path at which to ask, if the engine's identity is in doubt
    fn identity_due(&self, now: Instant) -> Option<String> {
        let asked = self.asked_identity;
        let pause = self.settings.identity_pause;
        let is_too_soon = asked.is_some_and(|at| now.saturating_duration_since(at) < pause);
        if self.is_identified || !self.is_read || is_too_soon {
            return None;
        }
        let path = &self.demands.newest()?.health_path;
        (!path.is_empty()).then(|| path.clone())
    }

    fn on_identified(&mut self, name: Option<BackendName>, now: Instant) {
        self.asked_identity = Some(now);
        if let Some(name) = name {
            self.is_identified = true;
            if name == self.backend.name {
                self.ended = None;
            }
            // with another name nothing is known of its places until it is read again: an order
            // by the report before would go beyond what the engine can hold
            self.follow_name(name);
        }
    }

    /// no order is given by what was read before a pause
    fn doubt_after_pause(&mut self, now: Instant) {
        let age = self.read_at.map(|at| now.saturating_duration_since(at));
        if age.is_some_and(|age| age > REPORT_FRESH) {
            self.is_read = false;
            self.is_identified = false;
            self.read_at = None;
        }
    }

    /// it may come back as another incarnation
    fn on_report_failed(&mut self, is_down: bool) {
        if is_down && !self.backend.is_empty() {
            self.ended = Some(self.backend.clone());
        }
        self.is_read = false;
        self.is_identified = false;
    }

    fn follow_name(&mut self, name: BackendName) {
        if self.backend.name != name {
            self.backend.name = name;
            self.is_read = false;
            self.forget_life();
        }
    }

    /// Nothing that was ordered or held outlives the engine's life. The time of the last
    /// load of a base model does: an engine that starts again and again begins no more
    /// loads than the weight store allows over all engines.
    fn forget_life(&mut self) {
        self.places.clear();
        self.resting.clear();
        self.rests_until = None;
        self.says_leaving = false;
        self.limit = EngineLimit::default();
        self.cold_until = None;
        self.lately.clear();
        self.speed.forget_ordered();
    }

    /// The engine has started again, under the name that it had or another one. Reports
    /// are read one after the other, so that any other `born` is a later life, also one
    /// that is smaller because the engine's clock stepped back.
    fn on_born(&mut self, born: u64) {
        self.backend.start_time_ms = born;
        self.is_identified = false;
        self.asked_identity = None;
        self.forget_life();
    }

    fn on_report(&mut self, report: EngineReport, now: Instant) {
        if report.born != self.backend.start_time_ms {
            self.on_born(report.born);
        }
        let mut places = HashMap::with_capacity(report.held.len());
        for held in &report.held {
            let known = self.places.get(&held.adapter);
            let same = known.filter(|p| p.version == held.version).cloned();
            let mut place = same.unwrap_or(Place {
                version: held.version,
                last_used: now,
                outdated_since: None,
                replacing: false,
            });
            // a replacement that the engine no longer lists was not taken
            place.replacing &= report.loading.contains(&held.adapter);
            let newest = self.demands.newest_version(&held.adapter);
            if newest.is_some_and(|v| v > place.version) {
                place.outdated_since.get_or_insert(now);
            }
            places.insert(held.adapter.clone(), place);
        }
        self.remember_left(&report);
        self.speed.on_report(&report, now);
        self.places = places;
        self.report = report;
        self.is_read = true;
        self.read_at = Some(now);
    }

    /// loads that are under way at once
    pub(super) fn loads_at_once(&self) -> usize {
        let most = self.settings.max_loading;
        match self.settings.mechanisms.loads_by_speed {
            true => self.speed.loads_at_once(most),
            false => most,
        }
    }

    /// what is no longer held may come back fast
    fn remember_left(&mut self, report: &EngineReport) {
        let is_held = |adapter: &AdapterRef| report.held.iter().any(|h| h.adapter == *adapter);
        let left = self.places.keys().filter(|adapter| !is_held(adapter));
        for adapter in left {
            self.lately.put(adapter_mark(adapter));
        }
    }

    /// time until an adapter that is wanted now would be there, if its load
    /// alone takes `own`
    fn next_load(&self, own: Duration, now: Instant) -> Duration {
        let wanted = self.demands.wanted();
        let missing = wanted.iter().filter(|w| {
            !self.places.contains_key(&w.adapter) && !self.report.loading.contains(&w.adapter)
        });
        let before = missing.count() + self.report.loading.len();
        let rounds = before / self.settings.max_loading.max(1);
        self.model_wait(now) + self.speed.load_time() * rounds as u32 + own
    }

    /// time until the base model is there, if it is not
    fn model_wait(&self, now: Instant) -> Duration {
        if !self.report.models.is_empty() {
            return Duration::ZERO;
        }
        let demand = self.demands.newest();
        let model = demand.and_then(|d| d.room.models.first());
        let reload = model.map_or(0, |m| u64::from(m.reload_ms));
        let ordered = self.model_ordered;
        let passed = ordered.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        Duration::from_millis(reload).saturating_sub(passed)
    }

    fn on_answer(&mut self, order: EngineOrder, answer: OrderAnswer, now: Instant) {
        // whatever it was, the engine is read before the next order
        self.is_read = false;
        match answer {
            OrderAnswer::Taken | OrderAnswer::Done => self.on_taken(&order.kind, now),
            OrderAnswer::Fenced => self.fence.on_refused(order.fence),
            OrderAnswer::OtherBackend(_) => {
                self.is_identified = false;
                self.asked_identity = None;
            }
            OrderAnswer::Busy | OrderAnswer::Refused | OrderAnswer::Unknown => {
                let until = now + self.settings.order_pause;
                self.resting.insert(order.kind, until);
            }
        }
    }

    fn on_taken(&mut self, kind: &OrderKind, now: Instant) {
        match kind {
            OrderKind::LoadAdapter(adapter) => {
                if let Some(place) = self.places.get_mut(adapter) {
                    place.replacing = true;
                }
                let returns = self.lately.has(adapter_mark(adapter));
                self.speed.on_ordered(adapter, returns, now);
            }
            OrderKind::UnloadAdapter(adapter) => {
                self.places.remove(adapter);
                self.lately.put(adapter_mark(adapter));
                self.report.held.retain(|h| h.adapter != *adapter);
            }
            OrderKind::LoadModel(_) => {}
        }
    }
}
