use {
    chalkcart_protocol::peer::CrashEvent,
    std::time::{Duration, Instant},
};

/// A request or part that hasn't been tried for this long may run again, since the engines may
/// have been fixed meanwhile. It costs a few engines at most to learn that they were not.
pub const RETENTION: Duration = Duration::from_secs(600);

/// The crashes attributed to one request, or to one part of prompts, since it last ran well.
#[derive(Debug, Clone)]
pub struct CrashRecord {
    /// The newest crashes since the last completed run, ordered by time.
    pub crashes: Vec<Crash>,
    completed: Option<CompletedRun>,
    /// When it was last tried or reported.
    pub last_used: Instant,
    /// Until when the only run that may try it again has time, while it is blocked.
    pub tried_until: Option<Instant>,
    /// Upper bound on the crashes that are kept.
    max_crashes: usize,
}

#[derive(Debug, Clone, Copy)]
pub struct Crash {
    /// Hash of the engine's incarnation.
    pub incarnation: u64,
    pub stamp: Stamp,
}

#[derive(Debug, Clone, Copy)]
pub struct CompletedRun {
    /// 0 if an older build reported it.
    pub id: u64,
    pub stamp: Stamp,
}

/// Time of an event and the registry's revision that added it.
#[derive(Debug, Clone, Copy)]
pub struct Stamp {
    pub at: Instant,
    pub revision: u64,
}

impl CrashRecord {
    pub fn new(max_crashes: usize, now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            completed: None,
            last_used: now,
            tried_until: None,
            max_crashes,
        }
    }

    /// Adds a crash, unless it is already known or precedes a completed run. Returns whether
    /// it was added.
    pub fn add_crash(&mut self, crash: Crash) -> bool {
        let is_known = self
            .crashes
            .iter()
            .any(|known| known.incarnation == crash.incarnation);
        let is_cleared = self
            .completed
            .is_some_and(|completed| crash.stamp.at <= completed.stamp.at);
        if is_known || is_cleared {
            return false;
        }
        // keep the newest, since a completed run clears all crashes before it
        let index = self
            .crashes
            .partition_point(|c| c.stamp.at <= crash.stamp.at);
        let is_too_old = index == 0 && self.crashes.len() >= self.max_crashes;
        if !is_too_old {
            self.crashes.insert(index, crash);
            let excess = self.crashes.len().saturating_sub(self.max_crashes);
            self.crashes.drain(..excess);
        }
        !is_too_old
    }

    /// Clears the crashes up to a completed run. Returns whether other processes need it.
    pub fn on_completed(&mut self, mut run: CompletedRun) -> bool {
        let previous = self.completed;
        if previous.is_some_and(|previous| run.stamp.at <= previous.stamp.at) {
            return false;
        }
        let crashes = self.crashes.len();
        self.crashes.retain(|crash| crash.stamp.at > run.stamp.at);
        let has_cleared = self.crashes.len() < crashes;
        // Older builds repeat a completed run without end, each time with a later time. A
        // repeat is not told from a new run, so it is passed on only if it clears a crash.
        let unneeded = previous.filter(|_| run.id == 0 && !has_cleared);
        if let Some(previous) = unneeded {
            run.stamp.revision = previous.stamp.revision;
        }
        self.completed = Some(run);
        unneeded.is_none()
    }

    /// Returns whether a run of it is known to have completed.
    pub fn has_done_well(&self) -> bool {
        self.completed.is_some()
    }

    /// Returns the events with the ids of the completed runs.
    pub fn events(&self) -> impl Iterator<Item = (CrashEvent, u64, Stamp)> + '_ {
        let crashes = self.crashes.iter().map(|crash| {
            let event = CrashEvent::Ended {
                life: crash.incarnation,
            };
            (event, 0, crash.stamp)
        });
        let completed = self
            .completed
            .map(|run| (CrashEvent::Served, run.id, run.stamp));
        crashes.chain(completed)
    }

    pub fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_used) >= RETENTION
    }
}
