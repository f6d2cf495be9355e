use {
    super::{LinkPlan, WatchedEngine, MIN_ENGINES_FOR_ZONE_RELAYS},
    crate::placement::{adapter_hash, DemandTable, RecentAdapters},
    chalkcart_protocol::peer::{
        AdapterDemand, EngineStats, EngineUpdate, EngineView, EngineViewState, RelayDemands,
        RelayUpdate, ViewUpdate,
    },
    chalkcart_state::{
        backends::{AdapterRef, BackendId},
        ids::{BoxName, ZoneName},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::{IpAddr, SocketAddr},
        time::{Duration, Instant},
    },
};

/// Time without a message after which a reader expires; readers send one every 900 ms.
const READER_TIMEOUT: Duration = Duration::from_secs(3);

/// Settings of a relay.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// The name of the relay's box.
    pub name: BoxName,
    /// The address of the relay's box; the engine there is in the relay's zone. `None` if it is
    /// unknown, which makes the relay read all engines directly.
    pub ip: Option<IpAddr>,
    /// Number of engines from which relays of other zones are used.
    pub min_engines_for_zone_relays: usize,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            name: BoxName::new(),
            ip: None,
            min_engines_for_zone_relays: MIN_ENGINES_FOR_ZONE_RELAYS,
        }
    }
}

/// An entry, or a relay of another zone, that uses this relay.
#[derive(Debug, Clone, Copy)]
struct RelayReader {
    last_message: Instant,
    is_relay: bool,
}

/// The state of a relay: the demands of its readers for each engine, and the views that
/// the engines' sidecars, or relays of other zones, reported.
#[derive(Debug)]
pub struct RelayState {
    settings: RelaySettings,
    readers: HashMap<BoxName, RelayReader>,
    engines: BTreeMap<SocketAddr, RelayedEngine>,
    plan: LinkPlan,
    /// Whether the plan must be computed again.
    is_plan_outdated: bool,
    /// Engines whose newest view has not been sent to readers.
    unsent_views: BTreeSet<SocketAddr>,
    /// Engines without demand whose removal has not been sent to readers.
    unsent_removals: BTreeSet<SocketAddr>,
    /// Engines whose merged demand has not been sent on.
    unsent_demands: BTreeSet<SocketAddr>,
}

/// One engine, as its sidecar reports it.
#[derive(Debug)]
struct RelayedEngine {
    demands: DemandTable,
    /// `None` if no reader has told it.
    zone: Option<ZoneName>,
    /// The newest view; `None` while the sidecar is unresponsive.
    view: Option<EngineView>,
    /// The view that was sent to readers.
    sent_view: Option<EngineView>,
    /// The time at which the sidecar reported `sent_view`.
    sent_reported_at: Instant,
    recent: RecentAdapters,
    /// The time at which the sidecar sent its last report, or was found unresponsive.
    reported_at: Instant,
    /// Whether no report was accepted since the plan changed from links to relays or back, so
    /// that the next one may be older than the last.
    is_path_new: bool,
}

impl RelayState {
    pub fn new(settings: RelaySettings) -> Self {
        Self {
            settings,
            readers: HashMap::new(),
            engines: BTreeMap::new(),
            plan: LinkPlan::default(),
            is_plan_outdated: false,
            unsent_views: BTreeSet::new(),
            unsent_removals: BTreeSet::new(),
            unsent_demands: BTreeSet::new(),
        }
    }

    /// Applies the demands of a reader. Returns whether the links may have to change.
    pub fn on_demands(&mut self, message: RelayDemands, now: Instant) -> bool {
        let was_outdated = std::mem::take(&mut self.is_plan_outdated);
        let sender = message.entry;
        let reader = RelayReader {
            last_message: now,
            is_relay: message.is_relay,
        };
        self.readers.insert(sender.clone(), reader);
        if message.is_whole {
            self.remove_demands_of(&sender);
        }
        for update in message.engines {
            let engine = self.engines.entry(update.engine);
            let engine = engine.or_insert_with(|| RelayedEngine::new(now));
            if engine.demands.is_empty() {
                self.is_plan_outdated = true;
                // Readers were told that it was removed, if they knew it.
                self.unsent_views.insert(update.engine);
            }
            match update.demand {
                Some(demand) => {
                    let is_first = !engine.demands.has_demand_of(&sender);
                    self.is_plan_outdated |= is_first && message.is_relay;
                    engine.demands.insert(demand, now);
                }
                None => engine.demands.remove(&sender),
            }
            if update.zone.is_some() && update.zone != engine.zone {
                engine.zone = update.zone;
                self.is_plan_outdated = true;
            }
            self.unsent_demands.insert(update.engine);
        }
        self.mark_engines_without_demand();
        let has_changed = self.is_plan_outdated;
        self.is_plan_outdated |= was_outdated;
        has_changed
    }

