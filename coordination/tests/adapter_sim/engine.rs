//! An engine that runs steps and loads adapters, as docs/design/uneven-load.md describes it.

use {
    super::{SimTime, MODEL},
    chalkcart_coordination::{
        dispatch::Ticket,
        placement::{EngineReport, EngineRun, OrderAnswer, OrderKind},
    },
    chalkcart_state::backends::{AdapterRef, HeldAdapter},
    std::collections::HashSet,
};

/// Prompt tokens that a step prefills at most.
const CHUNK_TOKENS: u32 = 2_048;
const PREFILL_TOKENS_PER_MS: f64 = 19.2;
const STEP_TIME_MS: f64 = 10.5;
const TOKENS_PER_EVENT: u32 = 3;
const SLOTS: usize = 64;
/// Loads that an engine runs at once.
const MAX_LOADS: usize = 4;
/// Time of a load from the weight store while it is not crowded, in ms.
pub const STORE_LOAD_MS: f64 = 288.0;
/// Loads at once over all engines from which the weight store slows down.
pub const STORE_CAPACITY: usize = 24;
/// Adapters that an engine keeps in host memory.
pub const HOST_ADAPTERS: usize = 31;

/// A request at an engine.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    pub ticket: Ticket,
    pub entry: usize,
    pub adapter: String,
    pub shared_tokens: u32,
    pub own_tokens: u32,
    pub events: u32,
    pub urgency: u8,
}

#[derive(Debug)]
struct Run {
    request: EngineRequest,
    prompt_tokens: u32,
    prefill_left: u32,
    tokens: u32,
}

impl Run {
    fn report(&self) -> EngineRun {
        EngineRun {
            request_id: self.request.ticket.to_string(),
            tokens: u64::from(self.prompt_tokens - self.prefill_left + self.tokens),
            events: u64::from(self.tokens / TOKENS_PER_EVENT),
            priority: self.request.urgency,
        }
    }
}

#[derive(Debug)]
struct Load {
    adapter: String,
    ends_at: SimTime,
    is_from_store: bool,
}

/// What an engine did in a step.
#[derive(Debug)]
pub enum EngineEvent {
    /// An event of a stream; `is_last` after its last one.
    Stream {
        entry: usize,
        ticket: Ticket,
        is_first: bool,
        is_last: bool,
    },
}

/// Loads and evictions that an engine was ordered, in order.
#[derive(Debug, Default)]
pub struct OrderCounts {
    /// Adapters loaded from the weight store.
    pub store_loads: Vec<String>,
    pub reloads: u32,
    pub evictions: u32,
}

pub struct Engine {
    /// Relative time of a step.
    pub slowness: f64,
    adapter_slots: usize,
    pub start_time_ms: u64,
    pub down_until: SimTime,
    held: Vec<String>,
    loading: Vec<Load>,
    /// Adapters in host memory, the least recently used one first.
    host: Vec<String>,
    waiting: Vec<EngineRequest>,
    runs: Vec<Run>,
    /// Adapters whose shared prompt parts were prefilled.
    cached_prefixes: HashSet<String>,
    step_ends_at: Option<f64>,
    step_chunks: Vec<u32>,
    pub counts: OrderCounts,
}

impl Engine {
    pub fn new(slowness: f64, adapter_slots: usize) -> Self {
        Self {
            slowness,
            adapter_slots,
            start_time_ms: 1,
            down_until: 0,
            held: Vec::new(),
            loading: Vec::new(),
            host: Vec::new(),
            waiting: Vec::new(),
            runs: Vec::new(),
            cached_prefixes: HashSet::new(),
            step_ends_at: None,
            step_chunks: Vec::new(),
            counts: OrderCounts::default(),
        }
    }

    /// Restarts the engine; returns the requests that were cut.
    pub fn crash(&mut self, now: SimTime, down_ms: SimTime) -> Vec<EngineRequest> {
        let runs = std::mem::take(&mut self.runs);
        let mut cut: Vec<EngineRequest> = runs.into_iter().map(|r| r.request).collect();
        cut.append(&mut self.waiting);
        self.held.clear();
        self.loading.clear();
        self.host.clear();
        self.cached_prefixes.clear();
        self.step_ends_at = None;
        self.start_time_ms = now + 1;
        self.down_until = now + down_ms;
        cut
    }

    pub fn is_down(&self, now: SimTime) -> bool {
        now < self.down_until
    }

    pub fn holds(&self, name: &str) -> bool {
        self.held.iter().any(|held| held == name)
    }
    pub fn is_loading(&self, name: &str) -> bool {
        self.loading.iter().any(|l| l.adapter == name)
    }
    pub fn has_in_host_memory(&self, name: &str) -> bool {
        self.host.iter().any(|host| host == name)
    }
    /// Returns whether a slot is free or holds an adapter that no request uses.
    pub fn has_idle_slot(&self) -> bool {
        let taken = self.held.len() + self.loading.len();
        taken < self.adapter_slots || self.held.iter().any(|name| !self.is_used(name))
    }
    fn is_used(&self, name: &str) -> bool {
        self.runs.iter().any(|r| r.request.adapter == name)
            || self.waiting.iter().any(|r| r.adapter == name)
    }

    pub fn store_loads_running(&self) -> usize {
        self.loading.iter().filter(|l| l.is_from_store).count()
    }

    /// Takes a request; returns it if the engine lacks the adapter or is full.
    pub fn accept(&mut self, request: EngineRequest) -> Result<(), EngineRequest> {
        if !self.held.contains(&request.adapter) {
            return Err(request);
        }
        self.touch_host(&request.adapter);
        self.waiting.push(request);
        Ok(())
    }

