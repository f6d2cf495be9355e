use {
    crate::placement::{adapter_hash, DemandTable, RecentAdapters},
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

/// Time without a message after which an entry expires; entries send one every 900 ms.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(3);

/// The state of a relay: the demands of its entries for each engine, and the views that
/// the engines' sidecars reported.
#[derive(Debug)]
pub struct RelayState {
    name: BoxName,
    /// Time of the last message of each entry.
    entries: HashMap<BoxName, Instant>,
    engines: BTreeMap<SocketAddr, RelayedEngine>,
    /// Engines whose newest view has not been sent to entries.
    unsent_views: BTreeSet<SocketAddr>,
    /// Engines without demand whose removal has not been sent to entries.
    unsent_removals: BTreeSet<SocketAddr>,
    /// Engines whose merged demand has not been sent to their sidecar.
    unsent_demands: BTreeSet<SocketAddr>,
}

/// One engine, as its sidecar reports it.
#[derive(Debug)]
struct RelayedEngine {
    demands: DemandTable,
    /// The newest view; `None` while the sidecar is unresponsive.
    view: Option<EngineView>,
    /// The view that was sent to entries.
    sent_view: Option<EngineView>,
    recent: RecentAdapters,
    received_at: Instant,
}

impl RelayState {
    /// `name` is the name of the relay's box.
    pub fn new(name: BoxName) -> Self {
        Self {
            name,
            entries: HashMap::new(),
            engines: BTreeMap::new(),
            unsent_views: BTreeSet::new(),
            unsent_removals: BTreeSet::new(),
            unsent_demands: BTreeSet::new(),
        }
    }

    /// Applies the demands of an entry. Returns whether the set of watched engines changed.
    pub fn on_demands(&mut self, message: RelayDemands, now: Instant) -> bool {
        let entry = message.entry;
        self.entries.insert(entry.clone(), now);
        if message.is_whole {
            self.remove_demands_of(&entry);
        }
        let known = self.engines.len();
        for update in message.engines {
            let engine = self.engines.entry(update.engine);
            let engine = engine.or_insert_with(|| RelayedEngine::new(now));
            match update.demand {
                Some(demand) => engine.demands.insert(demand, now),
                None => engine.demands.remove(&entry),
            }
            self.unsent_demands.insert(update.engine);
        }
        let has_added = self.engines.len() != known;
        self.remove_engines_without_demand() || has_added
    }

    /// Removes entries that are unresponsive. Returns whether the set of watched engines
    /// changed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let is_expired = |at: &Instant| now.saturating_duration_since(*at) >= ENTRY_TIMEOUT;
        let expired = self.entries.iter().filter(|(_, at)| is_expired(at));
        let expired: Vec<BoxName> = expired.map(|(entry, _)| entry.clone()).collect();
        for entry in &expired {
            self.entries.remove(entry);
            self.remove_demands_of(entry);
        }
        !expired.is_empty() && self.remove_engines_without_demand()
    }

    /// Stores a view that an engine's sidecar reported. Returns whether to send it to
    /// entries without delay.
    pub fn on_view(&mut self, engine: SocketAddr, view: EngineView, now: Instant) -> bool {
        let Some(known) = self.engines.get_mut(&engine) else {
            return false;
        };
        let before = known.view.as_ref();
        let is_urgent = before.is_none_or(|before| view.is_urgent_for_relay_after(before));
        known.on_view(view, now);
        self.unsent_views.insert(engine);
        is_urgent
    }

    /// Updates the stats of an engine whose view is otherwise unchanged. Returns whether to
    /// send them to entries without delay.
    pub fn on_stats(
        &mut self,
        engine: SocketAddr,
        backend: &BackendId,
        stats: EngineStats,
        now: Instant,
    ) -> bool {
        let Some(known) = self.engines.get_mut(&engine) else {
            return false;
        };
        let view = known.view.as_mut();
        let Some(view) = view.filter(|view| view.backend == *backend) else {
            return false;
        };
        let had_spare_slots = view.figures.spare_slots > 0;
        let before = view.figures;
        view.figures = stats;
        known.received_at = now;
        self.unsent_views.insert(engine);
        had_spare_slots != (stats.spare_slots > 0) || stats.differs_in_availability(&before)
    }

    /// Records that the sidecar of an engine is unresponsive.
    pub fn on_unresponsive(&mut self, engine: SocketAddr, now: Instant) {
        if let Some(known) = self.engines.get_mut(&engine) {
            known.view = None;
            known.received_at = now;
            self.unsent_views.insert(engine);
        }
    }

    /// Returns the update to send to all entries and marks it as sent.
    pub fn take_update(&mut self, now: Instant) -> RelayUpdate {
        let removed = std::mem::take(&mut self.unsent_removals);
        let mut news: Vec<EngineUpdate> = removed.into_iter().map(removal_update).collect();
        for addr in std::mem::take(&mut self.unsent_views) {
            let Some(engine) = self.engines.get_mut(&addr) else {
                continue;
            };
            news.extend(engine.take_change().map(|word| EngineUpdate {
                engine: addr,
                age_ms: engine.age_ms(now),
                word,
            }));
        }
        RelayUpdate { news }
    }

    /// Returns the views sent so far, for an entry that connects now and receives the
    /// updates from here on.
    pub fn full_update(&self, now: Instant) -> RelayUpdate {
        let sent = self.engines.iter().filter_map(|(addr, engine)| {
            let view = engine.sent_view.as_ref()?;
            Some(EngineUpdate {
                engine: *addr,
                age_ms: engine.age_ms(now),
                word: EngineViewState::View(ViewUpdate::Whole(engine.with_recent(view))),
            })
        });
        RelayUpdate {
            news: sent.collect(),
        }
    }

    /// Returns the demands to send to sidecars and marks them as sent.
    pub fn take_due_demands(&mut self) -> Vec<(SocketAddr, AdapterDemand)> {
        let due = std::mem::take(&mut self.unsent_demands);
        let demands = due.into_iter().filter_map(|addr| {
            let engine = self.engines.get(&addr)?;
            Some((addr, engine.demands.merged_demand(&self.name)?))
        });
        demands.collect()
    }

    /// Returns the engines that entries watch.
    pub fn engines(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.engines.keys().copied()
    }
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    fn remove_demands_of(&mut self, entry: &BoxName) {
        for (addr, engine) in &mut self.engines {
            engine.demands.remove(entry);
            self.unsent_demands.insert(*addr);
        }
    }

    /// Returns whether any engine was removed.
    fn remove_engines_without_demand(&mut self) -> bool {
        let known = self.engines.len();
        let unsent_removals = &mut self.unsent_removals;
        self.engines.retain(|addr, engine| {
            let has_demand = !engine.demands.is_empty();
            if !has_demand && engine.sent_view.is_some() {
                unsent_removals.insert(*addr);
            }
            has_demand
        });
        self.engines.len() != known
    }
}