    /// Removes readers that are unresponsive. Returns whether the links may have to change.
    pub fn expire(&mut self, now: Instant) -> bool {
        let was_outdated = std::mem::take(&mut self.is_plan_outdated);
        let is_expired = |reader: &RelayReader| {
            now.saturating_duration_since(reader.last_message) >= READER_TIMEOUT
        };
        let expired = self.readers.iter().filter(|(_, reader)| is_expired(reader));
        let expired: Vec<BoxName> = expired.map(|(name, _)| name.clone()).collect();
        for name in &expired {
            let reader = self.readers.remove(name);
            self.is_plan_outdated |= reader.is_some_and(|reader| reader.is_relay);
            self.remove_demands_of(name);
        }
        if !expired.is_empty() {
            self.mark_engines_without_demand();
        }
        let has_changed = self.is_plan_outdated;
        self.is_plan_outdated |= was_outdated;
        has_changed
    }

    /// Returns how the watched engines are reached.
    ///
    /// Other relays read the engines that are reached directly. One that becomes so is sent in
    /// full, since they have not received its view yet.
    pub fn update_plan(&mut self) -> &LinkPlan {
        if std::mem::take(&mut self.is_plan_outdated) {
            self.engines.retain(|_, engine| !engine.demands.is_empty());
            let engines: Vec<WatchedEngine> = self.watched_engines().collect();
            let min_engines = self.settings.min_engines_for_zone_relays;
            let plan = LinkPlan::new(&engines, self.own_zone().as_ref(), min_engines, &self.plan);
            for (addr, engine) in &mut self.engines {
                let (is_direct, was_direct) = (plan.is_direct(*addr), self.plan.is_direct(*addr));
                engine.is_path_new |= is_direct != was_direct && engine.view.is_some();
                if is_direct && !was_direct {
                    engine.sent_view = None;
                    self.unsent_views.insert(*addr);
                }
            }
            self.plan = plan;
        }
        &self.plan
    }

    /// Stores a view that an engine's sidecar reported. Returns whether to send it to
    /// entries without delay.
    pub fn on_view(&mut self, engine: SocketAddr, view: EngineView, now: Instant) -> bool {
        let Some(known) = self.engines.get_mut(&engine) else {
            return false;
        };
        let reported_at = reported_at(&view.figures, now);
        if known.is_outdated(reported_at) {
            return false;
        }
        let before = known.view.as_ref();
        let is_urgent = before.is_none_or(|before| view.is_urgent_for_relay_after(before));
        known.on_view(view, reported_at);
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
        let reported_at = reported_at(&stats, now);
        if known.is_outdated(reported_at) {
            return false;
        }
        let view = known.view.as_mut();
        let Some(view) = view.filter(|view| view.backend == *backend) else {
            return false;
        };
        let had_spare_slots = view.figures.spare_slots > 0;
        let before = view.figures;
        view.figures = stats;
        known.reported_at = reported_at;
        self.unsent_views.insert(engine);
        had_spare_slots != (stats.spare_slots > 0) || stats.differs_in_availability(&before)
    }

    /// Records that the sidecar of an engine is unresponsive.
    pub fn on_unresponsive(&mut self, engine: SocketAddr, now: Instant) {
        if let Some(known) = self.engines.get_mut(&engine) {
            known.view = None;
            known.reported_at = now;
            self.unsent_views.insert(engine);
        }
    }

    /// Returns the changes of the engines that are reached directly, for all readers, and marks
    /// them as sent.
    pub fn take_update(&mut self, now: Instant) -> RelayUpdate {
        let removed = std::mem::take(&mut self.unsent_removals);
        let mut news: Vec<EngineUpdate> = removed.into_iter().map(removal_update).collect();
        let unsent = std::mem::take(&mut self.unsent_views);
        let (forwarded, direct) = unsent
            .into_iter()
            .partition(|addr| self.is_forwarded(*addr));
        self.unsent_views = forwarded;
        news.extend(self.take_changes(direct, now));
        RelayUpdate { news }
    }

    /// Returns the changes that relays of other zones reported, for entries alone, and marks them
    /// as sent.
    pub fn take_forwarded_update(&mut self, now: Instant) -> RelayUpdate {
        let unsent = std::mem::take(&mut self.unsent_views);
        let (forwarded, direct) = unsent
            .into_iter()
            .partition(|addr| self.is_forwarded(*addr));
        self.unsent_views = direct;
        let news = self.take_changes(forwarded, now);
        RelayUpdate { news }
    }

    fn take_changes(&mut self, engines: BTreeSet<SocketAddr>, now: Instant) -> Vec<EngineUpdate> {
        let changes = engines.into_iter().filter_map(|addr| {
            let engine = self.engines.get_mut(&addr);
            let engine = engine.filter(|engine| !engine.demands.is_empty())?;
            Some(EngineUpdate {
                engine: addr,
                age_ms: age_ms(engine.reported_at, now),
                word: engine.take_change()?,
            })
        });
        changes.collect()
    }