    pub fn order(
        &mut self,
        kind: &OrderKind,
        store_loads_running: usize,
        now: SimTime,
    ) -> OrderAnswer {
        match kind {
            OrderKind::LoadAdapter(adapter) => {
                let name = adapter.adapter.clone();
                let is_known =
                    self.held.contains(&name) || self.loading.iter().any(|l| l.adapter == name);
                if is_known {
                    return OrderAnswer::Done;
                }
                let is_full = self.held.len() + self.loading.len() >= self.adapter_slots;
                if is_full || self.loading.len() >= MAX_LOADS {
                    return OrderAnswer::Refused;
                }
                let is_from_store = !self.host.contains(&name);
                let crowding = (store_loads_running + 1) as f64 / STORE_CAPACITY as f64;
                let load_ms = match is_from_store {
                    true => STORE_LOAD_MS * crowding.max(1.0),
                    false => STORE_LOAD_MS / 10.0,
                };
                match is_from_store {
                    true => self.counts.store_loads.push(name.clone()),
                    false => self.counts.reloads += 1,
                }
                self.touch_host(&name);
                self.loading.push(Load {
                    adapter: name,
                    ends_at: now + load_ms as SimTime,
                    is_from_store,
                });
                OrderAnswer::Taken
            }
            OrderKind::UnloadAdapter(adapter) => {
                let name = &adapter.adapter;
                if self.is_used(name) {
                    return OrderAnswer::Refused;
                }
                self.held.retain(|held| held != name);
                self.counts.evictions += 1;
                OrderAnswer::Taken
            }
            OrderKind::LoadModel(_) => OrderAnswer::Done,
        }
    }

    pub fn report(&self) -> EngineReport {
        let held = self.held.iter().map(|name| HeldAdapter {
            adapter: adapter(name),
            version: 1,
        });
        let loading = self.loading.iter().map(|l| adapter(&l.adapter));
        let prefilling = self.runs.iter().filter(|r| r.prefill_left > 0).count();
        EngineReport {
            models: vec![MODEL.to_string()],
            held: held.collect(),
            loading: loading.collect(),
            running: self.runs.len() as u32,
            queued: self.waiting.len() as u32,
            prefilling: (prefilling + self.waiting.len()) as u32,
            start_time_ms: self.start_time_ms,
            runs: Some(self.runs.iter().map(Run::report).collect()),
            ..EngineReport::default()
        }
    }

    /// Runs until `now`, while a step takes `slowdown` times its usual time.
    pub fn advance(&mut self, slowdown: f64, now: SimTime) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        if self.is_down(now) {
            return events;
        }
        let (done, loading): (Vec<Load>, Vec<Load>) = std::mem::take(&mut self.loading)
            .into_iter()
            .partition(|l| l.ends_at <= now);
        self.loading = loading;
        self.held.extend(done.into_iter().map(|l| l.adapter));
        loop {
            match self.step_ends_at {
                Some(end) if end <= now as f64 => {
                    self.end_step(&mut events);
                    self.start_step(end, slowdown);
                }
                Some(_) => return events,
                None => {
                    self.start_step(now as f64, slowdown);
                    if self.step_ends_at.is_none() {
                        return events;
                    }
                }
            }
        }
    }

    fn start_step(&mut self, start: f64, slowdown: f64) {
        self.waiting.sort_by_key(|r| r.urgency);
        while self.runs.len() < SLOTS && !self.waiting.is_empty() {
            let request = self.waiting.remove(0);
            let is_cached = !self.cached_prefixes.insert(request.adapter.clone());
            let shared = match is_cached {
                true => 0,
                false => request.shared_tokens,
            };
            self.runs.push(Run {
                prompt_tokens: request.shared_tokens + request.own_tokens,
                prefill_left: shared + request.own_tokens,
                tokens: 0,
                request,
            });
        }
        if self.runs.is_empty() {
            self.step_ends_at = None;
            return;
        }
        let mut budget = CHUNK_TOKENS;
        self.step_chunks.clear();
        for run in &self.runs {
            let chunk = run.prefill_left.min(budget);
            budget -= chunk;
            self.step_chunks.push(chunk);
        }
        let prefill_ms = f64::from(CHUNK_TOKENS - budget) / PREFILL_TOKENS_PER_MS;
        let step_ms = (STEP_TIME_MS + prefill_ms) * self.slowness * slowdown;
        self.step_ends_at = Some(start + step_ms);
    }

    fn end_step(&mut self, events: &mut Vec<EngineEvent>) {
        for (run, chunk) in self.runs.iter_mut().zip(&self.step_chunks) {
            run.prefill_left -= chunk;
            if run.prefill_left > 0 {
                continue;
            }
            run.tokens += 1;
            if run.tokens.is_multiple_of(TOKENS_PER_EVENT) {
                let event = run.tokens / TOKENS_PER_EVENT;
                events.push(EngineEvent::Stream {
                    entry: run.request.entry,
                    ticket: run.request.ticket,
                    is_first: event == 1,
                    is_last: event >= run.request.events,
                });
            }
        }
        self.runs
            .retain(|r| r.tokens < r.request.events * TOKENS_PER_EVENT);
    }

    /// Moves an adapter to the end of the host memory's order, and drops the first ones that
    /// no longer fit.
    fn touch_host(&mut self, name: &str) {
        self.host.retain(|host| host != name);
        self.host.push(name.to_string());
        if self.host.len() > HOST_ADAPTERS {
            let oldest = self.host.iter().position(|h| !self.held.contains(h));
            self.host.remove(oldest.unwrap_or(0));
        }
    }
}

pub fn adapter(name: &str) -> AdapterRef {
    AdapterRef {
        model: MODEL.to_string(),
        adapter: name.to_string(),
    }
}
