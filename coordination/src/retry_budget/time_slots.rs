use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Number of a slot of time since the start.
pub type Slot = u64;

/// Slots before the first event, so that windows before it have numbers.
const FIRST_SLOT: Slot = 1_000;

/// Divides time into slots of equal length.
#[derive(Debug, Clone, Copy)]
pub struct SlotClock {
    start: Instant,
    length: Duration,
}

impl SlotClock {
    pub fn new(start: Instant, length: Duration) -> Self {
        let length = length.max(Duration::from_millis(1));
        Self { start, length }
    }
    pub fn slot(&self, at: Instant) -> Slot {
        let elapsed = at.saturating_duration_since(self.start);
        FIRST_SLOT + (elapsed.as_nanos() / self.length.as_nanos()) as Slot
    }
}

/// Counts of events in consecutive slots.
#[derive(Debug, Default)]
pub struct SlotCounts {
    /// Slot of the first count.
    first: Slot,
    counts: VecDeque<u32>,
}

impl SlotCounts {
    /// Counts an event; a slot that is already forgotten counts as the first one kept.
    pub fn add(&mut self, slot: Slot) {
        if self.counts.is_empty() {
            self.first = slot;
        }
        let offset = slot.saturating_sub(self.first) as usize;
        if offset >= self.counts.len() {
            self.counts.resize(offset + 1, 0);
        }
        self.counts[offset] += 1;
    }
    /// Forgets the slots before this one.
    pub fn forget_before(&mut self, slot: Slot) {
        while self.first < slot && self.counts.pop_front().is_some() {
            self.first += 1;
        }
    }
    pub fn get(&self, slot: Slot) -> u32 {
        let offset = slot.checked_sub(self.first);
        let count = offset.and_then(|offset| self.counts.get(offset as usize));
        count.copied().unwrap_or(0)
    }
    /// Returns the sum over these slots.
    pub fn sum(&self, from: Slot, to: Slot) -> u32 {
        let last = self.first + self.counts.len() as Slot;
        let slots = from.max(self.first)..(to + 1).min(last);
        slots.map(|slot| self.get(slot)).sum()
    }
    /// Returns the sum over this slot and all later ones.
    pub fn sum_from(&self, slot: Slot) -> u32 {
        let skipped = slot.saturating_sub(self.first) as usize;
        self.counts.iter().skip(skipped).sum()
    }
}
