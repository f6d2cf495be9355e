//! Selects engines that load another copy of an adapter.

use {
    super::{choice::Choice, dispatcher::Dispatcher, homes::load_candidates, BackendState},
    crate::placement::adapter_hash,
    chalkcart_state::backends::{AdapterRef, BackendId},
    std::time::Instant,
};

/// Minimum estimated demand for an adapter over all entries, as a fraction of one engine's
/// slots, from which it is copied.
const MIN_SLOT_DEMAND_RATIO: f64 = 0.25;
/// Minimum prefill queue for which a copy is worthwhile, as a fraction of the load time.
const MIN_QUEUE_TO_LOAD_RATIO: f64 = 0.4;
/// The same while adapter slots are short: a copy costs a load from the weight store and evicts
/// an adapter, and has to be of use for more than the requests that wait now.
const MIN_QUEUE_TO_LOAD_RATIO_SHORT: f64 = 2.5;
/// Maximum utilization of an engine that loads a copy, as a fraction of the holders'
/// utilization.
const COPY_TARGET_UTILIZATION_RATIO: f64 = 0.6;

impl Dispatcher {
    /// Returns engines for more copies if the holders are too busy. Each round adds half as
    /// many copies as there are, so that an adapter in sudden demand has enough of them after
    /// a few loads.
    pub(super) fn copy_targets(
        &self,
        adapter: &AdapterRef,
        holders: &[&BackendState],
        candidates: &[&BackendState],
        choice: &Choice,
        now: Instant,
    ) -> Vec<BackendId> {
        let is_holder = |id: &BackendId| holders.iter().any(|h| h.listed.id == *id);
        let utilization = match choice {
            Choice::Send(assignment) => assignment.utilization,
            // a wait for a turn alone is no lack of capacity
            Choice::WaitForTurn(_) => {
                let utilization = holders.iter().map(|b| self.utilization(b, now));
                utilization.min_by(f64::total_cmp).unwrap_or(0.0)
            }
            Choice::Wait(_) => f64::INFINITY,
        };
        let pending = self
            .pending_loads
            .get(adapter)
            .filter(|load| load.until > now);
        let is_copy_pending = pending.is_some_and(|load| !load.backends.iter().all(is_holder));
        if !self.settings.features.copies || utilization < 1.0 || is_copy_pending {
            return Vec::new();
        }
        if self.slot_demand_ratio(adapter, holders) < MIN_SLOT_DEMAND_RATIO {
            return Vec::new();
        }
        let are_slots_short = self.are_slots_short(candidates);
        let candidates = load_candidates(candidates, adapter);
        let loading_count = candidates.iter().filter(|b| b.is_loading(adapter)).count();
        let others: Vec<&BackendState> = candidates
            .into_iter()
            .filter(|b| !is_holder(&b.listed.id) && !b.is_loading(adapter))
            .filter(|b| b.limit.effective_rate().is_none())
            .filter(|b| {
                self.utilization(b, now) < (utilization * COPY_TARGET_UTILIZATION_RATIO).min(1.0)
            })
            .filter(|b| self.is_copy_worthwhile(b, adapter, holders, are_slots_short, now))
            .collect();
        let new_copies = holders.len().div_ceil(2).saturating_sub(loading_count);
        let ranked = self.rank_homes(adapter, &others, false, now);
        let chosen = ranked.iter().take(new_copies).map(|b| b.listed.id.clone());
        chosen.collect()
    }

    /// Returns whether a copy would be loaded soon enough to shorten the wait at the
    /// holders.
    fn is_copy_worthwhile(
        &self,
        target: &BackendState,
        adapter: &AdapterRef,
        holders: &[&BackendState],
        are_slots_short: bool,
        now: Instant,
    ) -> bool {
        let is_load_time_weighed = self.settings.features.copies_weighed;
        if !is_load_time_weighed || target.has_recently_held(adapter_hash(adapter)) {
            return true;
        }
        let queues = holders.iter().map(|b| self.queue_ms(b, now));
        let shortest = queues.min_by(f64::total_cmp).unwrap_or(0.0);
        let stats = target.view.as_ref().map(|v| v.figures);
        let load_ms = stats.map_or(0.0, |f| f64::from(f.next_load_ms));
        let are_holders_busy = holders
            .iter()
            .all(|b| b.load(now) >= self.settings.copy_load_threshold);
        let min_ratio = match are_slots_short {
            true => MIN_QUEUE_TO_LOAD_RATIO_SHORT,
            false => MIN_QUEUE_TO_LOAD_RATIO,
        };
        are_holders_busy || shortest >= load_ms * min_ratio
    }

    /// Estimates the requests of all entries for an adapter, as a fraction of one engine's
    /// slots, from those of this entry. The current request doesn't count for other
    /// entries.
    fn slot_demand_ratio(&self, adapter: &AdapterRef, holders: &[&BackendState]) -> f64 {
        let running = holders
            .iter()
            .filter_map(|b| b.running_by_adapter.get(adapter));
        let waiting = self.waiting.iter();
        let waiting = waiting.filter(|request| request.adapter.as_ref() == Some(adapter));
        let others = running.sum::<u32>() + waiting.count() as u32;
        let estimated_total = 1 + others * self.entry_count();
        let slots = holders.iter().map(|b| b.listed.slots).max();
        f64::from(estimated_total) / f64::from(slots.unwrap_or(1).max(1))
    }
}
