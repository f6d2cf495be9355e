//! engines that load an adapter beside those that hold it

use {
    super::{choosing::Choice, dispatcher::Dispatcher, homes::loadable, BackendState},
    crate::placement::adapter_mark,
    chalkcart_state::backends::{AdapterRef, BackendId},
    std::time::Instant,
};

/// an adapter is copied only while its requests, as estimated over all entries,
/// take this part of the places of an engine
const COPIED_FROM_PART: f64 = 0.25;
/// a queue that takes this part of the time of a load is worth a copy
const COPY_SAVES: f64 = 0.4;
/// a copy goes only to an engine that is pressed less than this part
const PRESSED_LESS: f64 = 0.6;

impl Dispatcher {
    /// engines for more copies, if those that hold the adapter are too busy;
    /// the copies grow by half each time, so that a new favourite has enough of
    /// them after a few loads
    pub(super) fn homes_for_copies(
        &self,
        adapter: &AdapterRef,
        holders: &[&BackendState],
        candidates: &[&BackendState],
        choice: &Choice,
        now: Instant,
    ) -> Vec<BackendId> {
        let is_holder = |id: &BackendId| holders.iter().any(|h| h.listed.id == *id);
        let pressure = match choice {
            Choice::Send(assignment) => assignment.pressure,
            Choice::Wait(_) => f64::INFINITY,
        };
        let wished = self.wishes.get(adapter).filter(|w| w.until > now);
        let is_coming = wished.is_some_and(|w| !w.backends.iter().all(is_holder));
        if !self.settings.mechanisms.copies || pressure < 1.0 || is_coming {
            return Vec::new();
        }
        if self.needed_part(adapter, holders) < COPIED_FROM_PART {
            return Vec::new();
        }
        let candidates = loadable(candidates, adapter);
        let coming = candidates.iter().filter(|b| b.is_loading(adapter)).count();
        let others: Vec<&BackendState> = candidates
            .into_iter()
            .filter(|b| !is_holder(&b.listed.id) && !b.is_loading(adapter))
            .filter(|b| b.limit.effective_rate().is_none())
            .filter(|b| self.pressure(b, now) < (pressure * PRESSED_LESS).min(1.0))
            .filter(|b| self.is_worth_a_load(b, adapter, holders, now))
            .collect();
        let more = holders.len().div_ceil(2).saturating_sub(coming);
        let ranked = self.rank_homes(adapter, &others, now);
        let chosen = ranked.iter().take(more).map(|b| b.listed.id.clone());
        chosen.collect()
    }

    /// whether a copy comes soon enough to shorten the wait at those that hold it
    fn is_worth_a_load(
        &self,
        target: &BackendState,
        adapter: &AdapterRef,
        holders: &[&BackendState],
        now: Instant,
    ) -> bool {
        let is_weighed = self.settings.mechanisms.copies_weighed;
        if !is_weighed || target.held_lately(adapter_mark(adapter)) {
            return true;
        }
        let queues = holders.iter().map(|b| self.queue_ms(b, now));
        let shortest = queues.min_by(f64::total_cmp).unwrap_or(0.0);
        let figures = target.view.as_ref().map(|v| v.figures);
        let load_ms = figures.map_or(0.0, |f| f64::from(f.next_load_ms));
        let is_full = holders
            .iter()
            .all(|b| b.load(now) >= self.settings.copy_from_load);
        is_full || shortest >= load_ms * COPY_SAVES
    }

    /// requests of an adapter that run or wait, as a part of the places of one
    /// engine; an estimate for all entries from those of this one. The request
    /// in hand is no evidence that other entries have some too
    fn needed_part(&self, adapter: &AdapterRef, holders: &[&BackendState]) -> f64 {
        let running = holders.iter().filter_map(|b| b.running_on.get(adapter));
        let waiting = self.waiting.asks();
        let waiting = waiting.filter(|ask| ask.adapter.as_ref() == Some(adapter));
        let others = running.sum::<u32>() + waiting.count() as u32;
        let of_all = 1 + others * self.entry_count();
        let slots = holders.iter().map(|b| b.listed.slots).max();
        f64::from(of_all) / f64::from(slots.unwrap_or(1).max(1))
    }
}
