//! which order the engine of a sidecar gets next

use {
    super::{placement_control::Place, OrderKind, PlacementControl},
    chalkcart_protocol::peer::EngineCapacity,
    chalkcart_state::backends::AdapterRef,
    std::time::Instant,
};

impl PlacementControl {
    pub(super) fn next_order(&mut self, now: Instant) -> Option<OrderKind> {
        let room = self.demands.newest()?.room.clone();
        if let Some(order) = self.missing_model(&room, now) {
            return Some(order);
        }
        let loading = self.report.loading.len();
        // nothing more is sent to an engine that leaves
        if self.says_leaving || loading >= self.loads_at_once() {
            return None;
        }
        if let Some(order) = self.replacement(now) {
            return Some(order);
        }
        let next = self.next_wanted(now)?;
        let has_room = self.places.len() + self.new_loading() < self.capacity(&room);
        match has_room {
            true => Some(OrderKind::LoadAdapter(next)),
            false => self.coldest(now).map(OrderKind::UnloadAdapter),
        }
    }

    /// the base model that wanted adapters belong to and that is not there
    fn missing_model(&mut self, room: &EngineCapacity, now: Instant) -> Option<OrderKind> {
        if self.report.busy || !self.report.models.is_empty() {
            return None;
        }
        let ordered = self.model_ordered;
        let pause = self.settings.model_pause;
        if ordered.is_some_and(|at| now.saturating_duration_since(at) < pause) {
            return None;
        }
        let wanted = self.demands.wanted();
        let model = match wanted.first() {
            Some(wanted) => wanted.adapter.model.clone(),
            None => room.models.first()?.model.clone(),
        };
        self.model_ordered = Some(now);
        Some(OrderKind::LoadModel(model))
    }

    fn replacement(&self, now: Instant) -> Option<OrderKind> {
        let due = self.places.iter().find(|(adapter, place)| {
            let Some(since) = place.outdated_since else {
                return false;
            };
            let waited = now.saturating_duration_since(since);
            let is_idle = self.demands.in_flight(adapter) == 0;
            !place.replacing && (is_idle || waited >= self.settings.replace_after)
        });
        let order = due.map(|(adapter, _)| OrderKind::LoadAdapter(adapter.clone()))?;
        (!self.resting.contains_key(&order)).then_some(order)
    }

    fn next_wanted(&self, now: Instant) -> Option<AdapterRef> {
        let wanted = self.demands.wanted().into_iter();
        let mut missing = wanted.map(|w| w.adapter).filter(|adapter| {
            let order = OrderKind::LoadAdapter(adapter.clone());
            self.report.models.contains(&adapter.model)
                && !self.places.contains_key(adapter)
                && !self.report.loading.contains(adapter)
                && self.resting.get(&order).is_none_or(|until| *until <= now)
        });
        missing.next()
    }

    /// adapters on their way that take a place of their own
    pub(super) fn new_loading(&self) -> usize {
        let loading = self.report.loading.iter();
        loading.filter(|a| !self.places.contains_key(a)).count()
    }

    pub(super) fn is_replacing(&self) -> bool {
        self.places.values().any(|p| p.replacing)
    }

    /// adapters that fit the engine, by places and by weight
    fn capacity(&self, room: &EngineCapacity) -> usize {
        let held = room.models.iter();
        let held = held.filter(|m| self.report.models.contains(&m.model));
        let (mut left, mut largest) = (room.weights_mb, 0.0f64);
        for model in held {
            left -= model.weights_mb;
            largest = largest.max(model.adapter_mb);
        }
        let by_weight = match largest > 0.0 {
            true => (left / largest).max(0.0) as usize,
            false => usize::MAX,
        };
        by_weight.min(room.adapter_slots as usize)
    }

    /// the adapter that was not used for longest and that nobody needs
    fn coldest(&self, now: Instant) -> Option<AdapterRef> {
        let evictable = self
            .places
            .iter()
            .filter(|(a, p)| self.is_evictable(a, p, now));
        let coldest = evictable.min_by_key(|(adapter, place)| (place.last_used, *adapter));
        coldest.map(|(adapter, _)| adapter.clone())
    }

    fn is_evictable(&self, adapter: &AdapterRef, place: &Place, now: Instant) -> bool {
        let order = OrderKind::UnloadAdapter(adapter.clone());
        now.saturating_duration_since(place.last_used) >= self.settings.min_idle
            && !place.replacing
            && self.demands.in_flight(adapter) == 0
            && !self.demands.is_wanted(adapter)
            && !self.resting.contains_key(&order)
    }

    pub(super) fn spare_slots(&self, now: Instant) -> u32 {
        let Some(demand) = self.demands.newest() else {
            return 0;
        };
        let capacity = self.capacity(&demand.room);
        let taken = self.places.len() + self.new_loading();
        let evictable = self
            .places
            .iter()
            .filter(|(a, p)| self.is_evictable(a, p, now));
        (capacity.saturating_sub(taken) + evictable.count()) as u32
    }
}
