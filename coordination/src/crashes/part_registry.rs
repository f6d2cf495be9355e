//! The crashes and the good runs of parts of prompts, and which parts they block.

use {
    super::{
        fleet_crashes::FleetCrashes,
        part_change::{PartChange, PartChangeKind, PartChanges},
        part_evidence::{part_verdict, PartEvidence, PartVerdict},
        part_history::{GoodRun, LongestRun, PartCrash},
        part_table::PartTable,
        sound_parts::SoundParts,
    },
    chalkcart_state::ingress::PartId,
    std::time::{Duration, Instant},
};

#[derive(Debug, Default)]
pub struct PartRegistry {
    parts: PartTable,
    sound: SoundParts,
    fleet: FleetCrashes,
    /// The parts with enough crashes to block them.
    suspects: Vec<PartEvidence>,
    /// Whether events came since the suspects were found.
    is_stale: bool,
    pub changes: PartChanges,
}

impl PartRegistry {
    /// Returns whether no engine crashed under any part.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
    pub fn table(&self) -> &PartTable {
        &self.parts
    }

    /// Notes that an engine crashed, whatever ran there.
    pub fn on_engine_crash(&mut self, incarnation: u64, at: Instant) {
        self.is_stale |= self.fleet.add(incarnation, at);
    }

    /// Sets the number of engines that can take requests now.
    pub fn set_engines(&mut self, engines: usize, now: Instant) {
        self.is_stale |= self.fleet.set_engines(engines, now);
    }

    pub fn has_crash(&mut self, part: &PartId, incarnation: u64) -> bool {
        let history = self.parts.get_mut(part);
        history.is_some_and(|history| history.has_crash(incarnation))
    }

    /// Adds a crash that this process saw (`is_own`) or heard of. Returns whether it is new.
    pub fn on_crash(&mut self, part: PartId, crash: PartCrash, is_own: bool, now: Instant) -> bool {
        let is_new = self.parts.reported(part, now).add_crash(crash);
        if is_new {
            self.is_stale = true;
            let LongestRun {
                written, sent_for, ..
            } = crash.aboard;
            let kind = PartChangeKind::Crash {
                life: crash.incarnation,
                written,
                sent_for,
            };
            self.push_change(part, kind, is_own, crash.stamp.at, now);
        }
        is_new
    }

    /// Returns when a run with this part did well before any crash, if no process is known to have
    /// told of one.
    pub fn unshared_earlier_run(&mut self, part: PartId, now: Instant) -> Option<Instant> {
        let history = self.parts.get_mut(&part)?;
        match history.has_good_runs() {
            true => None,
            false => self.sound.newest_of(part, now),
        }
    }

    /// Notes that a prompt with this part was answered to its end.
    pub fn on_served(&mut self, part: PartId, now: Instant) {
        self.sound.on_served(part, now);
    }

    /// Returns whether a run of this process counts as a good one of a part, and has not so far. One
    /// that does goes on with the new time.
    pub fn is_good_run(&mut self, part: &PartId, id: u64, written: Duration) -> bool {
        let Some(history) = self.parts.get_mut(part) else {
            return false;
        };
        let is_known = history.extend_run(id, written);
        self.is_stale |= is_known;
        !is_known && history.is_outlived_by(written)
    }

    /// Returns whether other processes may lack good runs of a part.
    pub fn needs_sharing(&mut self, part: &PartId) -> bool {
        let history = self.parts.get_mut(part);
        history.is_some_and(|history| history.needs_sharing())
    }

    /// Adds a good run. Returns whether it is new.
    pub fn on_good_run(&mut self, part: PartId, run: GoodRun, is_own: bool, now: Instant) -> bool {
        let is_new = self.parts.reported(part, now).add_good_run(run);
        if is_new {
            self.is_stale = true;
            let kind = PartChangeKind::DidWell {
                written: (run.written < Duration::MAX).then_some(run.written),
            };
            self.push_change(part, kind, is_own, run.at, now);
        }
        is_new
    }