fn removal_update(engine: SocketAddr) -> EngineUpdate {
    EngineUpdate {
        engine,
        age_ms: 0,
        word: EngineViewState::Silent,
    }
}

impl RelayedEngine {
    fn new(now: Instant) -> Self {
        Self {
            demands: DemandTable::default(),
            view: None,
            sent_view: None,
            recent: RecentAdapters::default(),
            received_at: now,
        }
    }

    fn on_view(&mut self, mut view: EngineView, now: Instant) {
        match &self.view {
            Some(before) if before.backend == view.backend => {
                let is_held = |a: &AdapterRef| view.held.iter().any(|h| h.adapter == *a);
                let held = before.held.iter().map(|h| &h.adapter);
                let evicted = held.filter(|adapter| !is_held(adapter));
                evicted.for_each(|adapter| self.recent.insert(adapter_hash(adapter)));
            }
            _ => self.recent.clear(),
        }
        let hashes = std::mem::take(&mut view.lately);
        hashes.into_iter().for_each(|hash| self.recent.insert(hash));
        self.view = Some(view);
        self.received_at = now;
    }

    /// Returns the smallest message that brings entries to the newest view, and marks that
    /// view as sent.
    fn take_change(&mut self) -> Option<EngineViewState> {
        let change = match (&mut self.sent_view, &self.view) {
            (None, None) => return None,
            (Some(_), None) => EngineViewState::Silent,
            (None, Some(view)) => EngineViewState::View(ViewUpdate::Whole(self.with_recent(view))),
            (Some(sent), Some(view)) if !sent.differs_beyond_stats(view) => {
                sent.figures = view.figures;
                return Some(EngineViewState::View(ViewUpdate::Figures(view.figures)));
            }
            (Some(sent), Some(view)) => match ViewUpdate::between(sent, view) {
                ViewUpdate::Whole(view) => {
                    EngineViewState::View(ViewUpdate::Whole(self.with_recent(&view)))
                }
                update => EngineViewState::View(update),
            },
        };
        self.sent_view = self.view.clone();
        Some(change)
    }

    /// Returns the view with the recently held adapters that this relay knows of.
    fn with_recent(&self, view: &EngineView) -> EngineView {
        EngineView {
            lately: self.recent.hashes().collect(),
            ..view.clone()
        }
    }

    fn age_ms(&self, now: Instant) -> u32 {
        now.saturating_duration_since(self.received_at).as_millis() as u32
    }
}
