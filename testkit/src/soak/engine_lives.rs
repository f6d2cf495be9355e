//! Which engines of a soak are listed, at which software version, and which have a sidecar.

use std::{collections::BTreeMap, time::Instant};

/// How an engine is listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It has no record and no sidecar.
    Absent,
    Ready,
    Draining,
}

/// The engines of a soak, by their number.
#[derive(Debug)]
pub struct EngineLives {
    engines: Vec<EngineLife>,
    history: ServingHistory,
}

#[derive(Debug, Clone)]
struct EngineLife {
    presence: Presence,
    software: String,
    is_sidecar_running: bool,
}

/// The number of engines that serve, by software version, from each change on.
#[derive(Debug, Clone, Default)]
pub struct ServingHistory(Vec<(Instant, BTreeMap<String, usize>)>);

impl EngineLives {
    /// All engines are listed as ready and have a sidecar.
    pub fn new(software: Vec<String>) -> Self {
        let life = |software| EngineLife {
            presence: Presence::Ready,
            software,
            is_sidecar_running: true,
        };
        let mut lives = Self {
            engines: software.into_iter().map(life).collect(),
            history: ServingHistory::default(),
        };
        lives.record();
        lives
    }

    pub fn presence(&self, engine: u8) -> Presence {
        self.engines[usize::from(engine)].presence
    }
    pub fn is_sidecar_running(&self, engine: usize) -> bool {
        self.engines[engine].is_sidecar_running
    }
    pub fn set_presence(&mut self, engine: u8, presence: Presence) {
        self.engines[usize::from(engine)].presence = presence;
        self.record();
    }
    pub fn set_software(&mut self, engine: u8, software: &str) {
        self.engines[usize::from(engine)].software = software.to_string();
        self.record();
    }
    pub fn set_sidecar_running(&mut self, engine: u8, is_running: bool) {
        self.engines[usize::from(engine)].is_sidecar_running = is_running;
    }
    /// Returns the engines whose sidecars should run, and don't.
    pub fn without_sidecar(&self) -> Vec<u8> {
        let engines = self.engines.iter().enumerate();
        let without = engines
            .filter(|(_, engine)| engine.presence != Presence::Absent)
            .filter(|(_, engine)| !engine.is_sidecar_running);
        without.map(|(number, _)| number as u8).collect()
    }
    /// Returns the engines whose sidecars run.
    pub fn with_sidecar(&self) -> Vec<u8> {
        let engines = self.engines.iter().enumerate();
        let with = engines.filter(|(_, engine)| engine.is_sidecar_running);
        with.map(|(number, _)| number as u8).collect()
    }
    pub fn into_history(self) -> ServingHistory {
        self.history
    }

    fn record(&mut self) {
        let mut serving = BTreeMap::new();
        let ready = self.engines.iter();
        for engine in ready.filter(|engine| engine.presence == Presence::Ready) {
            *serving.entry(engine.software.clone()).or_default() += 1;
        }
        self.history.push(Instant::now(), serving);
    }
}

impl ServingHistory {
    /// Adds the numbers of engines by version from a moment on.
    pub fn push(&mut self, at: Instant, serving: BTreeMap<String, usize>) {
        self.0.push((at, serving));
    }

    /// Returns how many engines of a version served at a moment.
    pub fn count(&self, software: &str, at: Instant) -> usize {
        let before = self.0.partition_point(|(from, _)| *from <= at);
        let serving = self.0[..before].last().map(|(_, serving)| serving);
        let count = serving.and_then(|serving| serving.get(software));
        count.copied().unwrap_or(0)
    }
}
