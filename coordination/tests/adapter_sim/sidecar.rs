//! Sidecars: their orders, their reads of the engines, and the views that they publish.

use {
    super::{
        engine::Engine,
        entry::DelayedView,
        fleet::{addr, Fleet},
        ms, SimTime, SERVICE,
    },
    chalkcart_coordination::placement::{
        OrderKind, PlacementAction, PlacementControl, PlacementEvent,
    },
    chalkcart_protocol::peer::EngineView,
    rand::RngExt,
};

/// Bounds of the delay of a view on its way to an entry, in ms.
const VIEW_DELAY_MS: std::ops::Range<SimTime> = 100..200;
/// Time between two views that differ in stats only, in ms.
const STATS_INTERVAL_MS: SimTime = 100;

pub struct Sidecar {
    pub control: PlacementControl,
    pub polled_at: SimTime,
    pub published: EngineView,
    pub published_at: SimTime,
}

impl Fleet {
    pub fn run_sidecar(&mut self, engine: usize, now: SimTime) {
        let at = self.at(now);
        let sidecar = &mut self.sidecars[engine];
        match sidecar.control.next_action(at) {
            PlacementAction::Identify { .. } => {
                let name =
                    (!self.engines[engine].is_down(now)).then(|| format!("{SERVICE}-{engine}"));
                sidecar.control.handle(PlacementEvent::Identified(name), at);
            }
            PlacementAction::Order(order) => {
                if let Some(place) = repeat_cause(&self.engines, engine, &order.kind) {
                    let cause = self.causes.get(&(order.kind.to_string(), engine));
                    let key = (place, cause.copied().unwrap_or("none"));
                    *self.outcome.repeats.entry(key).or_default() += 1;
                }
                let running: usize = self.engines.iter().map(Engine::store_loads_running).sum();
                let answer = self.engines[engine].order(&order.kind, running, now);
                let event = PlacementEvent::OrderAnswered { order, answer };
                sidecar.control.handle(event, at);
                self.poll(engine, now);
            }
            PlacementAction::Read { after } => {
                if ms(now - sidecar.polled_at) >= after {
                    self.poll(engine, now);
                }
            }
            PlacementAction::BackOff { .. } => {}
        }
        self.publish(engine, now);
    }

    pub fn poll(&mut self, engine: usize, now: SimTime) {
        let event = match self.engines[engine].is_down(now) {
            true => PlacementEvent::ReportFailed { is_down: true },
            false => PlacementEvent::Report(self.engines[engine].report()),
        };
        let at = self.at(now);
        self.sidecars[engine].control.handle(event, at);
        self.sidecars[engine].polled_at = now;
    }

    pub fn publish(&mut self, engine: usize, now: SimTime) {
        let sidecar = &mut self.sidecars[engine];
        let mut view = sidecar.control.view(self.start + ms(now));
        let is_due = now >= sidecar.published_at + STATS_INTERVAL_MS;
        if !(view.is_urgent_after(&sidecar.published) || is_due && view != sidecar.published) {
            return;
        }
        let is_first = sidecar.published.backend != view.backend;
        sidecar.published_at = now;
        sidecar.published = view.clone();
        if !is_first {
            // only full views list them
            view.lately.clear();
        }
        for entry in &mut self.entries {
            let delay = self.rng.random_range(VIEW_DELAY_MS);
            let last = entry.views.iter().rev().find(|v| v.addr == addr(engine));
            let delivered_at = (now + delay).max(last.map_or(0, |v| v.at));
            let position = entry.views.partition_point(|v| v.at <= delivered_at);
            entry.views.insert(
                position,
                DelayedView {
                    at: delivered_at,
                    addr: addr(engine),
                    view: view.clone(),
                },
            );
        }
    }
}

/// Returns where else an adapter is that an engine loads from the weight store.
fn repeat_cause(engines: &[Engine], engine: usize, kind: &OrderKind) -> Option<&'static str> {
    let OrderKind::LoadAdapter(adapter) = kind else {
        return None;
    };
    let name = &adapter.adapter;
    if engines[engine].has_in_host_memory(name) {
        return None;
    }
    let others = || engines.iter().enumerate().filter(|(n, _)| *n != engine);
    if others().any(|(_, e)| e.holds(name)) {
        return Some("held elsewhere");
    }
    if others().any(|(_, e)| e.is_loading(name)) {
        return Some("loading elsewhere");
    }
    let in_host = || others().filter(|(_, e)| e.has_in_host_memory(name));
    if in_host().any(|(_, e)| e.has_idle_slot()) {
        return Some("in host memory elsewhere, idle slot there");
    }
    match in_host().next() {
        Some(_) => Some("in host memory elsewhere, all slots in use there"),
        None => Some("in no host memory"),
    }
}
