use {
    super::{backend_signal_tracker::BackendSignalTracker, DispatchRequest, EngineObservations},
    crate::{
        intake::{
            AskedRest, ColdBound, ColdPace, FullPause, Health, IntakeReason, NamedLimit, Sharers,
        },
        membership::{rendezvous_weight, stable_hash},
        placement::{adapter_mark, AdapterMark, LatelyHeld},
    },
    chalkcart_protocol::peer::{EngineFigures, EngineView},
    chalkcart_state::{
        backends::{AdapterRef, Backend},
        ingress::RequestDigest,
    },
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// a view older than this says nothing of queues
const MAX_VIEW_AGE: Duration = Duration::from_secs(1);
/// time for a sidecar to speak before the list is believed
const SIDECAR_REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// a request on its way at a back end
#[derive(Debug, Clone)]
pub struct InFlightRequest {
    pub digest: RequestDigest,
    pub is_crash_suspect: bool,
    pub adapter: Option<AdapterRef>,
    pub prompt_tokens: u32,
    pub sent_at: Instant,
    /// its first token came
    pub has_started: bool,
    /// nothing else was being read there when it was sent
    pub is_sole_prefill: bool,
    /// it shows whether the rest that the back end asked for is over
    pub is_trial: bool,
}

/// requests that a view concerns, of those that wait
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AffectedRequests {
    All,
    /// those for adapters that came
    OfAdapters(Vec<AdapterRef>),
}

impl AffectedRequests {
    pub fn includes(&self, request: &DispatchRequest) -> bool {
        match self {
            Self::All => true,
            Self::OfAdapters(adapters) => request
                .adapter
                .as_ref()
                .is_some_and(|a| adapters.contains(a)),
        }
    }
    pub fn is_empty(&self) -> bool {
        *self == Self::OfAdapters(Vec::new())
    }
}

/// what an entry knows of one back end
#[derive(Debug, Clone)]
pub struct BackendState {
    pub listed: Backend,
    /// it has said itself that it leaves
    pub has_announced_leaving: bool,
    /// the rest that it has asked for
    pub backoff: AskedRest,
    /// the requests that it takes, by its own word
    pub limit: NamedLimit,
    /// what was seen of it while its sidecar is not heard
    pub observations: EngineObservations,
    /// no longer in the list; used only where nothing else is
    pub is_unlisted: bool,
    /// its sidecar spoke of it before the list did
    pub is_ahead_of_list: bool,
    /// another incarnation has answered at its address
    pub is_superseded: bool,
    /// the sidecar at its address speaks of another incarnation
    pub is_replaced: bool,
    /// its sidecar has spoken of another life after it
    pub has_ended: bool,
    discovered_at: Instant,
    pub health: Health,
    pub in_flight: u32,
    /// of these, requests that engines ended under before
    crash_suspects: u32,
    /// of these, waiting for their first token
    waiting_prefills: u32,
    waiting_prefill_tokens: u64,
    pub view: Option<EngineView>,
    viewed_at: Instant,
    /// versions of the adapters in the view
    held_versions: HashMap<AdapterRef, u64>,
    /// what it has held before, by the views of it
    recently_held: LatelyHeld,
    /// hash of its address, for the order of homes
    home_hash: u64,
    pub running_by_adapter: HashMap<AdapterRef, u32>,
    pub used_adapters: HashSet<AdapterRef>,
    /// its sidecar was told last that nothing is needed of it
    pub is_last_demand_empty: bool,
    /// adapters that the engine has refused since the last view
    refused_adapters: HashSet<AdapterRef>,
    saturation: FullPause,
    /// while it is cold, or was when this was looked at last
    pub slow_start: Option<ColdBound>,
}

impl BackendState {
    pub fn new(listed: Backend, now: Instant) -> Self {
        Self {
            home_hash: stable_hash(&listed.addr.to_string()),
            held_versions: HashMap::new(),
            recently_held: LatelyHeld::default(),
            listed,
            has_announced_leaving: false,
            backoff: AskedRest::default(),
            limit: NamedLimit::default(),
            observations: EngineObservations::default(),
            is_unlisted: false,
            is_ahead_of_list: false,
            is_superseded: false,
            is_replaced: false,
            has_ended: false,
            discovered_at: now,
            health: Health::new(now),
            in_flight: 0,
            crash_suspects: 0,
            waiting_prefills: 0,
            waiting_prefill_tokens: 0,
            view: None,
            viewed_at: now,
            running_by_adapter: HashMap::new(),
            used_adapters: HashSet::new(),
            is_last_demand_empty: false,
            refused_adapters: HashSet::new(),
            saturation: FullPause::default(),
            slow_start: None,
        }
    }

    /// what it has said of itself, if its record was away for a while
    pub(super) fn restore_signals(&mut self, signals: &mut BackendSignalTracker, now: Instant) {
        self.has_announced_leaving = signals.is_leaving(&self.listed.id);
        self.backoff
            .set_until(signals.backoff_until(&self.listed.id, now));
        self.limit = signals.take_limit(&self.listed.id);
    }
    /// who shares what it takes: so many entries, of which `entry` is one
    pub fn limit_sharing(&self, entry: &str, entries: u32, is_engine: bool) -> Sharers {
        let weight = rendezvous_weight(stable_hash(entry), self.home_hash);
        Sharers {
            entries,
            phase: weight as f64 / u64::MAX as f64,
            has_dealer: self.view.is_some(),
            is_engine,
        }
    }

    /// it says how much longer it is cold; `entry` is the one that asks
    pub fn set_slow_start(&mut self, entry: &str, left: Duration, now: Instant) {
        match &mut self.slow_start {
            Some(cold) => cold.set_left(left, now),
            None if left.is_zero() => {}
            None => self.slow_start = Some(ColdBound::new(entry, &self.listed.id, left, now)),
        }
    }
    pub fn advance_slow_start(&mut self, pace: ColdPace, entries: u32, now: Instant) {
        self.slow_start = self.slow_start.take().filter(|cold| cold.is_cold(now));
        // a service without a pace does not bound its cold ones
        self.slow_start = self.slow_start.take().filter(|_| pace.per_s > 0.0);
        if let Some(cold) = &mut self.slow_start {
            cold.pass(pace, entries, now);
        }
    }

    /// its sidecar has spoken; says which requests may be sent now that waited
    pub fn on_view(&mut self, view: EngineView, now: Instant) -> AffectedRequests {
        let known = self.view.as_ref();
        let affected = self.affected_requests(&view);
        if known.is_none_or(|known| known.held != view.held) {
            let held = view.held.iter().map(|h| (h.adapter.clone(), h.version));
            let before = std::mem::replace(&mut self.held_versions, held.collect());
            let left = before
                .keys()
                .filter(|a| !self.held_versions.contains_key(a));
            left.for_each(|a| self.recently_held.put(adapter_mark(a)));
        }
        view.lately
            .iter()
            .for_each(|mark| self.recently_held.put(*mark));
        self.viewed_at = reported_at(&view.figures, now);
        self.view = Some(view);
        self.observations.on_report();
        self.refused_adapters.clear();
        affected
    }
    /// A place that became free is not news: requests that lack a home are looked
    /// at with the next tick, as views come many times between two ticks.
    fn affected_requests(&self, view: &EngineView) -> AffectedRequests {
        let Some(known) = self.view.as_ref().filter(|v| v.models == view.models) else {
            return AffectedRequests::All;
        };
        if !self.refused_adapters.is_empty() {
            return AffectedRequests::All;
        }
        let came = view.held.iter().filter(|h| !known.held.contains(h));
        AffectedRequests::OfAdapters(came.map(|h| h.adapter.clone()).collect())
    }
    /// its sidecar says that nothing but these figures has changed
    pub fn on_stats(&mut self, figures: EngineFigures, now: Instant) {
        if let Some(view) = &mut self.view {
            view.figures = figures;
            self.viewed_at = reported_at(&figures, now);
            self.refused_adapters.clear();
        }
    }
    /// another life has begun at its address
    pub fn end_incarnation(&mut self) {
        self.has_ended = true;
        self.is_ahead_of_list = false;
        self.view = None;
        self.held_versions.clear();
    }
    /// the link to its sidecar is gone; what it held is most likely there still
    pub fn on_view_lost(&mut self, now: Instant) {
        self.view = None;
        let held = std::mem::take(&mut self.held_versions);
        self.observations.on_view_lost(held.into_keys(), now);
    }
    pub fn on_sent(&mut self, sent: &InFlightRequest) {
        if let Some(cold) = &mut self.slow_start {
            cold.on_sent();
        }
        self.limit.on_sent(sent.sent_at);
        self.in_flight += 1;
        self.crash_suspects += u32::from(sent.is_crash_suspect);
        self.waiting_prefills += 1;
        self.waiting_prefill_tokens += u64::from(sent.prompt_tokens);
        if let Some(adapter) = &sent.adapter {
            *self.running_by_adapter.entry(adapter.clone()).or_default() += 1;
            self.used_adapters.insert(adapter.clone());
            if self.is_sidecar_unresponsive(sent.sent_at) {
                self.observations.on_sent(adapter, sent.sent_at);
            }
        }
    }
    pub fn on_response_started(&mut self, sent: &InFlightRequest) {
        self.waiting_prefills = self.waiting_prefills.saturating_sub(1);
        let tokens = u64::from(sent.prompt_tokens);
        self.waiting_prefill_tokens = self.waiting_prefill_tokens.saturating_sub(tokens);
    }
    pub fn on_request_ended(&mut self, sent: &InFlightRequest) {
        if !sent.has_started {
            self.on_response_started(sent);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        self.crash_suspects -= u32::from(sent.is_crash_suspect);
        let Some(adapter) = &sent.adapter else {
            return;
        };
        if let Some(count) = self.running_by_adapter.get_mut(adapter) {
            *count -= 1;
            if *count == 0 {
                self.running_by_adapter.remove(adapter);
            }
        }
    }
    /// no request of this entry runs or ran there since the last demand
    pub fn has_no_demand(&self) -> bool {
        self.running_by_adapter.is_empty() && self.used_adapters.is_empty()
    }
    pub fn on_saturated(&mut self, now: Instant) {
        self.saturation.on_full(now);
    }
    /// it lacks an adapter, or has another version of it; says whether a request looked for
    /// it there too early
    pub fn on_adapter_refused(&mut self, adapter: &AdapterRef, now: Instant) -> bool {
        match self.is_sidecar_unresponsive(now) {
            // no view will say that it has it again
            true => self.observations.on_missing(adapter, now),
            false => {
                self.refused_adapters.insert(adapter.clone());
                false
            }
        }
    }
    /// its sidecar does not speak, and has had time to
    pub fn is_sidecar_unresponsive(&self, now: Instant) -> bool {
        let known = now.saturating_duration_since(self.discovered_at);
        self.view.is_none() && known > SIDECAR_REPORT_TIMEOUT
    }

    /// the version of an adapter that requests may be sent to
    pub fn held_version(&self, adapter: &AdapterRef, now: Instant) -> Option<u64> {
        if self.refused_adapters.contains(adapter) {
            return None;
        }
        if self.view.is_some() {
            return self.held_versions.get(adapter).copied();
        }
        // the list lags: it is used only where no sidecar speaks
        if !self.is_sidecar_unresponsive(now) || self.observations.is_missing(adapter, now) {
            return None;
        }
        let found = self.listed.held.iter().find(|h| h.adapter == *adapter);
        found.map(|h| h.version)
    }
    /// whether it holds a base model, as far as is known
    pub fn has_model(&self, model: &str) -> bool {
        let models = match &self.view {
            Some(view) => &view.models,
            None => &self.listed.models,
        };
        models.iter().any(|m| m == model)
    }
    pub fn is_loading(&self, adapter: &AdapterRef) -> bool {
        let view = self.view.as_ref();
        view.is_some_and(|v| v.loading.contains(adapter))
    }
    /// it can bring the adapter back from its own memory
    pub fn has_recently_held(&self, mark: AdapterMark) -> bool {
        self.recently_held.has(mark)
    }
    pub fn home_hash(&self) -> u64 {
        self.home_hash
    }
    pub fn spare_slots(&self) -> u32 {
        self.view.as_ref().map_or(0, |v| v.figures.spare_slots)
    }
    pub fn is_available(&self, now: Instant) -> bool {
        let is_resting = self.health.is_resting(now) || self.backoff.is_on(now);
        self.may_receive_requests() && !self.is_unlisted && !is_resting
    }
    /// it takes no new work, by its record or its own word
    pub fn is_leaving(&self) -> bool {
        self.listed.leaving || self.has_announced_leaving
    }
    /// it lives, as far as is known, and does not leave
    pub fn may_receive_requests(&self) -> bool {
        self.may_be_current() && !self.is_leaving()
    }
    /// nothing says that another incarnation is at its address
    pub fn may_be_current(&self) -> bool {
        !self.is_superseded && !self.is_replaced && !self.has_ended
    }

    /// requests that run or wait there, all entries together
    pub fn occupied(&self, now: Instant) -> u32 {
        let seen = self.fresh_view(now).map_or(0, |v| {
            let figures = &v.figures;
            figures.running + figures.queued
        });
        seen.max(self.in_flight)
    }
    /// part of its places that is taken
    pub fn load(&self, now: Instant) -> f64 {
        f64::from(self.occupied(now)) / f64::from(self.listed.slots.max(1))
    }
    /// Two requests that are suspected do not run beside each other: an innocent one that
    /// stood beside the cause each time would be condemned with it.
    pub fn can_accept_request(&self, request: &DispatchRequest, now: Instant) -> bool {
        self.can_accept(now) && !(request.is_crash_suspect && self.crash_suspects > 0)
    }
    pub fn can_accept(&self, now: Instant) -> bool {
        self.closed_reason(now).is_none()
    }
    /// nothing but the limit that it has named may keep a request from it
    pub fn can_accept_beyond_limit(&self, now: Instant) -> bool {
        let limited = self.limit.code();
        self.closed_reason(now).is_none_or(|code| code == limited)
    }
    /// The code of what keeps one more request from it now. That it takes no more by its own
    /// word comes last, so that it is named only where nothing else does.
    pub fn closed_reason(&self, now: Instant) -> Option<&'static str> {
        let cold = self
            .slow_start
            .as_ref()
            .map(|cold| cold as &dyn IntakeReason);
        let before = [
            Some(&self.backoff as &dyn IntakeReason),
            cold,
            Some(&self.saturation),
        ];
        let mut before = before.into_iter().flatten();
        if let Some(reason) = before.find(|reason| reason.closed_for(now).is_some()) {
            return Some(reason.code());
        }
        if self.occupied(now) >= self.listed.slots {
            return Some(self.saturation.code());
        }
        let is_limited = self.limit.closed_for(now).is_some();
        is_limited.then(|| self.limit.code())
    }
    /// prompts that are read or wait there, as far as is known
    pub fn pending_prefills(&self, now: Instant) -> u32 {
        let seen = self.fresh_view(now).map_or(0, |v| v.figures.reading);
        seen.max(self.waiting_prefills)
    }
    /// Prompt tokens that wait to be read. Of prompts that other entries have
    /// sent only the number is known, so each counts as a typical one.
    pub fn queued_tokens(&self, typical_prompt: f64, now: Instant) -> f64 {
        let unseen = self.pending_prefills(now) - self.waiting_prefills;
        self.waiting_prefill_tokens as f64 + f64::from(unseen) * typical_prompt
    }

    /// whether its sidecar has spoken after this moment
    pub fn has_reported_since(&self, at: Instant) -> bool {
        self.view.is_some() && self.viewed_at > at
    }
    /// age of the sidecar's last word
    pub fn view_age(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.viewed_at);
        self.view.as_ref().map(|_| age)
    }

    fn fresh_view(&self, now: Instant) -> Option<&EngineView> {
        let age = now.saturating_duration_since(self.viewed_at);
        self.view.as_ref().filter(|_| age < MAX_VIEW_AGE)
    }
}

/// when the sidecar said this; relays count how long ago that was
pub(crate) fn reported_at(figures: &EngineFigures, now: Instant) -> Instant {
    let age = Duration::from_millis(u64::from(figures.age_ms));
    now.checked_sub(age).unwrap_or(now)
}
