//! Selects the engines that load an adapter which no engine holds.
//!
//! The home of an adapter is the engine that every entry prefers for it, by rendezvous
//! hashing among engines in a similar state.

use {
    super::{
        adapter_affinity::{
            EXPECTED_SLOT_WAIT_MS, MAX_SLOT_WAIT, STORE_LOAD_COST_MS, WAIT_STEP_MS,
        },
        dispatcher::Dispatcher,
        holders::holders_of_model,
        pending_loads::PENDING_LOAD_TIMEOUT,
        BackendState, DispatchRequest,
    },
    crate::{
        membership::{rendezvous_weight, RendezvousScore},
        placement::adapter_hash,
    },
    chalkcart_state::backends::{AdapterRef, BackendId},
    std::time::{Duration, Instant},
};

/// Prefill time of the waiting prompts above which an adapter gets another home, in ms.
const MAX_PREFILL_MS_PER_HOME: f64 = 600.0;
/// Fraction of the requests waiting at one entry that other entries are assumed to have
/// too.
const COMMON_REQUEST_RATIO: f64 = 0.5;
/// The same limits while adapter slots are short, as each further home costs a load from the
/// weight store and evicts an adapter. With the limits above, one more waiting request at one
/// of 21 entries was enough for a second home.
const MAX_PREFILL_MS_PER_HOME_SHORT: f64 = 1_000.0;
const COMMON_REQUEST_RATIO_SHORT: f64 = 0.2;
/// Resolution of expected waits when homes are ranked, in ms.
const HOME_WAIT_STEP_MS: f64 = 200.0;

/// Sort key of an adapter's possible homes, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HomeRank {
    /// Whether it advertises a rate limit.
    is_limited: bool,
    /// Whether its load is at the threshold for copies.
    is_crowded: bool,
    /// Expected wait in coarse steps, so that entries with slightly different views agree.
    /// Includes the cost of a load from the weight store while adapter slots are short.
    wait_steps: u32,
    /// Whether the adapter has to be fetched from the weight store.
    is_fetch_needed: bool,
    /// Order of the adapter's homes, by which an engine is home in proportion to its rate.
    score: RendezvousScore,
}

impl Dispatcher {
    /// Returns engines that should load an adapter which none holds, unless enough are
    /// loading it: one, and more while many requests wait.
    pub(super) fn homes_for(
        &self,
        adapter: &AdapterRef,
        candidates: &[&BackendState],
        request: &DispatchRequest,
        now: Instant,
    ) -> Vec<BackendId> {
        let are_slots_short = self.are_slots_short(candidates);
        let needed = self.homes_needed(adapter, request, are_slots_short);
        let pending = self
            .pending_loads
            .get(adapter)
            .filter(|load| load.until > now);
        let able = candidates.iter().filter(|b| b.observations.may_load(now));
        let able: Vec<&BackendState> = able.copied().collect();
        let requested = pending.map_or(0, |load| load.count_among(&able));
        if requested >= needed {
            return Vec::new();
        }
        let candidates = load_candidates(candidates, adapter);
        let loading = candidates.iter().filter(|b| b.is_loading(adapter));
        let mut homes: Vec<BackendId> = loading.map(|b| b.listed.id.clone()).collect();
        let waited = now.saturating_duration_since(request.arrived_at);
        let may_wait_for_slot = are_slots_short && waited < MAX_SLOT_WAIT;
        let ranked = self.rank_homes(adapter, &candidates, may_wait_for_slot, now);
        // a request that still waits after a timeout tries the next engine in the order
        let skip = (waited.as_millis() / PENDING_LOAD_TIMEOUT.as_millis()) as usize;
        let start = skip % ranked.len().max(1);
        let (wrapped, from) = ranked.split_at(start);
        for home in from.iter().chain(wrapped) {
            if homes.len() >= needed {
                break;
            }
            let is_too_late = are_slots_short && self.is_too_late_at(request, adapter, home, now);
            if !homes.contains(&home.listed.id) && !is_too_late {
                homes.push(home.listed.id.clone());
            }
        }
        homes
    }

    /// Returns engines that should load an adapter whose holders are rate-limited for
    /// longer than a load takes.
    pub(super) fn homes_while_holders_limited(
        &self,
        request: &DispatchRequest,
        adapter: &AdapterRef,
        holders: &[&BackendState],
        candidates: &[&BackendState],
        now: Instant,
    ) -> Option<Vec<BackendId>> {
        let is_free = |b: &&BackendState| b.limit.effective_rate().is_none();
        let free: Vec<&BackendState> = candidates.iter().copied().filter(is_free).collect();
        let opens_in = holders.iter().map(|b| b.limit.wait_time(now)).min()?;
        let loads_in = load_candidates(&free, adapter)
            .iter()
            .filter(|b| b.spare_slots() > 0)
            .filter_map(|b| b.view.as_ref())
            .map(|v| Duration::from_millis(u64::from(v.figures.next_load_ms)))
            .min()?;
        (opens_in > loads_in).then(|| self.homes_for(adapter, &free, request, now))
    }