    /// Returns whether a request with these parts may run. `spread` from 0 to 1 differs between
    /// entries.
    pub fn verdict(
        &mut self,
        parts: &[PartId],
        spread: impl Fn(PartId) -> f64,
        now: Instant,
    ) -> PartVerdict {
        if self.parts.is_empty() {
            return PartVerdict::Clear;
        }
        self.update_suspects(now);
        let verdict = part_verdict(parts, &self.suspects, spread, now);
        if verdict != PartVerdict::Clear {
            parts.iter().for_each(|part| self.parts.on_used(part, now));
        }
        verdict
    }

    /// Returns the parts with enough crashes to block them.
    pub fn suspects(&mut self, now: Instant) -> &[PartEvidence] {
        self.update_suspects(now);
        &self.suspects
    }

    /// Finds the suspects again after events.
    fn update_suspects(&mut self, now: Instant) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        self.parts.remove_expired(now);
        let mut found = self.find_suspects(now);
        found.sort_by_key(|suspect| suspect.part);
        let before = std::mem::replace(&mut self.suspects, found);
        self.note_changed_suspects(&before, now);
    }

    /// Finds the parts with enough crashes. Those with the fewest good runs for each crash come first,
    /// and what they explain does not count against others.
    fn find_suspects(&self, now: Instant) -> Vec<PartEvidence> {
        let candidates = self.parts.iter();
        let candidates = candidates.filter_map(|(part, _)| self.evidence(*part, |_| false, now));
        let mut candidates: Vec<PartEvidence> = candidates.collect();
        candidates.sort_by(|one, other| {
            let good_runs = one.good_runs_per_crash();
            good_runs.total_cmp(&other.good_runs_per_crash())
        });
        if candidates.iter().all(|c| c.good_runs_per_crash() == 0.0) {
            return candidates;
        }
        let few = self.parts_with_few_crashes(now);
        let mut found: Vec<PartEvidence> = Vec::new();
        for candidate in candidates {
            let good_runs = candidate.good_runs_per_crash();
            let is_explained = |life| {
                let mut others = found.iter().chain(&few);
                others.any(|other| other.explains(life, good_runs))
            };
            found.extend(self.evidence(candidate.part, is_explained, now));
        }
        found
    }

    /// Returns the parts that may be causes, though their crashes are too few to block them.
    fn parts_with_few_crashes(&self, now: Instant) -> Vec<PartEvidence> {
        let few = self.parts.iter().filter_map(|(part, history)| {
            let earlier_runs = self.sound.runs_of(*part, now);
            PartEvidence::of_few_crashes(*part, history, &self.fleet, earlier_runs)
        });
        few.collect()
    }

    fn evidence(
        &self,
        part: PartId,
        is_explained: impl Fn(u64) -> bool,
        now: Instant,
    ) -> Option<PartEvidence> {
        let history = self.parts.get(&part)?;
        let earlier_runs = self.sound.runs_of(part, now);
        PartEvidence::against(part, history, &self.fleet, earlier_runs, is_explained)
    }

    fn note_changed_suspects(&mut self, before: &[PartEvidence], now: Instant) {
        let has = |suspects: &[PartEvidence], part| suspects.iter().any(|s| s.part == part);
        let mut changes = Vec::new();
        for suspect in self.suspects.iter().filter(|s| !has(before, s.part)) {
            let kind = PartChangeKind::Suspected {
                crashes: suspect.crash_count(),
                good_runs: suspect.good_runs(),
                log_ratio: suspect.log_ratio(),
            };
            changes.push((suspect.part, kind, suspect.age(now)));
        }
        for suspect in before.iter().filter(|s| !has(&self.suspects, s.part)) {
            let kind = PartChangeKind::Released;
            changes.push((suspect.part, kind, suspect.age(now)));
        }
        for (part, kind, age) in changes {
            self.changes.push(PartChange {
                part,
                kind,
                is_own: true,
                age,
            });
        }
    }

    fn push_change(
        &mut self,
        part: PartId,
        kind: PartChangeKind,
        is_own: bool,
        at: Instant,
        now: Instant,
    ) {
        self.changes.push(PartChange {
            part,
            kind,
            is_own,
            age: now.saturating_duration_since(at),
        });
    }
}
