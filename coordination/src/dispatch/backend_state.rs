use {
    super::{own_words::OwnWords, Ask, OwnSight},
    crate::{
        intake::{
            AskedRest, ColdBound, ColdPace, FullPause, Health, IntakeReason, NamedLimit, Sharers,
        },
        membership::{rendezvous_weight, stable_hash},
        placement::{adapter_mark, AdapterMark, LatelyHeld},
    },
    chalkcart_protocol::peer::{EngineStats, EngineView},
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
const VIEW_FRESH: Duration = Duration::from_secs(1);
/// time for a sidecar to speak before the list is believed
const LIST_TRUSTED_AFTER: Duration = Duration::from_millis(1_500);

/// a request on its way at a back end
#[derive(Debug, Clone)]
pub struct Sent {
    pub digest: RequestDigest,
    pub is_suspected: bool,
    pub adapter: Option<AdapterRef>,
    pub prompt_tokens: u32,
    pub at: Instant,
    /// its first token came
    pub started: bool,
    /// nothing else was being read there when it was sent
    pub read_alone: bool,
    /// it shows whether the rest that the back end asked for is over
    pub is_trial: bool,
}

/// requests that a view concerns, of those that wait
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewNews {
    All,
    /// those for adapters that came
    Came(Vec<AdapterRef>),
}

impl ViewNews {
    pub fn concerns(&self, ask: &Ask) -> bool {
        match self {
            Self::All => true,
            Self::Came(adapters) => ask.adapter.as_ref().is_some_and(|a| adapters.contains(a)),
        }
    }
    pub fn is_empty(&self) -> bool {
        *self == Self::Came(Vec::new())
    }
}

/// what an entry knows of one back end
#[derive(Debug, Clone)]
pub struct BackendState {
    pub listed: Backend,
    /// it has said itself that it leaves
    pub says_leaving: bool,
    /// the rest that it has asked for
    pub rest: AskedRest,
    /// the requests that it takes, by its own word
    pub limit: NamedLimit,
    /// what was seen of it while its sidecar is not heard
    pub sight: OwnSight,
    /// no longer in the list; used only where nothing else is
    pub is_gone: bool,
    /// its sidecar spoke of it before the list did
    pub is_ahead: bool,
    /// another incarnation has answered at its address
    pub is_superseded: bool,
    /// the sidecar at its address speaks of another incarnation
    pub is_replaced: bool,
    /// its sidecar has spoken of another life after it
    pub has_ended: bool,
    known_since: Instant,
    pub health: Health,
    pub in_flight: u32,
    /// of these, requests that engines ended under before
    suspected: u32,
    /// of these, waiting for their first token
    unstarted: u32,
    unstarted_tokens: u64,
    pub view: Option<EngineView>,
    viewed_at: Instant,
    /// versions of the adapters in the view
    held: HashMap<AdapterRef, u64>,
    /// what it has held before, by the views of it
    lately: LatelyHeld,
    /// hash of its address, for the order of homes
    home_hash: u64,
    pub running_on: HashMap<AdapterRef, u32>,
    pub used: HashSet<AdapterRef>,
    /// its sidecar was told last that nothing is needed of it
    pub is_quiet: bool,
    /// adapters that the engine has refused since the last view
    refused: HashSet<AdapterRef>,
    full: FullPause,
    /// while it is cold, or was when this was looked at last
    pub cold: Option<ColdBound>,
}

impl BackendState {
    pub fn new(listed: Backend, now: Instant) -> Self {
        Self {
            home_hash: stable_hash(&listed.addr.to_string()),
            held: HashMap::new(),
            lately: LatelyHeld::default(),
            listed,
            says_leaving: false,
            rest: AskedRest::default(),
            limit: NamedLimit::default(),
            sight: OwnSight::default(),
            is_gone: false,
            is_ahead: false,
            is_superseded: false,
            is_replaced: false,
            has_ended: false,
            known_since: now,
            health: Health::new(now),
            in_flight: 0,
            suspected: 0,
            unstarted: 0,
            unstarted_tokens: 0,
            view: None,
            viewed_at: now,
            running_on: HashMap::new(),
            used: HashSet::new(),
            is_quiet: false,
            refused: HashSet::new(),
            full: FullPause::default(),
            cold: None,
        }
    }

    /// what it has said of itself, if its record was away for a while
    pub(super) fn recall(&mut self, words: &mut OwnWords, now: Instant) {
        self.says_leaving = words.is_leaving(&self.listed.id);
        self.rest.set_until(words.rests_until(&self.listed.id, now));
        self.limit = words.take_limit(&self.listed.id);
    }
    /// who shares what it takes: so many entries, of which `entry` is one
    pub fn sharers(&self, entry: &str, entries: u32, is_engine: bool) -> Sharers {
        let weight = rendezvous_weight(stable_hash(entry), self.home_hash);
        Sharers {
            entries,
            phase: weight as f64 / u64::MAX as f64,
            has_dealer: self.view.is_some(),
            is_engine,
        }
    }

    /// it says how much longer it is cold; `entry` is the one that asks
    pub fn set_cold(&mut self, entry: &str, left: Duration, now: Instant) {
        match &mut self.cold {
            Some(cold) => cold.set_left(left, now),
            None if left.is_zero() => {}
            None => self.cold = Some(ColdBound::new(entry, &self.listed.id, left, now)),
        }
    }
    pub fn pass_cold(&mut self, pace: ColdPace, entries: u32, now: Instant) {
        self.cold = self.cold.take().filter(|cold| cold.is_cold(now));
        // a service without a pace does not bound its cold ones
        self.cold = self.cold.take().filter(|_| pace.per_s > 0.0);
        if let Some(cold) = &mut self.cold {
            cold.pass(pace, entries, now);
        }
    }

    /// its sidecar has spoken; says which requests may be sent now that waited
    pub fn on_view(&mut self, view: EngineView, now: Instant) -> ViewNews {
        let known = self.view.as_ref();
        let news = self.news_of(&view);
        if known.is_none_or(|known| known.held != view.held) {
            let held = view.held.iter().map(|h| (h.adapter.clone(), h.version));
            let before = std::mem::replace(&mut self.held, held.collect());
            let left = before.keys().filter(|a| !self.held.contains_key(a));
            left.for_each(|a| self.lately.put(adapter_mark(a)));
        }
        view.lately.iter().for_each(|mark| self.lately.put(*mark));
        self.viewed_at = said_at(&view.figures, now);
        self.view = Some(view);
        self.sight.on_heard();
        self.refused.clear();
        news
    }
    /// A place that became free is not news: requests that lack a home are looked
    /// at with the next tick, as views come many times between two ticks.
    fn news_of(&self, view: &EngineView) -> ViewNews {
        let Some(known) = self.view.as_ref().filter(|v| v.models == view.models) else {
            return ViewNews::All;
        };
        if !self.refused.is_empty() {
            return ViewNews::All;
        }
        let came = view.held.iter().filter(|h| !known.held.contains(h));
        ViewNews::Came(came.map(|h| h.adapter.clone()).collect())
    }
    /// its sidecar says that nothing but these figures has changed
    pub fn on_figures(&mut self, figures: EngineStats, now: Instant) {
        if let Some(view) = &mut self.view {
            view.figures = figures;
            self.viewed_at = said_at(&figures, now);
            self.refused.clear();
        }
    }
    /// another life has begun at its address
    pub fn end_life(&mut self) {
        self.has_ended = true;
        self.is_ahead = false;
        self.view = None;
        self.held.clear();
    }
    /// the link to its sidecar is gone; what it held is most likely there still
    pub fn on_view_lost(&mut self, now: Instant) {
        self.view = None;
        let held = std::mem::take(&mut self.held);
        self.sight.on_view_lost(held.into_keys(), now);
    }
    pub fn on_sent(&mut self, sent: &Sent) {
        if let Some(cold) = &mut self.cold {
            cold.on_sent();
        }
        self.limit.on_sent(sent.at);
        self.in_flight += 1;
        self.suspected += u32::from(sent.is_suspected);
        self.unstarted += 1;
        self.unstarted_tokens += u64::from(sent.prompt_tokens);
        if let Some(adapter) = &sent.adapter {
            *self.running_on.entry(adapter.clone()).or_default() += 1;
            self.used.insert(adapter.clone());
            if self.is_unheard(sent.at) {
                self.sight.on_sent(adapter, sent.at);
            }
        }
    }
    pub fn on_started(&mut self, sent: &Sent) {
        self.unstarted = self.unstarted.saturating_sub(1);
        let tokens = u64::from(sent.prompt_tokens);
        self.unstarted_tokens = self.unstarted_tokens.saturating_sub(tokens);
    }
    pub fn on_ended(&mut self, sent: &Sent) {
        if !sent.started {
            self.on_started(sent);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        self.suspected -= u32::from(sent.is_suspected);
        let Some(adapter) = &sent.adapter else {
            return;
        };
        if let Some(count) = self.running_on.get_mut(adapter) {
            *count -= 1;
            if *count == 0 {
                self.running_on.remove(adapter);
            }
        }
    }
    /// no request of this entry runs or ran there since the last demand
    pub fn needs_nothing(&self) -> bool {
        self.running_on.is_empty() && self.used.is_empty()
    }
    pub fn on_full(&mut self, now: Instant) {
        self.full.on_full(now);
    }
    /// it lacks an adapter, or has another version of it; says whether a request looked for
    /// it there too early
    pub fn on_refused(&mut self, adapter: &AdapterRef, now: Instant) -> bool {
        match self.is_unheard(now) {
            // no view will say that it has it again
            true => self.sight.on_lacked(adapter, now),
            false => {
                self.refused.insert(adapter.clone());
                false
            }
        }
    }
    /// its sidecar does not speak, and has had time to
    pub fn is_unheard(&self, now: Instant) -> bool {
        let known = now.saturating_duration_since(self.known_since);
        self.view.is_none() && known > LIST_TRUSTED_AFTER
    }

    /// the version of an adapter that requests may be sent to
    pub fn held_version(&self, adapter: &AdapterRef, now: Instant) -> Option<u64> {
        if self.refused.contains(adapter) {
            return None;
        }
        if self.view.is_some() {
            return self.held.get(adapter).copied();
        }
        // the list lags: it is used only where no sidecar speaks
        if !self.is_unheard(now) || self.sight.lacks(adapter, now) {
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
    pub fn held_lately(&self, mark: AdapterMark) -> bool {
        self.lately.has(mark)
    }
    pub fn home_hash(&self) -> u64 {
        self.home_hash
    }
    pub fn spare_slots(&self) -> u32 {
        self.view.as_ref().map_or(0, |v| v.figures.spare_slots)
    }
    pub fn takes_work(&self, now: Instant) -> bool {
        let is_resting = self.health.is_resting(now) || self.rest.is_on(now);
        self.may_be_asked() && !self.is_gone && !is_resting
    }
    /// it takes no new work, by its record or its own word
    pub fn is_leaving(&self) -> bool {
        self.listed.leaving || self.says_leaving
    }
    /// it lives, as far as is known, and does not leave
    pub fn may_be_asked(&self) -> bool {
        self.may_live() && !self.is_leaving()
    }
    /// nothing says that another incarnation is at its address
    pub fn may_live(&self) -> bool {
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
    pub fn has_place_for(&self, ask: &Ask, now: Instant) -> bool {
        self.has_place(now) && !(ask.is_suspected && self.suspected > 0)
    }
    pub fn has_place(&self, now: Instant) -> bool {
        self.closed_by(now).is_none()
    }
    /// nothing but the limit that it has named may keep a request from it
    pub fn has_place_beyond_limit(&self, now: Instant) -> bool {
        let limited = self.limit.code();
        self.closed_by(now).is_none_or(|code| code == limited)
    }
    /// The code of what keeps one more request from it now. That it takes no more by its own
    /// word comes last, so that it is named only where nothing else does.
    pub fn closed_by(&self, now: Instant) -> Option<&'static str> {
        let cold = self.cold.as_ref().map(|cold| cold as &dyn IntakeReason);
        let before = [
            Some(&self.rest as &dyn IntakeReason),
            cold,
            Some(&self.full),
        ];
        let mut before = before.into_iter().flatten();
        if let Some(reason) = before.find(|reason| reason.closed_for(now).is_some()) {
            return Some(reason.code());
        }
        if self.occupied(now) >= self.listed.slots {
            return Some(self.full.code());
        }
        let is_limited = self.limit.closed_for(now).is_some();
        is_limited.then(|| self.limit.code())
    }
    /// prompts that are read or wait there, as far as is known
    pub fn unread(&self, now: Instant) -> u32 {
        let seen = self.fresh_view(now).map_or(0, |v| v.figures.reading);
        seen.max(self.unstarted)
    }
    /// Prompt tokens that wait to be read. Of prompts that other entries have
    /// sent only the number is known, so each counts as a typical one.
    pub fn queued_tokens(&self, typical_prompt: f64, now: Instant) -> f64 {
        let unseen = self.unread(now) - self.unstarted;
        self.unstarted_tokens as f64 + f64::from(unseen) * typical_prompt
    }

    /// whether its sidecar has spoken after this moment
    pub fn has_spoken_since(&self, at: Instant) -> bool {
        self.view.is_some() && self.viewed_at > at
    }
    /// age of the sidecar's last word
    pub fn view_age(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.viewed_at);
        self.view.as_ref().map(|_| age)
    }

    fn fresh_view(&self, now: Instant) -> Option<&EngineView> {
        let age = now.saturating_duration_since(self.viewed_at);
        self.view.as_ref().filter(|_| age < VIEW_FRESH)
    }
}

/// when the sidecar said this; relays count how long ago that was
pub(crate) fn said_at(figures: &EngineStats, now: Instant) -> Instant {
    let age = Duration::from_millis(u64::from(figures.age_ms));
    now.checked_sub(age).unwrap_or(now)
}
