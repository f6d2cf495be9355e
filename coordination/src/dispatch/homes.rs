//! engines that load an adapter which none holds

use {
    super::{choosing::with_model, dispatcher::Dispatcher, wishes::WISHED_FOR, Ask, BackendState},
    crate::{membership::rendezvous_weight, placement::adapter_mark},
    chalkcart_state::backends::{AdapterRef, BackendId},
    std::{
        cmp::Reverse,
        time::{Duration, Instant},
    },
};

/// prompts that take longer to read than this are too many for one engine, in ms
const READING_MS_A_HOME: f64 = 600.0;
/// of the requests that wait at one entry, what other entries have as well
const SHARED_BY_ENTRIES: f64 = 0.5;
/// engines are told apart as homes by waits of this length, in ms
const HOME_STEP_MS: f64 = 200.0;

/// the order in which engines become homes of an adapter, the least first
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HomeRank {
    /// it names a limit
    is_limited: bool,
    /// half of its places or more are taken
    is_crowded: bool,
    /// how long a request would wait there, in coarse steps, so that entries that
    /// see a little more or less agree
    wait_steps: u32,
    /// it has to bring the adapter from the weight store
    is_new: bool,
    weight: Reverse<u64>,
}

impl Dispatcher {
    /// engines that are to load an adapter that none holds, if they are not asked
    /// to yet: one, and more while many requests wait
    pub(super) fn homes_for(
        &self,
        adapter: &AdapterRef,
        candidates: &[&BackendState],
        ask: &Ask,
        now: Instant,
    ) -> Vec<BackendId> {
        let needed = self.homes_needed(adapter, ask);
        let wished = self.wishes.get(adapter).filter(|w| w.until > now);
        let may_bring = candidates.iter().filter(|b| b.sight.may_bring(now));
        let may_bring: Vec<&BackendState> = may_bring.copied().collect();
        let asked = wished.map_or(0, |w| w.known_among(&may_bring));
        if asked >= needed {
            return Vec::new();
        }
        let candidates = loadable(candidates, adapter);
        let loading = candidates.iter().filter(|b| b.is_loading(adapter));
        let mut homes: Vec<BackendId> = loading.map(|b| b.listed.id.clone()).collect();
        let ranked = self.rank_homes(adapter, &candidates, now);
        let waited = now.saturating_duration_since(ask.arrived);
        let skip = (waited.as_millis() / WISHED_FOR.as_millis()) as usize;
        let start = skip % ranked.len().max(1);
        let (before, from) = ranked.split_at(start);
        for home in from.iter().chain(before) {
            if homes.len() >= needed {
                break;
            }
            if !homes.contains(&home.listed.id) {
                homes.push(home.listed.id.clone());
            }
        }
        homes
    }

    /// Engines that are to load an adapter whose holders take no request before it could be
    /// there; none where waiting for the holders is as good.
    pub(super) fn homes_beside_limited(
        &self,
        ask: &Ask,
        adapter: &AdapterRef,
        holders: &[&BackendState],
        candidates: &[&BackendState],
        now: Instant,
    ) -> Option<Vec<BackendId>> {
        let is_free = |b: &&BackendState| b.limit.effective_rate().is_none();
        let free: Vec<&BackendState> = candidates.iter().copied().filter(is_free).collect();
        let opens_in = holders.iter().map(|b| b.limit.wait_time(now)).min()?;
        let comes_in = loadable(&free, adapter)
            .iter()
            .filter(|b| b.spare_slots() > 0)
            .filter_map(|b| b.view.as_ref())
            .map(|v| Duration::from_millis(u64::from(v.figures.next_load_ms)))
            .min()?;
        (opens_in > comes_in).then(|| self.homes_for(adapter, &free, ask, now))
    }

    /// engines that the requests for an adapter need while all of them wait.
    /// That several wait here is evidence that they do at other entries; a
    /// single one may be the only one
    fn homes_needed(&self, adapter: &AdapterRef, ask: &Ask) -> usize {
        if !self.settings.mechanisms.several_homes {
            return 1;
        }
        let waiting = self.waiting.asks();
        let others = waiting.filter(|ask| ask.adapter.as_ref() == Some(adapter));
        let tokens: u64 = others.map(|ask| u64::from(ask.prompt_tokens)).sum();
        let of_all = tokens as f64 * f64::from(self.entry_count()) * SHARED_BY_ENTRIES;
        let reading_ms = (f64::from(ask.prompt_tokens) + of_all) / self.tokens_per_ms(&ask.service);
        ((reading_ms / READING_MS_A_HOME).ceil() as usize).max(1)
    }

    /// engines with a spare place in the adapter's own order, which is the same
    /// at each entry; those that held it lately come first, waits that
    /// differ count before
    pub(super) fn rank_homes<'b>(
        &self,
        adapter: &AdapterRef,
        candidates: &[&'b BackendState],
        now: Instant,
    ) -> Vec<&'b BackendState> {
        // one that is not heard may be gone with its machine: where another is, it is asked
        let is_any_heard = candidates.iter().any(|b| !b.is_unheard(now));
        let may_load = |b: &&&BackendState| match is_any_heard {
            true => b.spare_slots() > 0,
            false => b.sight.may_bring(now),
        };
        let spare = candidates.iter().filter(may_load);
        let mark = adapter_mark(adapter);
        let returns = self.settings.mechanisms.return_home;
        let mut ranked: Vec<(HomeRank, &BackendState)> = spare
            .map(|b| {
                let rank = HomeRank {
                    is_limited: b.limit.effective_rate().is_some(),
                    is_crowded: b.load(now) >= self.settings.copy_from_load,
                    wait_steps: self.wait_steps(b, returns && b.held_lately(mark), now),
                    is_new: !(returns && b.held_lately(mark)),
                    weight: Reverse(rendezvous_weight(mark, b.home_hash())),
                };
                (rank, *b)
            })
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, b)| b).collect()
    }

    /// time until a request could be read at an engine that is to load its
    /// adapter, in steps
    fn wait_steps(&self, state: &BackendState, returns: bool, now: Instant) -> u32 {
        let view = state.view.as_ref();
        let load_ms = match returns {
            true => 0.0,
            false => view.map_or(0.0, |v| f64::from(v.figures.next_load_ms)),
        };
        ((self.queue_ms(state, now) + load_ms) / HOME_STEP_MS) as u32
    }
}

/// engines that hold the adapter's base model; if none does, any will get it
pub(super) fn loadable<'b>(
    candidates: &[&'b BackendState],
    adapter: &AdapterRef,
) -> Vec<&'b BackendState> {
    let with_model = with_model(candidates, &adapter.model);
    match with_model.is_empty() {
        true => candidates.to_vec(),
        false => with_model,
    }
}
