use {
    super::{SELECTION_STEPS, UPDATE_TIMEOUT, ZONE_LOST_AFTER},
    chalkcart_coordination::relay::{RelayCandidate, RelaySelector, RelayedEvent, RelayedViews},
    chalkcart_protocol::peer::{AdapterDemand, EngineDemand, RelayDemands},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Instant,
    },
};

/// An entry's or a relay's link to a relay.
pub(super) struct Reader {
    pub(super) name: String,
    /// The address of the reader if it is a relay.
    pub(super) own: Option<SocketAddr>,
    pub(super) selector: RelaySelector,
    pub(super) candidates: Vec<RelayCandidate>,
    /// The engines of the candidates.
    pub(super) watched: BTreeSet<SocketAddr>,
    pub(super) current: Option<SocketAddr>,
    /// Whether the current relay's stream is open.
    pub(super) is_open: bool,
    /// How often the relay had been killed when its stream was opened.
    pub(super) kills: u32,
    pub(super) opened_at: Instant,
    pub(super) updated_at: Instant,
    pub(super) views: RelayedViews,
    pub(super) demands: BTreeMap<SocketAddr, AdapterDemand>,
    /// Engines whose demand the relay does not have.
    pub(super) unsent: BTreeSet<SocketAddr>,
}

impl Reader {
    pub(super) fn new(name: String, zone: &str, own: Option<SocketAddr>, now: Instant) -> Self {
        Self {
            selector: RelaySelector::new(&name, &zone.to_string()),
            name,
            own,
            candidates: Vec::new(),
            watched: BTreeSet::new(),
            current: None,
            is_open: false,
            kills: 0,
            opened_at: now,
            updated_at: now,
            views: RelayedViews::default(),
            demands: BTreeMap::new(),
            unsent: BTreeSet::new(),
        }
    }

    pub(super) fn set_candidates(&mut self, candidates: Vec<RelayCandidate>) {
        self.watched = candidates.iter().map(|c| c.engine).collect();
        self.candidates = candidates;
    }

    /// Selects a relay if there is none, or if another one is preferred and responds.
    pub(super) fn select(
        &mut self,
        step: u64,
        responds: impl Fn(SocketAddr) -> bool,
        now: Instant,
    ) {
        if self.current.is_some() && !step.is_multiple_of(SELECTION_STEPS) {
            return;
        }
        let selected = self.selector.select(&self.candidates, self.current, now);
        let unresponsive =
            selected.filter(|selected| self.current.is_some() && !responds(*selected));
        if let Some(unresponsive) = unresponsive.filter(|_| selected != self.current) {
            self.selector.on_failure(unresponsive, now);
        } else if selected != self.current {
            (self.current, self.is_open, self.opened_at) = (selected, false, now);
        }
    }

    /// Handles the lack of an update; `is_refused` if the relay is known not to run.
    pub(super) fn on_silence(&mut self, is_refused: bool, now: Instant) -> Vec<RelayedEvent> {
        let silent_since = self.updated_at.max(self.opened_at);
        let is_failed = now.saturating_duration_since(silent_since) >= UPDATE_TIMEOUT;
        if !is_refused && !is_failed {
            return Vec::new();
        }
        if let Some(current) = self.current.take() {
            match is_refused {
                true => self.selector.on_refusal(current, now),
                false => self.selector.on_failure(current, now),
            }
        }
        let is_lost = now.saturating_duration_since(self.updated_at) >= ZONE_LOST_AFTER;
        match self.own.is_some() && is_lost {
            true => self
                .views
                .forget_all(|engine| self.watched.contains(engine)),
            false => Vec::new(),
        }
    }

    pub(super) fn take_demands(&mut self) -> RelayDemands {
        let is_whole = !self.is_open;
        if is_whole {
            self.unsent = self.demands.keys().copied().collect();
        }
        let engines = std::mem::take(&mut self.unsent).into_iter();
        let engines = engines.map(|engine| {
            let candidate = self.candidates.iter().find(|c| c.engine == engine);
            EngineDemand {
                engine,
                demand: self.demands.get(&engine).cloned(),
                zone: candidate.map(|c| c.zone.clone()),
            }
        });
        RelayDemands {
            entry: self.name.clone(),
            is_whole,
            engines: engines.collect(),
            is_relay: self.own.is_some(),
        }
    }
}
