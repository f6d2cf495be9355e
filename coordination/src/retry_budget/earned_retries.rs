use super::time_slots::{Slot, SlotCounts};

/// Slots of one window.
pub const SLOTS_PER_WINDOW: Slot = 40;

/// Weights of the three windows whose requests the rule counts: the window itself, the one half a
/// window before and the one before it. All entries use the same weights, so that the sum over
/// entries is at most what the rule allows, whichever entries clients use and whenever.
const OWN_WINDOW: f64 = 0.5;
const HALF_BEFORE: f64 = 0.25;
const WINDOW_BEFORE: f64 = 0.25;

/// Requests that allow retries, in sums over slots.
pub struct EarnedRetries {
    /// The slot before the first sum.
    base: Slot,
    current: Slot,
    /// Requests from `base` up to each slot.
    sums: Vec<u32>,
}

impl EarnedRetries {
    pub fn new(requests: &SlotCounts, current: Slot) -> Self {
        let base = current - 2 * SLOTS_PER_WINDOW - 1;
        let mut sum = 0;
        let sums = (base..=current).map(|slot| {
            sum += requests.get(slot);
            sum
        });
        Self {
            base,
            current,
            sums: sums.collect(),
        }
    }

    /// Returns the requests that count for a window which starts anywhere in this slot, as far as
    /// they are known now.
    pub fn requests_of_window(&self, start: Slot) -> f64 {
        let half = SLOTS_PER_WINDOW / 2;
        let own = self.sum(start + 1, self.current);
        let half_before = self.sum(start - half + 1, start + half - 1);
        let before = self.sum(start - SLOTS_PER_WINDOW + 1, start - 1);
        // either before the window starts, or within it
        let at_start = self.sum(start, start);
        OWN_WINDOW * f64::from(own)
            + HALF_BEFORE * f64::from(half_before)
            + WINDOW_BEFORE * f64::from(before + at_start)
    }

    fn sum(&self, from: Slot, to: Slot) -> u32 {
        let up_to = |slot: Slot| match slot < self.base {
            true => 0,
            false => self.sums[(slot.min(self.current) - self.base) as usize],
        };
        up_to(to).saturating_sub(up_to(from - 1))
    }
}
