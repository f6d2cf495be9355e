use {
    super::{
        affected_requests::AffectedRequests, backend_signal_tracker::BackendSignalTracker,
        list_source::RETURN_TIME, DispatchRequest, EngineObservations, InFlightRequest,
    },
    crate::{
        backend_admission::{
            AdmissionGate, AdvertisedLimit, Health, LimitSharing, RequestedBackoff,
            SaturationPause, SlowStart, SlowStartSettings,
        },
        backend_performance::{EnginePerformance, RelativeRate, SettledRate},
        membership::{rendezvous_weight, stable_hash},
        placement::{adapter_hash, AdapterHash, RecentAdapters},
        stream_pacing::PrefillWindow,
    },
    chalkcart_protocol::peer::{EngineStats, EngineView},
    chalkcart_state::backends::{AdapterRef, Backend},
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// Maximum age of a view whose queue lengths are used.
const MAX_VIEW_AGE: Duration = Duration::from_secs(1);
/// Time for a sidecar to report before the list is trusted instead.
const SIDECAR_REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What an entry knows about one back end.
#[derive(Debug, Clone)]
pub struct BackendState {
    pub listed: Backend,
    /// Whether the back end itself announced that it is leaving.
    pub has_announced_leaving: bool,
    /// The back-off that the back end requested.
    pub backoff: RequestedBackoff,
    /// The rate limit that the back end advertises.
    pub limit: AdvertisedLimit,
    /// What this entry observed while the sidecar didn't report.
    pub observations: EngineObservations,
    /// Whether it left the list.
    pub is_unlisted: bool,
    /// Whether it left the list while the store may not have heard it.
    pub is_lapsed: bool,
    /// Whether its sidecar reported it before the list had it.
    pub is_ahead_of_list: bool,
    /// Whether another incarnation responded at its address.
    pub is_superseded: bool,
    /// Whether the sidecar at its address reports another incarnation.
    pub is_replaced: bool,
    /// Whether its sidecar reported a later incarnation.
    pub has_ended: bool,
    discovered_at: Instant,
    pub health: Health,
    /// Requests of this entry that were sent and haven't ended.
    pub in_flight: u32,
    /// Of these, requests that are suspected of crashing engines.
    crash_suspects: u32,
    /// Of these, requests without progress.
    starting_suspects: u32,
    /// Of these, requests that wait for their first token.
    waiting_prefills: u32,
    waiting_prefill_tokens: u64,
    /// Prompts that started there lately.
    pub prefill_window: PrefillWindow,
    pub view: Option<EngineView>,
    viewed_at: Instant,
    /// Versions of the adapters in the view.
    held_versions: HashMap<AdapterRef, u64>,
    /// Adapters that were in earlier views.
    recently_held: RecentAdapters,
    /// Hash of the address, for the rendezvous order of homes.
    home_hash: u64,
    pub running_by_adapter: HashMap<AdapterRef, u32>,
    pub used_adapters: HashSet<AdapterRef>,
    /// Whether the last demand sent to its sidecar was empty.
    pub is_last_demand_empty: bool,
    /// Adapters that the engine refused since the last view.
    refused_adapters: HashSet<AdapterRef>,
    saturation: SaturationPause,
    /// Rate relative to the median of the service, by the sidecar's figures; 1 if it is unknown.
    pub relative_rate: RelativeRate,
    /// The rate that the order of homes uses.
    pub home_rate: SettledRate,
    /// Present while the engine is in slow start, or was at the last check.
    pub slow_start: Option<SlowStart>,
}

impl BackendState {
    pub fn new(listed: Backend, now: Instant) -> Self {
        Self {
            home_hash: stable_hash(&listed.addr.to_string()),
            held_versions: HashMap::new(),
            recently_held: RecentAdapters::default(),
            listed,
            has_announced_leaving: false,
            backoff: RequestedBackoff::default(),
            limit: AdvertisedLimit::default(),
            observations: EngineObservations::default(),
            is_unlisted: false,
            is_lapsed: false,
            is_ahead_of_list: false,
            is_superseded: false,
            is_replaced: false,
            has_ended: false,
            discovered_at: now,
            health: Health::new(now),
            in_flight: 0,
            crash_suspects: 0,
            starting_suspects: 0,
            waiting_prefills: 0,
            waiting_prefill_tokens: 0,
            prefill_window: PrefillWindow::default(),
            view: None,
            viewed_at: now,
            running_by_adapter: HashMap::new(),
            used_adapters: HashSet::new(),
            is_last_demand_empty: false,
            refused_adapters: HashSet::new(),
            saturation: SaturationPause::default(),
            relative_rate: RelativeRate::default(),
            home_rate: SettledRate::default(),
            slow_start: None,
        }
    }

    /// Restores the signals of a back end whose record was gone for a while.
    pub(super) fn restore_signals(&mut self, signals: &mut BackendSignalTracker, now: Instant) {
        self.has_announced_leaving = signals.is_leaving(&self.listed.id);
        self.backoff
            .set_until(signals.backoff_until(&self.listed.id, now));
        self.limit = signals.take_limit(&self.listed.id);
    }
    /// Returns how the limit of the back end is shared by `entries` entries, one of which
    /// is `entry`.
    pub fn limit_sharing(&self, entry: &str, entries: u32, is_engine: bool) -> LimitSharing {
        let weight = rendezvous_weight(stable_hash(entry), self.home_hash);
        LimitSharing {
            entries,
            phase: weight as f64 / u64::MAX as f64,
            has_issuer: self.view.is_some(),
            is_engine,
        }
    }

    /// Sets the time left of the slow start; `entry` is the entry that sends.
    pub fn set_slow_start(&mut self, entry: &str, left: Duration, now: Instant) {
        match &mut self.slow_start {
            Some(slow_start) => slow_start.set_remaining(left, now),
            None if left.is_zero() => {}
            None => self.slow_start = Some(SlowStart::new(entry, &self.listed.id, left, now)),
        }
    }
    pub fn advance_slow_start(&mut self, settings: SlowStartSettings, entries: u32, now: Instant) {
        self.slow_start = self
            .slow_start
            .take()
            .filter(|slow_start| slow_start.is_active(now));
        // slow start is not limited in services without a rate for it
        self.slow_start = self
            .slow_start
            .take()
            .filter(|_| settings.requests_per_s > 0.0);
        if let Some(slow_start) = &mut self.slow_start {
            slow_start.refill(settings, entries, now);
        }
    }

    /// Applies a view of the sidecar; returns the waiting requests that may be sent now.
    pub fn on_view(&mut self, view: EngineView, now: Instant) -> AffectedRequests {
        let known = self.view.as_ref();
        let affected = self.affected_requests(&view);
        if known.is_none_or(|known| known.held != view.held) {
            let held = view.held.iter().map(|h| (h.adapter.clone(), h.version));
            let before = std::mem::replace(&mut self.held_versions, held.collect());
            let unloaded = before
                .keys()
                .filter(|a| !self.held_versions.contains_key(a));
            unloaded.for_each(|a| self.recently_held.insert(adapter_hash(a)));
        }
        view.lately
            .iter()
            .for_each(|adapter_hash| self.recently_held.insert(*adapter_hash));
        self.viewed_at = reported_at(&view.figures, now);
        self.view = Some(view);
        self.observations.on_report();
        self.refused_adapters.clear();
        affected
    }
    /// Returns the requests that a view affects. A free adapter slot alone affects none:
    /// requests without a home are checked at the next tick, since many views arrive
    /// between two ticks.
    fn affected_requests(&self, view: &EngineView) -> AffectedRequests {
        let Some(known) = self.view.as_ref().filter(|v| v.models == view.models) else {
            return AffectedRequests::All;
        };
        if !self.refused_adapters.is_empty() {
            return AffectedRequests::All;
        }
        let loaded = view.held.iter().filter(|h| !known.held.contains(h));
        AffectedRequests::OfAdapters(loaded.map(|h| h.adapter.clone()).collect())
    }
    /// Applies a report in which only the stats changed.
    pub fn on_stats(&mut self, stats: EngineStats, now: Instant) {
        if let Some(view) = &mut self.view {
            view.figures = stats;
            self.viewed_at = reported_at(&stats, now);
            self.refused_adapters.clear();
        }
    }
    /// Records the prompts of other entries that the last report shows. Without the number of
    /// tokens each prompt counts as a typical one.
    pub fn on_prefill_reported(&mut self, typical_prompt_tokens: f64) {
        let Some(stats) = self.view.as_ref().map(|v| v.figures) else {
            return;
        };
        let Some(performance) = EnginePerformance::reported(&stats) else {
            return;
        };
        let (pending, unit) = match stats.prefill_tokens {
            Some(tokens) => (f64::from(tokens), 1.0),
            None => (
                f64::from(stats.reading) * typical_prompt_tokens,
                typical_prompt_tokens,
            ),
        };
        let rate = performance.prefill_tokens_per_ms;
        self.prefill_window
            .on_report(pending, unit, rate, self.viewed_at);
    }
    /// Returns whether the record of an engine that its sidecar reported may still come: one that
    /// runs and is missing for longer has left.
    pub fn may_be_listed_soon(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.discovered_at) < RETURN_TIME
    }
    /// Handles the start of another incarnation at the same address.
    pub fn end_incarnation(&mut self) {
        self.has_ended = true;
        self.is_ahead_of_list = false;
        self.view = None;
        self.prefill_window.on_reports_lost();
        self.relative_rate = RelativeRate::default();
        self.held_versions.clear();
    }
    /// Handles the loss of the link to the sidecar; the engine most likely still holds its
    /// adapters.
    pub fn on_view_lost(&mut self, now: Instant) {
        self.view = None;
        self.prefill_window.on_reports_lost();
        self.relative_rate = RelativeRate::default();
        let held = std::mem::take(&mut self.held_versions);
        self.observations.on_view_lost(held.into_keys(), now);
    }
    pub fn on_sent(&mut self, sent: &InFlightRequest) {
        if let Some(slow_start) = &mut self.slow_start {
            slow_start.on_request_sent();
        }
        self.limit.on_request_sent(sent.sent_at);
        self.in_flight += 1;
        self.crash_suspects += u32::from(sent.is_crash_suspect);
        self.starting_suspects += u32::from(sent.is_crash_suspect && !sent.has_progress);
        self.waiting_prefills += 1;
        self.waiting_prefill_tokens += u64::from(sent.prompt_tokens);
        if sent.prompt_tokens > 0 {
            self.prefill_window
                .on_sent(sent.prompt_tokens, sent.sent_at);
        }
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
        if sent.started_at.is_none() {
            self.on_response_started(sent);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        self.crash_suspects -= u32::from(sent.is_crash_suspect);
        self.starting_suspects -= u32::from(sent.is_crash_suspect && !sent.has_progress);
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
    /// Returns whether no request of this entry runs there or ran since the last demand.
    pub fn has_no_demand(&self) -> bool {
        self.running_by_adapter.is_empty() && self.used_adapters.is_empty()
    }
    pub fn on_saturated(&mut self, now: Instant) {
        self.saturation.on_saturated(now);
    }
    /// Records that the engine lacks an adapter or has another version of it. Returns
    /// whether the sidecar doesn't report and the adapter had not been seen there before:
    /// the request came before the load was done.
    pub fn on_adapter_refused(&mut self, adapter: &AdapterRef, now: Instant) -> bool {
        match self.is_sidecar_unresponsive(now) {
            // no view will report the adapter again
            true => self.observations.on_missing(adapter, now),
            false => {
                self.refused_adapters.insert(adapter.clone());
                false
            }
        }
    }
    /// Records that the engine evicted an adapter since its last view, and most likely still
    /// has it in host memory.
    pub fn on_eviction_seen(&mut self, adapter: &AdapterRef) {
        if self.held_versions.contains_key(adapter) {
            self.recently_held.insert(adapter_hash(adapter));
        }
    }
    /// Returns whether the sidecar doesn't report although it had time to.
    pub fn is_sidecar_unresponsive(&self, now: Instant) -> bool {
        let known_for = now.saturating_duration_since(self.discovered_at);
        self.view.is_none() && known_for > SIDECAR_REPORT_TIMEOUT
    }

    /// Returns the version of an adapter that requests may be sent to.
    pub fn held_version(&self, adapter: &AdapterRef, now: Instant) -> Option<u64> {
        if self.refused_adapters.contains(adapter) {
            return None;
        }
        if self.view.is_some() {
            return self.held_versions.get(adapter).copied();
        }
        // the list lags behind the views and is used only without them
        if !self.is_sidecar_unresponsive(now) || self.observations.is_missing(adapter, now) {
            return None;
        }
        let found = self.listed.held.iter().find(|h| h.adapter == *adapter);
        found.map(|h| h.version)
    }
    /// Returns whether the back end holds a base model, as far as is known.
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
    /// Returns whether the engine can reload the adapter from its host cache.
    pub fn has_recently_held(&self, adapter_hash: AdapterHash) -> bool {
        self.recently_held.contains(adapter_hash)
    }
    pub fn home_hash(&self) -> u64 {
        self.home_hash
    }
    /// Returns the number of adapter slots that are free or can be freed, 0 without a view.
    pub fn spare_slots(&self) -> u32 {
        self.view.as_ref().map_or(0, |v| v.figures.spare_slots)
    }
    pub fn is_available(&self, now: Instant) -> bool {
        let is_paused = self.health.is_ejected(now) || self.backoff.is_active(now);
        self.may_receive_requests() && !self.is_unlisted && !is_paused
    }
    /// Returns whether the back end takes no new requests, by its record or its own signal.
    pub fn is_leaving(&self) -> bool {
        self.listed.leaving || self.has_announced_leaving
    }
    /// Returns whether the back end may be running and isn't leaving.
    pub fn may_receive_requests(&self) -> bool {
        self.may_be_current() && !self.is_leaving()
    }
    /// Returns whether no other incarnation is known at its address.
    pub fn may_be_current(&self) -> bool {
        !self.is_superseded && !self.is_replaced && !self.has_ended
    }

    /// Returns the number of requests that run or wait there, from all entries.
    pub fn occupied(&self, now: Instant) -> u32 {
        let reported = self.recent_view(now).map_or(0, |v| {
            let stats = &v.figures;
            stats.running.saturating_add(stats.queued)
        });
        reported.max(self.in_flight)
    }
    /// Returns the fraction of its slots that is taken.
    pub fn load(&self, now: Instant) -> f64 {
        f64::from(self.occupied(now)) / f64::from(self.listed.slots.max(1))
    }
    /// Returns whether the back end can take this request now. Two crash suspects never run
    /// side by side: an innocent one could be blocked together with the cause. Those with
    /// progress do: the cause is hardly among them, and a crash leaves many of them at once.
    pub fn can_accept_request(&self, request: &DispatchRequest, now: Instant) -> bool {
        let others = match request.has_progress {
            true => self.starting_suspects,
            false => self.crash_suspects,
        };
        self.can_accept(now) && !(request.is_crash_suspect && others > 0)
    }
    /// Returns whether the back end can take any request now.
    pub fn can_accept(&self, now: Instant) -> bool {
        self.closed_reason(now).is_none()
    }
    /// Returns whether nothing but the advertised rate limit keeps a request from it.
    pub fn can_accept_beyond_limit(&self, now: Instant) -> bool {
        let limit_code = self.limit.code();
        self.closed_reason(now)
            .is_none_or(|code| code == limit_code)
    }
    /// Returns the code of the reason why it takes no request now. The advertised rate
    /// limit is checked last, so that it is returned only if it is the sole reason.
    pub fn closed_reason(&self, now: Instant) -> Option<&'static str> {
        let slow_start = self
            .slow_start
            .as_ref()
            .map(|slow_start| slow_start as &dyn AdmissionGate);
        let reasons = [
            Some(&self.backoff as &dyn AdmissionGate),
            slow_start,
            Some(&self.saturation),
        ];
        let mut reasons = reasons.into_iter().flatten();
        if let Some(reason) = reasons.find(|reason| reason.closed_for(now).is_some()) {
            return Some(reason.code());
        }
        if self.occupied(now) >= self.listed.slots {
            return Some(self.saturation.code());
        }
        let is_limited = self.limit.closed_for(now).is_some();
        is_limited.then(|| self.limit.code())
    }
    /// Returns the number of prompts that are being prefilled or wait for it.
    pub fn pending_prefills(&self, now: Instant) -> u32 {
        let reported = self.recent_view(now).map_or(0, |v| v.figures.reading);
        reported.max(self.waiting_prefills)
    }
    /// Returns the number of prompt tokens that wait for prefill. Of prompts from other
    /// entries only the number is known, so each counts as a typical one.
    pub fn queued_tokens(&self, typical_prompt_tokens: f64, now: Instant) -> f64 {
        let from_other_entries = self.pending_prefills(now) - self.waiting_prefills;
        self.waiting_prefill_tokens as f64 + f64::from(from_other_entries) * typical_prompt_tokens
    }

    /// Estimates the prompt tokens that are not prefilled yet, at a prefill rate in tokens per
    /// ms: those of the last report, less those prefilled since, and the prompts sent since.
    pub fn pending_prompt_tokens(
        &self,
        tokens_per_ms: f64,
        typical_prompt_tokens: f64,
        now: Instant,
    ) -> f64 {
        let Some(view) = self.recent_view(now) else {
            return self.waiting_prefill_tokens as f64;
        };
        let stats = &view.figures;
        let reported = match stats.prefill_tokens {
            Some(tokens) => f64::from(tokens),
            None => f64::from(stats.reading) * typical_prompt_tokens,
        };
        let age = now.saturating_duration_since(self.viewed_at);
        let prefilled = age.as_secs_f64() * 1e3 * tokens_per_ms;
        let sent = self.prefill_window.sent_between(self.viewed_at, now);
        (reported - prefilled).max(0.0) + sent
    }
    /// Returns the performance that its sidecar measured, if the report is recent.
    pub fn measured_performance(&self, now: Instant) -> Option<EnginePerformance> {
        let view = self.recent_view(now)?;
        EnginePerformance::reported(&view.figures)
    }

    /// Returns whether its sidecar reported after `at`.
    pub fn has_reported_since(&self, at: Instant) -> bool {
        self.view.is_some() && self.viewed_at > at
    }
    /// Returns the age of the sidecar's last report.
    pub fn view_age(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.viewed_at);
        self.view.as_ref().map(|_| age)
    }

    fn recent_view(&self, now: Instant) -> Option<&EngineView> {
        let age = now.saturating_duration_since(self.viewed_at);
        self.view.as_ref().filter(|_| age < MAX_VIEW_AGE)
    }
}

/// Returns when the sidecar wrote the report; relays add the time that it spent on the way.
pub(crate) fn reported_at(stats: &EngineStats, now: Instant) -> Instant {
    let age = Duration::from_millis(u64::from(stats.age_ms));
    now.checked_sub(age).unwrap_or(now)
}
