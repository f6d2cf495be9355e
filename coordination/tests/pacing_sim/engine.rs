//! An engine that executes steps as in docs/design/uneven-load.md.

use {
    super::Run,
    chalkcart_protocol::peer::{EngineStats, EngineView},
    chalkcart_state::backends::{AdapterRef, HeldAdapter},
    std::collections::{BTreeMap, VecDeque},
};

/// Time of a step without prefill, in ms.
const BASE_STEP_MS: f64 = 10.5;
const PREFILL_TOKENS_PER_MS: f64 = 19.2;
const CHUNK_TOKENS: u32 = 2_048;
pub const TOKENS_PER_EVENT: u32 = 3;
pub const SLOTS: usize = 64;
const ADAPTER_SLOTS: usize = 5;
/// Adapters in host memory.
const CACHED_ADAPTERS: usize = 31;
pub const LOAD_MS: f64 = 288.0;
pub const RELOAD_MS: f64 = 29.0;

pub struct Engine {
    pub name: String,
    pub relative_time: f64,
    /// Until when it runs 2.5 times as slow.
    pub slow_until: f64,
    /// How many times as long it takes for some seconds, and what its sidecar knows of it.
    pub degradation: f64,
    pub known_degradation: f64,
    pub queued: Vec<Run>,
    pub running: Vec<Run>,
    /// Adapters in slots, the least recently used first.
    pub held: VecDeque<AdapterRef>,
    pub loading: BTreeMap<AdapterRef, f64>,
    cached: VecDeque<AdapterRef>,
    /// Prompt tokens of the current step, by index of `running`.
    chunks: Vec<u32>,
    pub is_stepping: bool,
}

impl Engine {
    pub fn new(name: String, relative_time: f64) -> Self {
        Self {
            name,
            relative_time,
            slow_until: 0.0,
            degradation: 1.0,
            known_degradation: 1.0,
            queued: Vec::new(),
            running: Vec::new(),
            held: VecDeque::new(),
            loading: BTreeMap::new(),
            cached: VecDeque::new(),
            chunks: Vec::new(),
            is_stepping: false,
        }
    }

    /// Starts a step and returns its time in ms; `None` if there is no work.
    pub fn start_step(&mut self, now: f64) -> Option<f64> {
        self.queued.sort_by(|a, b| {
            let key = |run: &Run| (run.urgency, run.queued_at);
            key(a).partial_cmp(&key(b)).expect("comparable times")
        });
        while self.running.len() < SLOTS && !self.queued.is_empty() {
            let run = self.queued.remove(0);
            self.running.push(run);
        }
        if self.running.is_empty() {
            return None;
        }
        let mut left = CHUNK_TOKENS;
        self.chunks.clear();
        for run in &self.running {
            let chunk = run.unread_tokens.min(left);
            left -= chunk;
            self.chunks.push(chunk);
        }
        let prefill_ms = f64::from(CHUNK_TOKENS - left) / PREFILL_TOKENS_PER_MS;
        let factor = if now < self.slow_until { 2.5 } else { 1.0 };
        Some((BASE_STEP_MS + prefill_ms) * self.relative_time * self.degradation * factor)
    }

    /// Ends the step and returns the runs that have a new event or their end.
    pub fn end_step(&mut self, now: f64) -> Vec<Run> {
        let mut changed = Vec::new();
        for (run, chunk) in self.running.iter_mut().zip(&self.chunks) {
            run.unread_tokens -= chunk;
            if run.unread_tokens > 0 {
                continue;
            }
            run.made_tokens += 1;
            if run.made_tokens % TOKENS_PER_EVENT == 0 || run.made_tokens == run.output_tokens {
                run.on_event(now);
                changed.push(run.clone());
            }
        }
        self.running
            .retain(|run| run.made_tokens < run.output_tokens);
        changed
    }

    /// Starts a load unless the adapter is there or no slot can be freed; returns its time in ms.
    pub fn start_load(&mut self, adapter: &AdapterRef, now: f64) -> Option<f64> {
        if self.held.contains(adapter) || self.loading.contains_key(adapter) {
            return None;
        }
        if self.held.len() + self.loading.len() >= ADAPTER_SLOTS {
            let idle = self.held.iter().position(|held| !self.is_used(held))?;
            let evicted = self.held.remove(idle)?;
            self.cached.retain(|a| *a != evicted);
            self.cached.push_back(evicted);
            if self.cached.len() > CACHED_ADAPTERS {
                self.cached.pop_front();
            }
        }
        let load_ms = match self.cached.contains(adapter) {
            true => RELOAD_MS,
            false => LOAD_MS,
        };
        self.loading.insert(adapter.clone(), now + load_ms);
        Some(load_ms)
    }

    pub fn is_used(&self, adapter: &AdapterRef) -> bool {
        let mut runs = self.running.iter().chain(&self.queued);
        runs.any(|run| run.adapter == *adapter)
    }

    /// Returns the view of its sidecar.
    pub fn view(&self, entries: u32) -> EngineView {
        let held = self.held.iter().map(|adapter| HeldAdapter {
            adapter: adapter.clone(),
            version: 1,
        });
        let runs = || self.running.iter().chain(&self.queued);
        let idle = self.held.iter().filter(|held| !self.is_used(held)).count();
        let known_time = self.relative_time * self.known_degradation;
        let free = ADAPTER_SLOTS - (self.held.len() + self.loading.len()).min(ADAPTER_SLOTS);
        EngineView {
            backend: self.name.as_str().into(),
            models: vec!["m".to_string()],
            held: held.collect(),
            loading: self.loading.keys().cloned().collect(),
            figures: EngineStats {
                next_load_ms: LOAD_MS as u32,
                next_return_ms: RELOAD_MS as u32,
                spare_slots: (idle + free) as u32,
                running: self.running.len() as u32,
                queued: self.queued.len() as u32,
                reading: runs().filter(|run| run.made_tokens == 0).count() as u32,
                entries,
                is_down: Some(false),
                prefill_tokens_per_s: Some((PREFILL_TOKENS_PER_MS * 1e3 / known_time) as u32),
                event_interval_us: Some(
                    (BASE_STEP_MS * f64::from(TOKENS_PER_EVENT) * 1e3 * known_time) as u32,
                ),
                prefill_tokens: Some(runs().map(|run| run.unread_tokens).sum()),
                ..EngineStats::default()
            },
            ..EngineView::default()
        }
    }
}
