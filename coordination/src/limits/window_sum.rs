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
