use {
    super::{SimTime, ADAPTER_SLOTS, MODEL_MB, WEIGHTS_MB},
    chalkcart_coordination::placement::{EngineOrder, EngineReport, OrderAnswer, OrderKind},
    chalkcart_state::backends::{AdapterRef, HeldAdapter},
};

const LOAD_TIME: SimTime = 250;

/// An engine that takes every order which fits its incarnation, its fence and its count, and notes
/// those beyond its slots or its memory.
pub struct Engine {
    incarnation: u64,
    id: String,
    started_at: SimTime,
    enforces_fences: bool,
    fence: u64,
    count: u64,
    models: Vec<String>,
    held: Vec<AdapterRef>,
    loading: Vec<(AdapterRef, SimTime)>,
    /// Reports since the start of the incarnation, from which on each holds.
    reports: Vec<(SimTime, EngineReport)>,
    pub excess: Vec<String>,
    pub loads: usize,
    pub refused_by_count: usize,
}

impl Engine {
    pub fn new(enforces_fences: bool) -> Self {
        let mut engine = Self {
            incarnation: 0,
            id: "b-0".to_string(),
            started_at: 0,
            enforces_fences,
            fence: 0,
            count: 0,
            models: Vec::new(),
            held: Vec::new(),
            loading: Vec::new(),
            reports: Vec::new(),
            excess: Vec::new(),
            loads: 0,
            refused_by_count: 0,
        };
        engine.remember(0);
        engine
    }

    pub fn id(&self) -> &str {
        &self.id
    }

    pub fn restart(&mut self, now: SimTime) {
        self.incarnation += 1;
        self.id = format!("b-{}", self.incarnation);
        self.started_at = now;
        self.fence = 0;
        self.count = 0;
        self.models.clear();
        self.held.clear();
        self.loading.clear();
        self.reports.clear();
        self.remember(now);
    }

    pub fn take(&mut self, order: &EngineOrder, now: SimTime) -> OrderAnswer {
        self.end_loads(now);
        if order.backend.name != self.id {
            return OrderAnswer::OtherBackend(Some(self.id.clone()));
        }
        if self.enforces_fences && order.fence < self.fence {
            return OrderAnswer::Fenced;
        }
        self.fence = self.fence.max(order.fence);
        if order
            .expected_count
            .is_some_and(|count| count != self.count)
        {
            self.refused_by_count += 1;
            return OrderAnswer::Busy;
        }
        let answer = match &order.kind {
            OrderKind::LoadAdapter(adapter) => self.load_adapter(adapter, now),
            OrderKind::UnloadAdapter(adapter) => self.unload(adapter),
            OrderKind::LoadModel(model) => self.load_model(model),
        };
        self.remember(now);
        answer
    }

    fn load_adapter(&mut self, adapter: &AdapterRef, now: SimTime) -> OrderAnswer {
        let is_loading = self.loading.iter().any(|(a, _)| a == adapter);
        if is_loading || self.held.contains(adapter) {
            return OrderAnswer::Done;
        }
        if !self.models.contains(&adapter.model) {
            return OrderAnswer::Refused;
        }
        if self.held.len() + self.loading.len() >= ADAPTER_SLOTS {
            self.excess.push(format!("{now} ms: load {adapter}"));
        }
        self.loading.push((adapter.clone(), now + LOAD_TIME));
        self.loads += 1;
        self.count += 1;
        OrderAnswer::Taken
    }

    fn unload(&mut self, adapter: &AdapterRef) -> OrderAnswer {
        if !self.held.contains(adapter) {
            return OrderAnswer::Refused;
        }
        self.held.retain(|held| held != adapter);
        self.count += 1;
        OrderAnswer::Done
    }

    fn load_model(&mut self, model: &str) -> OrderAnswer {
        if self.models.iter().any(|held| held == model) {
            return OrderAnswer::Done;
        }
        if MODEL_MB * (self.models.len() + 1) as f64 > WEIGHTS_MB {
            self.excess.push(format!("load {model}"));
        }
        self.models.push(model.to_string());
        self.count += 1;
        OrderAnswer::Taken
    }

    fn end_loads(&mut self, now: SimTime) {
        let ended = self.loading.iter().filter(|(_, at)| *at <= now);
        let ended: Vec<(AdapterRef, SimTime)> = ended.cloned().collect();
        for (adapter, at) in ended {
            self.loading.retain(|(a, _)| *a != adapter);
            self.held.push(adapter);
            self.remember(at);
        }
    }

    fn remember(&mut self, at: SimTime) {
        let held = self.held.iter().map(|adapter| HeldAdapter {
            adapter: adapter.clone(),
            version: 1,
        });
        let report = EngineReport {
            models: self.models.clone(),
            held: held.collect(),
            loading: self.loading.iter().map(|(a, _)| a.clone()).collect(),
            order_count: Some(self.count),
            start_time_ms: 1 + self.started_at,
            ..EngineReport::default()
        };
        self.reports.push((at, report));
    }

    /// Returns the report of `at` or of the engine's start, whichever is later.
    pub fn report(&mut self, now: SimTime, at: SimTime) -> EngineReport {
        self.end_loads(now);
        let known = self.reports.iter().rev().find(|(from, _)| *from <= at);
        let (_, report) = known.unwrap_or(&self.reports[0]);
        report.clone()
    }
}
