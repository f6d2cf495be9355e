use {
    super::{AdapterKey, DecayingCount},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Maximum number of adapters whose uses are counted, with or without a slot.
const MAX_USE_COUNTS: usize = 4_096;

/// State of a slot that is in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotPhase {
    Loading,
    Loaded { since: Instant },
    Unloading,
}

/// Whether an adapter could be loaded now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotAvailability {
    /// A slot is empty.
    Free,
    /// Evicting this adapter frees a slot.
    Evict(AdapterKey),
    /// All slots are pinned, changing, or younger than the minimum residence.
    Full,
}

#[derive(Debug)]
struct Slot {
    phase: SlotPhase,
    pins: u32,
    /// Whether the slot accepts no new requests, so that it becomes unpinned.
    is_draining: bool,
}

/// The slots of one engine incarnation.
///
/// A request pins its adapter from before its start until after its end. A pinned adapter
/// is never evicted.
#[derive(Debug)]
pub struct SlotTable {
    capacity: usize,
    min_residence: Duration,
    slots: HashMap<AdapterKey, Slot>,
    use_counts: HashMap<AdapterKey, DecayingCount>,
}

impl SlotTable {
    pub fn new(capacity: usize, min_residence: Duration) -> Self {
        Self {
            capacity,
            min_residence,
            slots: HashMap::new(),
            use_counts: HashMap::new(),
        }
    }

    /// Replaces the slots by those that the engine reported.
    pub fn reset(
        &mut self,
        capacity: usize,
        loaded: impl IntoIterator<Item = AdapterKey>,
        now: Instant,
    ) {
        self.capacity = capacity;
        self.slots.clear();
        for key in loaded {
            self.slots.insert(
                key,
                Slot {
                    phase: SlotPhase::Loaded { since: now },
                    pins: 0,
                    is_draining: false,
                },
            );
        }
    }

    /// Pins an adapter for a request that already runs.
    pub fn restore_pin(&mut self, key: &AdapterKey, now: Instant) {
        let slot = self.slots.entry(key.clone()).or_insert(Slot {
            phase: SlotPhase::Loaded { since: now },
            pins: 0,
            is_draining: false,
        });
        slot.pins += 1;
    }

    pub fn set_min_residence(&mut self, min_residence: Duration) {
        self.min_residence = min_residence;
    }

    /// Counts a request for the adapter, weighted by the cost of a stall.
    pub fn record_use(&mut self, key: &AdapterKey, weight: f64, now: Instant) {
        if self.use_counts.len() >= MAX_USE_COUNTS && !self.use_counts.contains_key(key) {
            self.remove_lowest_count(now);
        }
        let count = self.use_counts.entry(key.clone());
        count
            .or_insert_with(|| DecayingCount::new(now))
            .add(weight, now);
    }

    pub fn use_count(&self, key: &AdapterKey, now: Instant) -> f64 {
        self.use_counts.get(key).map_or(0.0, |c| c.value_at(now))
    }

    /// Returns whether a request for the adapter may start.
    pub fn is_ready(&self, key: &AdapterKey) -> bool {
        self.slots
            .get(key)
            .is_some_and(|s| matches!(s.phase, SlotPhase::Loaded { .. }) && !s.is_draining)
    }
    pub fn phase(&self, key: &AdapterKey) -> Option<SlotPhase> {
        self.slots.get(key).map(|s| s.phase)
    }
    pub fn pins(&self, key: &AdapterKey) -> u32 {
        self.slots.get(key).map_or(0, |s| s.pins)
    }
    pub fn loaded(&self) -> Vec<AdapterKey> {
        let loaded = self
            .slots
            .iter()
            .filter(|(_, s)| matches!(s.phase, SlotPhase::Loaded { .. }));
        loaded.map(|(key, _)| key.clone()).collect()
    }
    pub fn loading_count(&self) -> usize {
        let loading = self.slots.values();
        loading.filter(|s| s.phase == SlotPhase::Loading).count()
    }