    /// Returns the views sent so far, for an entry that connects now and receives the
    /// updates from here on.
    pub fn full_update(&self, now: Instant) -> RelayUpdate {
        self.sent_views(now, |_| true)
    }

    /// Like [`Self::full_update`], for a relay of another zone.
    pub fn full_direct_update(&self, now: Instant) -> RelayUpdate {
        self.sent_views(now, |addr| !self.is_forwarded(addr))
    }

    fn sent_views(&self, now: Instant, is_included: impl Fn(SocketAddr) -> bool) -> RelayUpdate {
        let included = self.engines.iter().filter(|(addr, _)| is_included(**addr));
        let sent = included.filter_map(|(addr, engine)| {
            let view = engine.sent_view.as_ref()?;
            Some(EngineUpdate {
                engine: *addr,
                age_ms: age_ms(engine.sent_reported_at, now),
                word: EngineViewState::View(ViewUpdate::Whole(engine.with_recent(view))),
            })
        });
        RelayUpdate {
            news: sent.collect(),
        }
    }

    /// Returns the demands to send to sidecars and marks them as sent.
    pub fn take_due_demands(&mut self, now: Instant) -> Vec<(SocketAddr, AdapterDemand)> {
        let due = std::mem::take(&mut self.unsent_demands);
        let demands = due.into_iter().filter_map(|addr| {
            let engine = self.engines.get(&addr)?;
            Some((
                addr,
                engine.demands.merged_demand(&self.settings.name, now)?,
            ))
        });
        demands.collect()
    }

    /// Returns the engines that readers watch.
    pub fn engines(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let watched = self.engines.iter().filter(|(_, e)| !e.demands.is_empty());
        watched.map(|(addr, _)| *addr)
    }
    /// Returns the number of entries and relays that use this relay.
    pub fn reader_count(&self) -> usize {
        self.readers.len()
    }

    fn is_forwarded(&self, engine: SocketAddr) -> bool {
        let mut zones = self.plan.through_zones.values();
        zones.any(|engines| engines.contains(&engine))
    }

    fn watched_engines(&self) -> impl Iterator<Item = WatchedEngine> + '_ {
        let relays = self.readers.iter().filter(|(_, reader)| reader.is_relay);
        let relays: Vec<&BoxName> = relays.map(|(name, _)| name).collect();
        self.engines
            .iter()
            .map(move |(addr, engine)| WatchedEngine {
                addr: *addr,
                zone: engine.zone.clone(),
                is_watched_by_relay: relays.iter().any(|name| engine.demands.has_demand_of(name)),
            })
    }

    /// Returns the zone of the engine on the relay's own box.
    fn own_zone(&self) -> Option<ZoneName> {
        let ip = self.settings.ip?;
        let mut own = self.engines.iter().filter(|(addr, _)| addr.ip() == ip);
        own.find_map(|(_, engine)| engine.zone.clone())
    }

    fn remove_demands_of(&mut self, reader: &BoxName) {
        for (addr, engine) in &mut self.engines {
            engine.demands.remove(reader);
            self.unsent_demands.insert(*addr);
        }
    }

    /// Tells readers that engines without demand are removed. They are kept until the plan is
    /// computed again: a link that stays open would not repeat the view of an engine that is
    /// removed and added again.
    fn mark_engines_without_demand(&mut self) {
        let without_demand = self
            .engines
            .iter_mut()
            .filter(|(_, e)| e.demands.is_empty());
        for (addr, engine) in without_demand {
            self.is_plan_outdated = true;
            if engine.sent_view.take().is_some() {
                self.unsent_removals.insert(*addr);
            }
        }
    }
}

/// Returns the time at which a sidecar reported stats that arrive now.
fn reported_at(stats: &EngineStats, now: Instant) -> Instant {
    let age = Duration::from_millis(u64::from(stats.age_ms));
    now.checked_sub(age).unwrap_or(now)
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
            zone: None,
            view: None,
            sent_view: None,
            recent: RecentAdapters::default(),
            reported_at: now,
            sent_reported_at: now,
            is_path_new: false,
        }
    }

    /// Returns whether a report is older than the last one and came on another path.
    fn is_outdated(&mut self, reported_at: Instant) -> bool {
        self.is_path_new &= self.view.is_some() && reported_at < self.reported_at;
        self.is_path_new
    }

    fn on_view(&mut self, mut view: EngineView, reported_at: Instant) {
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
        self.reported_at = reported_at;
    }

    /// Returns the smallest message that brings entries to the newest view, and marks that
    /// view as sent.
    fn take_change(&mut self) -> Option<EngineViewState> {
        self.sent_reported_at = self.reported_at;
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
}

fn age_ms(reported_at: Instant, now: Instant) -> u32 {
    now.saturating_duration_since(reported_at).as_millis() as u32
}
