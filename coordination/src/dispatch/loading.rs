//! which adapters the engines should load, and when requests come back for them

use {
    super::{
        choosing::{with_model, Choice},
        demands::build_demand,
        dispatcher::Dispatcher,
        Ask, BackendState,
    },
    crate::{membership::rendezvous_weight, placement::adapter_mark},
    chalkcart_protocol::peer::{AdapterDemand, WantedAdapter},
    chalkcart_state::backends::{AdapterRef, BackendId},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// an adapter is wished for at one engine for this long; a request that still
/// waits then asks at the next
const WISHED_FOR: Duration = Duration::from_millis(1_500);
/// an adapter is copied only while its requests, as estimated over all entries,
/// take this part of the places of an engine
const COPIED_FROM_PART: f64 = 0.25;
/// prompts that take longer to read than this are too many for one engine, in ms
const READING_MS_A_HOME: f64 = 600.0;
/// of the requests that wait at one entry, what other entries have as well
const SHARED_BY_ENTRIES: f64 = 0.5;
/// engines are told apart as homes by waits of this length, in ms
const HOME_STEP_MS: f64 = 200.0;
/// a queue that takes this part of the time of a load is worth a copy
const COPY_SAVES: f64 = 0.4;
/// a copy goes only to an engine that is pressed less than this part
const PRESSED_LESS: f64 = 0.6;
/// added to the time of a load before its requests come back
const PROMISE_MARGIN: Duration = Duration::from_millis(60);
/// an adapter stays wanted for this long after its requests should be back
const PROMISE_KEPT: Duration = Duration::from_millis(400);

/// engines that are asked to load an adapter
#[derive(Debug, Clone)]
pub(super) struct Wish {
    backends: Vec<BackendId>,
    until: Instant,
}

impl Wish {
    /// how many of its engines are among these
    fn known_among(&self, candidates: &[&BackendState]) -> usize {
        let known = candidates
            .iter()
            .filter(|b| self.backends.contains(&b.listed.id));
        known.count()
    }
}

/// requests that come back for an adapter
#[derive(Debug, Clone)]
pub(super) struct Promise {
    backend: BackendId,
    priority: u8,
    requests: u32,
    /// when the last of them should be back
    until: Instant,
}

/// the order in which engines become homes of an adapter, the least first
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HomeRank {
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
    /// what sidecars must hear now; all of them if `all`
    pub fn demands(&mut self, all: bool, now: Instant) -> Vec<(SocketAddr, AdapterDemand)> {
        self.wishes.retain(|_, wish| wish.until > now);
        self.promises.retain(|_, promise| promise.until > now);
        let urgent = std::mem::take(&mut self.urgent);
        let mut wanted = self.wanted(now);
        let mut demands = Vec::new();
        let table = self.table.clone();
        for (id, state) in &mut self.backends {
            if state.is_gone || !state.may_live() || !(all || urgent.contains(id)) {
                continue;
            }
            let Some(service) = table.services.get(&state.listed.service) else {
                continue;
            };
            let Some(spec) = &service.engine else {
                continue;
            };
            let wanted = wanted.remove(id).unwrap_or_default();
            let versions = &self.versions;
            let settings = &self.settings;
            let demand = build_demand(
                settings,
                self.list_version,
                service,
                spec,
                state,
                wanted,
                versions,
            );
            let fence_seen = self.fences.get(&state.listed.addr).copied().unwrap_or(0);
            let demand = AdapterDemand {
                fence_seen,
                ..demand
            };
            demands.push((state.listed.addr, demand));
        }
        demands
    }

    /// when a request should come back whose adapter is too late for its
    /// objective; it is refused early, and its adapter goes on being wanted
    pub(super) fn promise(&mut self, ask: &Ask, now: Instant) -> Option<Duration> {
        let adapter = ask.adapter.as_ref()?;
        let waited = now.saturating_duration_since(ask.arrived);
        let (from, until) = (self.settings.refuse_from, self.settings.refuse_until);
        let is_time = waited >= ask.target_latency.mul_f64(from)
            && waited <= ask.target_latency.mul_f64(until);
        let may_refuse = self.settings.mechanisms.early_refusals;
        if !may_refuse || ask.has_returned || ask.sends > 0 || !is_time {
            return None;
        }
        let backend = self.wishes.get(adapter)?.backends.first()?.clone();
        let state = self.backends.get(&backend)?;
        let view = state.view.as_ref()?;
        let returns = state.held_lately(adapter_mark(adapter));
        let load_ms = match returns && self.settings.mechanisms.return_home {
            true => view.figures.next_return_ms,
            false => view.figures.next_load_ms,
        };
        let load = match view.loading.contains(adapter) {
            true => Duration::from_millis(u64::from(load_ms)) / 2,
            false => Duration::from_millis(u64::from(load_ms)),
        };
        if waited + load + self.settings.first_token <= ask.target_latency {
            return None;
        }
        let retry_after = load + PROMISE_MARGIN;
        let until = now + retry_after + PROMISE_KEPT;
        let promise = self.promises.entry(adapter.clone()).or_insert(Promise {
            backend,
            priority: ask.priority,
            requests: 0,
            until,
        });
        promise.requests += 1;
        promise.until = promise.until.max(until);
        promise.priority = promise.priority.min(ask.priority);
        Some(retry_after)
    }

    /// have the sidecars of engines load the adapter
    pub(super) fn wish(&mut self, adapter: &AdapterRef, backends: Vec<BackendId>, now: Instant) {
        self.urgent.extend(backends.iter().cloned());
        let until = now + WISHED_FOR;
        self.wishes
            .insert(adapter.clone(), Wish { backends, until });
    }

    /// the same, beside the engines that are asked already
    pub(super) fn wish_also(&mut self, adapter: &AdapterRef, homes: Vec<BackendId>, now: Instant) {
        if self.is_wished(adapter, &homes, now) {
            return;
        }
        let wished = self.wishes.get(adapter).filter(|w| w.until > now);
        let mut backends = wished.map_or(Vec::new(), |w| w.backends.clone());
        backends.extend(homes);
        self.wish(adapter, backends, now);
    }

    /// whether each of these engines was asked to load the adapter
    pub(super) fn is_wished(
        &self,
        adapter: &AdapterRef,
        homes: &[BackendId],
        now: Instant,
    ) -> bool {
        let wish = self.wishes.get(adapter).filter(|w| w.until > now);
        wish.is_some_and(|w| homes.iter().all(|home| w.backends.contains(home)))
    }

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
        let asked = wished.map_or(0, |w| w.known_among(candidates));
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

    /// engines that the requests for an adapter need while all of them wait.
    /// That several wait here is evidence that they do at other entries; a
    /// single one may be the only one
    fn homes_needed(&self, adapter: &AdapterRef, ask: &Ask) -> usize {
        if !self.settings.mechanisms.several_homes {
            return 1;
        }
        let waiting = self.waiting.asks();
        let others = waiting.filter(|ask| ask.adapter.as_ref() == Some(adapter));
        let tokens: u32 = others.map(|ask| ask.prompt_tokens).sum();
        let of_all = f64::from(tokens) * f64::from(self.entry_count()) * SHARED_BY_ENTRIES;
        let reading_ms = (f64::from(ask.prompt_tokens) + of_all) / self.tokens_per_ms(&ask.service);
        ((reading_ms / READING_MS_A_HOME).ceil() as usize).max(1)
    }

    /// engines with a spare place in the adapter's own order, which is the same
    /// at each entry; those that held it lately come first, waits that
    /// differ count before
    fn rank_homes<'b>(
        &self,
        adapter: &AdapterRef,
        candidates: &[&'b BackendState],
        now: Instant,
    ) -> Vec<&'b BackendState> {
        let spare = candidates.iter().filter(|b| b.spare_slots() > 0);
        let mark = adapter_mark(adapter);
        let returns = self.settings.mechanisms.return_home;
        let mut ranked: Vec<(HomeRank, &BackendState)> = spare
            .map(|b| {
                let rank = HomeRank {
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

    /// what requests wait for, by the engine that is to load it
    pub(super) fn wanted(&self, now: Instant) -> HashMap<BackendId, Vec<WantedAdapter>> {
        let mut rows: BTreeMap<&AdapterRef, WantedAdapter> = BTreeMap::new();
        for adapter in self.wishes.keys() {
            rows.insert(adapter, wanted_adapter(adapter));
        }
        for (adapter, promise) in &self.promises {
            let row = rows
                .entry(adapter)
                .or_insert_with(|| wanted_adapter(adapter));
            row.waiting += promise.requests;
            row.priority = row.priority.min(promise.priority);
        }
        for ask in self.waiting.asks() {
            let Some(row) = ask.adapter.as_ref().and_then(|a| rows.get_mut(a)) else {
                continue;
            };
            let waited = now.saturating_duration_since(ask.arrived).as_millis();
            row.waiting += 1;
            row.priority = row.priority.min(ask.priority);
            row.waited_ms = row.waited_ms.max(waited as u32);
        }
        let mut wanted: HashMap<BackendId, Vec<WantedAdapter>> = HashMap::new();
        for (adapter, row) in rows {
            let promised = self.promises.get(adapter).map(|p| vec![p.backend.clone()]);
            let wished = self.wishes.get(adapter).map(|w| w.backends.clone());
            // what is there and waited for by nobody needs no place kept
            let is_done = |id: &BackendId| {
                let state = self.backends.get(id);
                row.waiting == 0 && state.is_some_and(|b| b.held_version(adapter, now).is_some())
            };
            for backend in wished.or(promised).unwrap_or_default() {
                if is_done(&backend) {
                    continue;
                }
                wanted.entry(backend).or_default().push(row.clone());
            }
        }
        wanted
    }
}

fn wanted_adapter(adapter: &AdapterRef) -> WantedAdapter {
    WantedAdapter {
        adapter: adapter.clone(),
        waiting: 0,
        priority: u8::MAX,
        waited_ms: 0,
    }
}

/// engines that hold the adapter's base model; if none does, any will get it
fn loadable<'b>(candidates: &[&'b BackendState], adapter: &AdapterRef) -> Vec<&'b BackendState> {
    let with_model = with_model(candidates, &adapter.model);
    match with_model.is_empty() {
        true => candidates.to_vec(),
        false => with_model,
    }
}
