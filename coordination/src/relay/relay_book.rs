use {
    crate::placement::{adapter_mark, DemandBook, LatelyHeld},
    chalkcart_protocol::peer::{
        AdapterDemand, EngineStats, EngineUpdate, EngineView, EngineViewState, RelayDemands,
        RelayUpdate, ViewUpdate,
    },
    chalkcart_state::{
        backends::{AdapterRef, BackendId},
        ids::BoxName,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// an entry that was silent for this long needs nothing; entries speak each
/// 900 ms
const ENTRY_SILENCE: Duration = Duration::from_secs(3);

/// What a relay knows: what its entries need of each engine, and what the
/// sidecar of each engine has said.
#[derive(Debug)]
pub struct RelayBook {
    name: BoxName,
    /// when each entry spoke
    entries: HashMap<BoxName, Instant>,
    engines: BTreeMap<SocketAddr, RelayedEngine>,
    /// engines whose word entries have not heard
    with_news: BTreeSet<SocketAddr>,
    /// engines that nobody follows any more, of which entries have not heard it
    forgotten: BTreeSet<SocketAddr>,
    /// engines whose sidecar has not heard what is needed
    with_demand: BTreeSet<SocketAddr>,
}

/// one engine, as its sidecar tells it
#[derive(Debug)]
struct RelayedEngine {
    demands: DemandBook,
    /// the newest view, none while its sidecar is silent
    view: Option<EngineView>,
    /// what entries have heard
    told: Option<EngineView>,
    lately: LatelyHeld,
    heard: Instant,
}

impl RelayBook {
    /// `name` is that of the relay's box
    pub fn new(name: BoxName) -> Self {
        Self {
            name,
            entries: HashMap::new(),
            engines: BTreeMap::new(),
            with_news: BTreeSet::new(),
            forgotten: BTreeSet::new(),
            with_demand: BTreeSet::new(),
        }
    }

    /// an entry says what it needs; says whether the engines to follow changed
    pub fn on_demands(&mut self, message: RelayDemands, now: Instant) -> bool {
        let entry = message.entry;
        self.entries.insert(entry.clone(), now);
        if message.is_whole {
            self.forget_entry(&entry);
        }
        let known = self.engines.len();
        for told in message.engines {
            let engine = self.engines.entry(told.engine);
            let engine = engine.or_insert_with(|| RelayedEngine::new(now));
            match told.demand {
                Some(demand) => engine.demands.put(demand, now),
                None => engine.demands.forget(&entry),
            }
            self.with_demand.insert(told.engine);
        }
        let has_more = self.engines.len() != known;
        self.forget_engines() || has_more
    }

    /// forget entries that are silent; says whether the engines to follow changed
    pub fn expire(&mut self, now: Instant) -> bool {
        let is_silent = |at: &Instant| now.saturating_duration_since(*at) >= ENTRY_SILENCE;
        let silent = self.entries.iter().filter(|(_, at)| is_silent(at));
        let silent: Vec<BoxName> = silent.map(|(entry, _)| entry.clone()).collect();
        for entry in &silent {
            self.entries.remove(entry);
            self.forget_entry(entry);
        }
        !silent.is_empty() && self.forget_engines()
    }

    /// the sidecar of an engine has spoken; says whether entries should hear it
    /// at once
    pub fn on_view(&mut self, engine: SocketAddr, view: EngineView, now: Instant) -> bool {
        let Some(known) = self.engines.get_mut(&engine) else {
            return false;
        };
        let before = known.view.as_ref();
        let is_urgent = before.is_none_or(|before| view.is_urgent_for_relay_after(before));
        known.on_view(view, now);
        self.with_news.insert(engine);
        is_urgent
    }

    /// nothing but the figures of an engine has changed; says whether entries
    /// should hear it at once
    pub fn on_figures(
        &mut self,
        engine: SocketAddr,
        backend: &BackendId,
        figures: EngineStats,
        now: Instant,
    ) -> bool {
        let Some(known) = self.engines.get_mut(&engine) else {
            return false;
        };
        let view = known.view.as_mut();
        let Some(view) = view.filter(|view| view.backend == *backend) else {
            return false;
        };
        let had_spare = view.figures.spare_slots > 0;
        let before = view.figures;
        view.figures = figures;
        known.heard = now;
        self.with_news.insert(engine);
        had_spare != (figures.spare_slots > 0) || figures.differs_in_availability(&before)
    }

    /// the sidecar of an engine is silent
    pub fn on_silent(&mut self, engine: SocketAddr, now: Instant) {
        if let Some(known) = self.engines.get_mut(&engine) {
            known.view = None;
            known.heard = now;
            self.with_news.insert(engine);
        }
    }

    /// what entries have not heard, for all of them
    pub fn take_news(&mut self, now: Instant) -> RelayUpdate {
        let forgotten = std::mem::take(&mut self.forgotten);
        let mut news: Vec<EngineUpdate> = forgotten.into_iter().map(silent).collect();
        for addr in std::mem::take(&mut self.with_news) {
            let Some(engine) = self.engines.get_mut(&addr) else {
                continue;
            };
            news.extend(engine.take_word().map(|word| EngineUpdate {
                engine: addr,
                age_ms: engine.age_ms(now),
                word,
            }));
        }
        RelayUpdate { news }
    }

    /// what an entry that comes in now must hear, to follow the news from here on
    pub fn whole(&self, now: Instant) -> RelayUpdate {
        let told = self.engines.iter().filter_map(|(addr, engine)| {
            let view = engine.told.as_ref()?;
            Some(EngineUpdate {
                engine: *addr,
                age_ms: engine.age_ms(now),
                word: EngineViewState::View(ViewUpdate::Whole(engine.with_lately(view))),
            })
        });
        RelayUpdate {
            news: told.collect(),
        }
    }

    /// what sidecars must hear now
    pub fn take_demands(&mut self) -> Vec<(SocketAddr, AdapterDemand)> {
        let due = std::mem::take(&mut self.with_demand);
        let demands = due.into_iter().filter_map(|addr| {
            let engine = self.engines.get(&addr)?;
            Some((addr, engine.demands.merged(&self.name)?))
        });
        demands.collect()
    }

    /// engines that entries follow
    pub fn engines(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.engines.keys().copied()
    }
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    fn forget_entry(&mut self, entry: &BoxName) {
        for (addr, engine) in &mut self.engines {
            engine.demands.forget(entry);
            self.with_demand.insert(*addr);
        }
    }

    /// says whether any was forgotten
    fn forget_engines(&mut self) -> bool {
        let known = self.engines.len();
        let forgotten = &mut self.forgotten;
        self.engines.retain(|addr, engine| {
            let is_followed = !engine.demands.is_empty();
            if !is_followed && engine.told.is_some() {
                forgotten.insert(*addr);
            }
            is_followed
        });
        self.engines.len() != known
    }
}

fn silent(engine: SocketAddr) -> EngineUpdate {
    EngineUpdate {
        engine,
        age_ms: 0,
        word: EngineViewState::Silent,
    }
}

impl RelayedEngine {
    fn new(now: Instant) -> Self {
        Self {
            demands: DemandBook::default(),
            view: None,
            told: None,
            lately: LatelyHeld::default(),
            heard: now,
        }
    }

    fn on_view(&mut self, mut view: EngineView, now: Instant) {
        match &self.view {
            Some(before) if before.backend == view.backend => {
                let is_held = |a: &AdapterRef| view.held.iter().any(|h| h.adapter == *a);
                let left = before.held.iter().map(|h| &h.adapter);
                let left = left.filter(|adapter| !is_held(adapter));
                left.for_each(|adapter| self.lately.put(adapter_mark(adapter)));
            }
            _ => self.lately.clear(),
        }
        let marks = std::mem::take(&mut view.lately);
        marks.into_iter().for_each(|mark| self.lately.put(mark));
        self.view = Some(view);
        self.heard = now;
    }

    /// the smallest message that tells entries the newest view
    fn take_word(&mut self) -> Option<EngineViewState> {
        let word = match (&mut self.told, &self.view) {
            (None, None) => return None,
            (Some(_), None) => EngineViewState::Silent,
            (None, Some(view)) => EngineViewState::View(ViewUpdate::Whole(self.with_lately(view))),
            (Some(told), Some(view)) if !told.differs_beyond_stats(view) => {
                told.figures = view.figures;
                return Some(EngineViewState::View(ViewUpdate::Figures(view.figures)));
            }
            (Some(told), Some(view)) => match ViewUpdate::between(told, view) {
                ViewUpdate::Whole(view) => {
                    EngineViewState::View(ViewUpdate::Whole(self.with_lately(&view)))
                }
                change => EngineViewState::View(change),
            },
        };
        self.told = self.view.clone();
        Some(word)
    }

    fn with_lately(&self, view: &EngineView) -> EngineView {
        EngineView {
            lately: self.lately.marks().collect(),
            ..view.clone()
        }
    }

    fn age_ms(&self, now: Instant) -> u32 {
        now.saturating_duration_since(self.heard).as_millis() as u32
    }
}