    /// Returns whether a slot is free or can be freed for another adapter.
    pub fn availability(&self, now: Instant) -> SlotAvailability {
        if self.slots.len() < self.capacity {
            return SlotAvailability::Free;
        }
        match self.least_used(now, |slot| self.may_evict(slot, now)) {
            Some(key) => SlotAvailability::Evict(key),
            None => SlotAvailability::Full,
        }
    }

    /// Drains the least used adapter, so that its slot can be freed; one slot at a time.
    pub fn drain_least_used(&mut self, now: Instant) {
        if self.slots.values().any(|s| s.is_draining) {
            return;
        }
        let least_used = self.least_used(now, |s| matches!(s.phase, SlotPhase::Loaded { .. }));
        if let Some(slot) = least_used.and_then(|key| self.slots.get_mut(&key)) {
            slot.is_draining = true;
        }
    }
    /// Lets draining slots accept requests again.
    pub fn stop_draining(&mut self) {
        self.slots.values_mut().for_each(|s| s.is_draining = false);
    }

    pub fn begin_load(&mut self, key: AdapterKey) {
        self.slots.insert(
            key,
            Slot {
                phase: SlotPhase::Loading,
                pins: 0,
                is_draining: false,
            },
        );
    }
    pub fn end_load(&mut self, key: &AdapterKey, is_loaded: bool, now: Instant) {
        if !is_loaded {
            self.slots.remove(key);
            return;
        }
        if let Some(slot) = self.slots.get_mut(key) {
            slot.phase = SlotPhase::Loaded { since: now };
        }
    }

    /// Marks the adapter as unloading. Returns false if it must not be unloaded.
    pub fn begin_unload(&mut self, key: &AdapterKey) -> bool {
        let Some(slot) = self.slots.get_mut(key) else {
            return false;
        };
        if slot.pins > 0 || !matches!(slot.phase, SlotPhase::Loaded { .. }) {
            return false;
        }
        slot.phase = SlotPhase::Unloading;
        true
    }
    pub fn end_unload(&mut self, key: &AdapterKey) {
        self.slots.remove(key);
    }

    /// Pins the adapter for a request. Returns false if the adapter is not ready.
    pub fn pin(&mut self, key: &AdapterKey) -> bool {
        if !self.is_ready(key) {
            return false;
        }
        if let Some(slot) = self.slots.get_mut(key) {
            slot.pins += 1;
        }
        true
    }
    pub fn unpin(&mut self, key: &AdapterKey) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.pins = slot.pins.saturating_sub(1);
        }
    }

    fn may_evict(&self, slot: &Slot, now: Instant) -> bool {
        match slot.phase {
            SlotPhase::Loaded { since } => {
                let is_old_enough = now.saturating_duration_since(since) >= self.min_residence;
                slot.pins == 0 && (is_old_enough || slot.is_draining)
            }
            SlotPhase::Loading | SlotPhase::Unloading => false,
        }
    }

    /// Returns the least used of the adapters whose slots match, draining ones first.
    fn least_used(&self, now: Instant, matches: impl Fn(&Slot) -> bool) -> Option<AdapterKey> {
        let candidates = self.slots.iter().filter(|(_, slot)| matches(slot));
        let least_used = candidates.min_by(|(a, x), (b, y)| {
            let order = y.is_draining.cmp(&x.is_draining);
            order
                .then(self.use_count(a, now).total_cmp(&self.use_count(b, now)))
                .then(a.cmp(b))
        });
        least_used.map(|(key, _)| key.clone())
    }

    fn remove_lowest_count(&mut self, now: Instant) {
        let lowest = self
            .use_counts
            .iter()
            .min_by(|a, b| a.1.value_at(now).total_cmp(&b.1.value_at(now)));
        if let Some(key) = lowest.map(|(key, _)| key.clone()) {
            self.use_counts.remove(&key);
        }
    }
}
