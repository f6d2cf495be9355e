//! Selection of the next order for the engine.

use {
    super::{placement_control::OccupiedSlot, OrderKind, PlacementControl},
    chalkcart_protocol::peer::EngineCapacity,
    chalkcart_state::backends::AdapterRef,
    std::time::Instant,
};

impl PlacementControl {
    /// Returns the next order: to load a base model, replace an outdated adapter, or load or
    /// evict an adapter.
    pub(super) fn next_order(&mut self, now: Instant) -> Option<OrderKind> {
        let capacity = self.demands.newest()?.room.clone();
        if let Some(order) = self.next_model_load(&capacity, now) {
            return Some(order);
        }
        let loading = self.report.loading.len();
        if self.is_engine_leaving || loading >= self.max_concurrent_loads() {
            return None;
        }
        if let Some(order) = self.next_replacement(now) {
            return Some(order);
        }
        let next = self.next_wanted_adapter(now)?;
        let has_free_slot =
            self.slots.len() + self.loading_into_free_slots() < self.max_adapters(&capacity);
        match has_free_slot {
            true => Some(OrderKind::LoadAdapter(next)),
            false => self.eviction_candidate(now).map(OrderKind::UnloadAdapter),
        }
    }

    /// Returns the order to load the base model of the wanted adapters if the engine holds
    /// no model.
    fn next_model_load(&mut self, capacity: &EngineCapacity, now: Instant) -> Option<OrderKind> {
        if self.report.busy || !self.report.models.is_empty() {
            return None;
        }
        let ordered = self.model_ordered_at;
        let interval = self.settings.model_load_interval;
        if ordered.is_some_and(|at| now.saturating_duration_since(at) < interval) {
            return None;
        }
        let wanted = self.demands.wanted();
        let model = match wanted.first() {
            Some(wanted) => wanted.adapter.model.clone(),
            None => capacity.models.first()?.model.clone(),
        };
        self.model_ordered_at = Some(now);
        Some(OrderKind::LoadModel(model))
    }

    /// Returns the order to replace an outdated adapter by its newest version.
    fn next_replacement(&self, now: Instant) -> Option<OrderKind> {
        let due = self.slots.iter().find(|(adapter, slot)| {
            let Some(since) = slot.outdated_since else {
                return false;
            };
            let waited = now.saturating_duration_since(since);
            let is_idle = self.demands.in_flight(adapter) == 0;
            !slot.is_replacing && (is_idle || waited >= self.settings.replace_after)
        });
        let order = due.map(|(adapter, _)| OrderKind::LoadAdapter(adapter.clone()))?;
        (!self.retry_at.contains_key(&order)).then_some(order)
    }

    /// Returns the most wanted adapter that can be loaded now.
    fn next_wanted_adapter(&self, now: Instant) -> Option<AdapterRef> {
        let wanted = self.demands.wanted().into_iter();
        let mut missing = wanted.map(|w| w.adapter).filter(|adapter| {
            let order = OrderKind::LoadAdapter(adapter.clone());
            self.report.models.contains(&adapter.model)
                && !self.slots.contains_key(adapter)
                && !self.report.loading.contains(adapter)
                && self.retry_at.get(&order).is_none_or(|at| *at <= now)
        });
        missing.next()
    }

    /// Returns the number of loading adapters that replace no older version.
    pub(super) fn loading_into_free_slots(&self) -> usize {
        let loading = self.report.loading.iter();
        loading.filter(|a| !self.slots.contains_key(a)).count()
    }

    pub(super) fn is_replacing(&self) -> bool {
        self.slots.values().any(|s| s.is_replacing)
    }

    /// Returns the number of adapters that fit the engine's slots and its memory.
    fn max_adapters(&self, capacity: &EngineCapacity) -> usize {
        let models = capacity.models.iter();
        let loaded = models.filter(|m| self.report.models.contains(&m.model));
        let (mut free_mb, mut max_adapter_mb) = (capacity.weights_mb, 0.0f64);
        for model in loaded {
            free_mb -= model.weights_mb;
            max_adapter_mb = max_adapter_mb.max(model.adapter_mb);
        }
        let memory_capacity = match max_adapter_mb > 0.0 {
            true => (free_mb / max_adapter_mb).max(0.0) as usize,
            false => usize::MAX,
        };
        memory_capacity.min(capacity.adapter_slots as usize)
    }

    /// Returns the least recently used of the adapters that may be evicted.
    fn eviction_candidate(&self, now: Instant) -> Option<AdapterRef> {
        let evictable = self
            .slots
            .iter()
            .filter(|(a, s)| self.is_evictable(a, s, now));
        let oldest = evictable.min_by_key(|(adapter, slot)| (slot.last_used, *adapter));
        oldest.map(|(adapter, _)| adapter.clone())
    }

    fn is_evictable(&self, adapter: &AdapterRef, slot: &OccupiedSlot, now: Instant) -> bool {
        let order = OrderKind::UnloadAdapter(adapter.clone());
        now.saturating_duration_since(slot.last_used) >= self.settings.min_idle
            && !slot.is_replacing
            && self.demands.in_flight(adapter) == 0
            && !self.demands.is_wanted(adapter)
            && !self.retry_at.contains_key(&order)
    }

    /// Returns the number of slots that are free or can be freed by an eviction.
    pub(super) fn spare_slots(&self, now: Instant) -> u32 {
        let Some(demand) = self.demands.newest() else {
            return 0;
        };
        let max_adapters = self.max_adapters(&demand.room);
        let occupied = self.slots.len() + self.loading_into_free_slots();
        let evictable = self
            .slots
            .iter()
            .filter(|(a, s)| self.is_evictable(a, s, now));
        (max_adapters.saturating_sub(occupied) + evictable.count()) as u32
    }
}
