use {
    chalkcart_coordination::crashes::{CrashRegistry, EngineCrash, PartRun, PartVerdict},
    chalkcart_state::ingress::PartId,
    std::time::{Duration, Instant},
};

/// An entry with its registry.
pub struct SimEntry {
    pub registry: CrashRegistry,
    /// Revision up to which the aggregator has its reports.
    sent: u64,
    /// Revision of the aggregator up to which it has its reports.
    heard: u64,
}

/// Entries that exchange reports through one aggregator.
pub struct SimEntries {
    pub entries: Vec<SimEntry>,
    aggregator: CrashRegistry,
    starts: u64,
}

impl SimEntry {
    fn new(origin: u64) -> Self {
        Self {
            registry: CrashRegistry::new(origin),
            sent: 0,
            heard: 0,
        }
    }

    pub fn on_crash(&mut self, crash: &EngineCrash, now: Instant) {
        self.registry.on_crash(crash, now);
    }

    pub fn on_served(&mut self, run: &mut PartRun, parts: &[PartId], now: Instant) {
        self.registry.on_parts_served(run, parts, now);
    }

    /// Handles that a response has been written for some time, and goes on.
    pub fn on_progress(
        &mut self,
        run: &mut PartRun,
        parts: &[PartId],
        written: Duration,
        now: Instant,
    ) {
        if !run.is_counted() {
            self.registry.on_parts_progress(run, parts, written, now);
        }
    }

    /// Handles that a response ended before its end, and not by a crash.
    pub fn on_left(
        &mut self,
        run: &mut PartRun,
        parts: &[PartId],
        written: Duration,
        now: Instant,
    ) {
        self.registry.on_parts_left(run, parts, written, now);
    }

    pub fn is_blocked(&mut self, parts: &[PartId], now: Instant) -> bool {
        matches!(
            self.registry.part_verdict(parts, now),
            PartVerdict::Blocked(_)
        )
    }
}

impl SimEntries {
    pub fn new(count: usize) -> Self {
        let entries = (1..=count as u64).map(SimEntry::new);
        Self {
            entries: entries.collect(),
            aggregator: CrashRegistry::default(),
            starts: 0,
        }
    }

    /// Starts an entry again, which forgets all.
    pub fn restart(&mut self, entry: usize) {
        self.starts += 1;
        self.entries[entry] = SimEntry::new(1_000_000 + self.starts);
    }

    /// Tells all entries how many engines can take requests.
    pub fn set_engines(&mut self, engines: usize, now: Instant) {
        for entry in &mut self.entries {
            entry.registry.set_engines(engines, now);
        }
    }

    /// Passes all new reports of entries on to the aggregator and back.
    pub fn exchange(&mut self, now: Instant) {
        for entry in &mut self.entries {
            let (reports, sent) = entry.registry.reports_since(entry.sent, now);
            entry.sent = sent;
            self.aggregator.merge(&reports, now);
        }
        for entry in &mut self.entries {
            let (reports, heard) = self.aggregator.reports_since(entry.heard, now);
            entry.heard = heard;
            entry.registry.merge(&reports, now);
        }
    }
}
