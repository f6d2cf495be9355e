use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Number of slots per window. Units leave the sum at most one slot late.
const SLOTS_PER_WINDOW: u32 = 16;

/// Sum of the units spent in a sliding window that ends now.
#[derive(Debug, Default)]
pub struct WindowSum {
    slots: VecDeque<(Instant, f64)>,
}

impl WindowSum {
    /// Adds units to the current slot; a negative number takes them back.
    pub fn add(&mut self, units: f64, window: Duration, now: Instant) {
        let slot_length = window / SLOTS_PER_WINDOW;
        match self.slots.back_mut() {
            Some((since, slot)) if now.saturating_duration_since(*since) < slot_length => {
                *slot += units
            }
            _ => self.slots.push_back((now, units)),
        }
        while let Some((since, _)) = self.slots.front() {
            if !is_expired(*since, window, now) {
                return;
            }
            self.slots.pop_front();
        }
    }

    /// Adds units that were spent evenly over the time `since`, which ends now.
    pub fn add_spread(&mut self, units: f64, since: Duration, window: Duration, now: Instant) {
        let slot_length = window / SLOTS_PER_WINDOW;
        let parts = (since.as_secs_f64() / slot_length.as_secs_f64()).ceil();
        let each = units / parts.max(1.0);
        // what was spent before the window has left the sum
        for part in (0..SLOTS_PER_WINDOW.min(parts as u32).max(1)).rev() {
            let Some(at) = now.checked_sub(slot_length * part) else {
                continue;
            };
            let later = self.slots.partition_point(|(since, _)| *since <= at);
            let earlier = later.checked_sub(1).and_then(|n| self.slots.get_mut(n));
            match earlier {
                Some((since, slot)) if at.saturating_duration_since(*since) < slot_length => {
                    *slot += each
                }
                _ => self.slots.insert(later, (at, each)),
            }
        }
    }

    /// Returns the sum over the window that ends now.
    pub fn get(&self, window: Duration, now: Instant) -> f64 {
        let slots = self.slots.iter();
        let slots = slots.filter(|(since, _)| !is_expired(*since, window, now));
        slots.map(|(_, units)| units).sum()
    }
}

/// Returns whether a slot lies entirely outside the window.
fn is_expired(since: Instant, window: Duration, now: Instant) -> bool {
    now.saturating_duration_since(since) > window + window / SLOTS_PER_WINDOW
}
