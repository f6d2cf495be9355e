use {
    super::{AdapterKey, DecayingCount},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// rows of heat remembered for adapters without a slot
const MAX_HEATS: usize = 4_096;

/// where a slot stands
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotPhase {
    Loading,
    Loaded { since: Instant },
    Unloading,
}

/// whether an adapter could be loaded now
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotAvailability {
    /// a slot is empty
    Free,
    /// this adapter may go to make room
    Evict(AdapterKey),
    /// every slot is in use or too young
    Full,
}

#[derive(Debug)]
struct Slot {
    phase: SlotPhase,
    pins: u32,
    /// takes no new request, so that its pins run out
    draining: bool,
}

/// the slots of one engine incarnation.
///
/// A pinned adapter is never offered for eviction; an adapter is pinned from
/// before its request starts until after it ended.
#[derive(Debug)]
pub struct SlotTable {
    capacity: usize,
    min_residence: Duration,
    slots: HashMap<AdapterKey, Slot>,
    heats: HashMap<AdapterKey, DecayingCount>,
}

impl SlotTable {
    pub fn new(capacity: usize, min_residence: Duration) -> Self {
        Self {
            capacity,
            min_residence,
            slots: HashMap::new(),
            heats: HashMap::new(),
        }
    }

    /// take over what a freshly read engine says it holds
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
                    draining: false,
                },
            );
        }
    }

    /// hold an adapter for a request that runs already
    pub fn restore_pin(&mut self, key: &AdapterKey, now: Instant) {
        let slot = self.slots.entry(key.clone()).or_insert(Slot {
            phase: SlotPhase::Loaded { since: now },
            pins: 0,
            draining: false,
        });
        slot.pins += 1;
    }

    pub fn set_min_residence(&mut self, min_residence: Duration) {
        self.min_residence = min_residence;
    }

    /// count a request for the adapter, weighed by the cost of its stall
    pub fn touch(&mut self, key: &AdapterKey, weight: f64, now: Instant) {
        if self.heats.len() >= MAX_HEATS && !self.heats.contains_key(key) {
            self.forget_coldest(now);
        }
        let heat = self.heats.entry(key.clone());
        heat.or_insert_with(|| DecayingCount::new(now))
            .add(weight, now);
    }

    pub fn heat(&self, key: &AdapterKey, now: Instant) -> f64 {
        self.heats.get(key).map_or(0.0, |h| h.value_at(now))
    }

    /// whether a request for the adapter may start
    pub fn is_ready(&self, key: &AdapterKey) -> bool {
        self.slots
            .get(key)
            .is_some_and(|s| matches!(s.phase, SlotPhase::Loaded { .. }) && !s.draining)
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

    /// whether another adapter fits
    pub fn room(&self, now: Instant) -> SlotAvailability {
        if self.slots.len() < self.capacity {
            return SlotAvailability::Free;
        }
        match self.coldest(now, |slot| self.may_evict(slot, now)) {
            Some(key) => SlotAvailability::Evict(key),
            None => SlotAvailability::Full,
        }
    }

    /// stop new requests on the coldest adapter in use, so that its slot
    /// falls free; at most one at a time
    pub fn drain_one(&mut self, now: Instant) {
        if self.slots.values().any(|s| s.draining) {
            return;
        }
        let coldest = self.coldest(now, |s| matches!(s.phase, SlotPhase::Loaded { .. }));
        if let Some(slot) = coldest.and_then(|key| self.slots.get_mut(&key)) {
            slot.draining = true;
        }
    }
    /// let a draining adapter take requests again
    pub fn stop_draining(&mut self) {
        self.slots.values_mut().for_each(|s| s.draining = false);
    }

    /// the adapter's load was ordered
    pub fn begin_load(&mut self, key: AdapterKey) {
        self.slots.insert(
            key,
            Slot {
                phase: SlotPhase::Loading,
                pins: 0,
                draining: false,
            },
        );
    }
    pub fn end_load(&mut self, key: &AdapterKey, loaded: bool, now: Instant) {
        if !loaded {
            self.slots.remove(key);
            return;
        }
        if let Some(slot) = self.slots.get_mut(key) {
            slot.phase = SlotPhase::Loaded { since: now };
        }
    }

    /// the adapter's unload is to be ordered; false forbids it
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

    /// hold the adapter for a request; false if it is not ready
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
                let old_enough = now.saturating_duration_since(since) >= self.min_residence;
                slot.pins == 0 && (old_enough || slot.draining)
            }
            SlotPhase::Loading | SlotPhase::Unloading => false,
        }
    }

    fn coldest(&self, now: Instant, wanted: impl Fn(&Slot) -> bool) -> Option<AdapterKey> {
        let candidates = self.slots.iter().filter(|(_, slot)| wanted(slot));
        let coldest = candidates.min_by(|(a, x), (b, y)| {
            // a draining slot was chosen before, and goes first
            let order = y.draining.cmp(&x.draining);
            order
                .then(self.heat(a, now).total_cmp(&self.heat(b, now)))
                .then(a.cmp(b))
        });
        coldest.map(|(key, _)| key.clone())
    }

    fn forget_coldest(&mut self, now: Instant) {
        let coldest = self
            .heats
            .iter()
            .min_by(|a, b| a.1.value_at(now).total_cmp(&b.1.value_at(now)));
        if let Some(key) = coldest.map(|(key, _)| key.clone()) {
            self.heats.remove(&key);
        }
    }
}