    /// Returns the number of engines needed for the waiting requests of an adapter. Several
    /// requests waiting here suggest that more wait at other entries; a single one may be
    /// the only one.
    fn homes_needed(
        &self,
        adapter: &AdapterRef,
        request: &DispatchRequest,
        are_slots_short: bool,
    ) -> usize {
        if !self.settings.features.several_homes || request.is_beyond_share {
            return 1;
        }
        let (common_ratio, max_prefill_ms) = match are_slots_short {
            true => (COMMON_REQUEST_RATIO_SHORT, MAX_PREFILL_MS_PER_HOME_SHORT),
            false => (COMMON_REQUEST_RATIO, MAX_PREFILL_MS_PER_HOME),
        };
        let waiting = self.waiting.iter();
        let others = waiting.filter(|request| request.adapter.as_ref() == Some(adapter));
        let tokens: u64 = others.map(|request| u64::from(request.prompt_tokens)).sum();
        let estimated_total = tokens as f64 * f64::from(self.entry_count()) * common_ratio;
        let prefill_ms = (f64::from(request.prompt_tokens) + estimated_total)
            / self.tokens_per_ms(&request.service);
        ((prefill_ms / max_prefill_ms).ceil() as usize).max(1)
    }

    /// Returns engines with a free adapter slot in the adapter's order of homes, which is
    /// the same at every entry. Engines with shorter waits come first, then those that
    /// recently held the adapter. With `may_wait_for_slot`, an engine that has the adapter in
    /// host memory needs no free slot.
    pub(super) fn rank_homes<'b>(
        &self,
        adapter: &AdapterRef,
        candidates: &[&'b BackendState],
        may_wait_for_slot: bool,
        now: Instant,
    ) -> Vec<&'b BackendState> {
        let hash = adapter_hash(adapter);
        let prefers_recent = self.settings.features.return_home;
        let is_reload = |b: &BackendState| prefers_recent && b.has_recently_held(hash);
        let are_slots_short = self.are_slots_short(candidates);
        // an engine whose sidecar doesn't report may be gone with its machine
        let is_any_reporting = candidates.iter().any(|b| !b.is_sidecar_unresponsive(now));
        let is_eligible = |b: &&&BackendState| match is_any_reporting {
            true => b.spare_slots() > 0 || may_wait_for_slot && is_reload(b),
            false => b.observations.may_load(now),
        };
        let eligible = candidates.iter().filter(is_eligible);
        let mut ranked: Vec<(HomeRank, &BackendState)> = eligible
            .map(|b| {
                let rank = HomeRank {
                    is_limited: b.limit.effective_rate().is_some(),
                    is_crowded: b.load(now) >= self.settings.copy_load_threshold,
                    wait_steps: self.wait_steps(b, is_reload(b), are_slots_short, now),
                    is_fetch_needed: !is_reload(b),
                    score: RendezvousScore::new(
                        rendezvous_weight(hash, b.home_hash()),
                        b.home_rate.value(),
                    ),
                };
                (rank, *b)
            })
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, b)| b).collect()
    }

    /// Returns the expected wait until prefill at an engine that has to load the adapter,
    /// in steps. While adapter slots are short, a load from the weight store adds its cost.
    fn wait_steps(
        &self,
        state: &BackendState,
        is_reload: bool,
        are_slots_short: bool,
        now: Instant,
    ) -> u32 {
        let view = state.view.as_ref();
        let load_ms = match is_reload {
            true => 0.0,
            false => view.map_or(0.0, |v| f64::from(v.figures.next_load_ms)),
        };
        let cost_ms = match (are_slots_short, is_reload) {
            (false, _) => 0.0,
            (true, false) => STORE_LOAD_COST_MS,
            (true, true) if state.spare_slots() == 0 => EXPECTED_SLOT_WAIT_MS,
            (true, true) => 0.0,
        };
        let step_ms = match are_slots_short {
            true => WAIT_STEP_MS,
            false => HOME_WAIT_STEP_MS,
        };
        ((self.queue_ms(state, now) + load_ms + cost_ms) / step_ms) as u32
    }
}

/// Returns the engines that hold the adapter's base model, or all if none does.
pub(super) fn load_candidates<'b>(
    candidates: &[&'b BackendState],
    adapter: &AdapterRef,
) -> Vec<&'b BackendState> {
    let holders = holders_of_model(candidates, &adapter.model);
    match holders.is_empty() {
        true => candidates.to_vec(),
        false => holders,
    }
}
