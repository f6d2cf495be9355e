use {
    crate::dispatch::reported_at,
    chalkcart_protocol::peer::EngineStats,
    chalkcart_state::{
        backends::BackendId,
        ingress::{RequestDigest, SharedParts},
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// An interrupted run and the end of its engine are attributed to each other within this
/// time. The backend list shows an engine's end after three missed heartbeats, up to 3.6 s;
/// sidecars show it after some 100 ms.
const CORRELATION_WINDOW: Duration = Duration::from_secs(5);
/// If an engine responds to its sidecar this long after a run was interrupted, the engine
/// has survived the interruption. Longer than the sidecar's poll interval of 100 ms plus
/// its timeout of 500 ms.
const SURVIVAL_DELAY: Duration = Duration::from_secs(1);
/// Upper bound on the interrupted runs that are kept per engine incarnation.
const MAX_RUNS_PER_INCARNATION: usize = 512;

/// End of an engine incarnation, with the requests that it ran for this entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineCrash {
    pub backend: BackendId,
    pub runs: Vec<InterruptedRun>,
}

/// Run whose connection closed before the response was complete, or at the end of a response that
/// only its connection ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InterruptedRun {
    pub digest: RequestDigest,
    pub shared_parts: SharedParts,
    /// For how long the engine had written the response; `None` before its head.
    pub written: Option<Duration>,
    /// Time since it was sent to the engine.
    pub sent_for: Duration,
    /// Whether the response is complete if the engine has survived.
    pub is_whole: bool,
    pub at: Instant,
}

/// Attributes interrupted runs to crashes of engines.
///
/// A closed connection alone is no evidence of a crash. The end of an incarnation has to be
/// confirmed by the engine's sidecar or by the backend list. All requests that the engine
/// ran are then suspected alike.
#[derive(Debug, Default)]
pub struct CrashDetector {
    /// Interrupted runs by engine incarnation.
    interrupted: HashMap<BackendId, Vec<InterruptedRun>>,
    /// When the end of an incarnation was reported.
    ended: HashMap<BackendId, Instant>,
    crashes: Vec<EngineCrash>,
    /// Runs whose engine has survived, so that their responses are complete.
    completed: Vec<InterruptedRun>,
}

impl CrashDetector {
    /// Records a run whose connection closed.
    pub fn on_interrupted_run(&mut self, backend: &BackendId, run: InterruptedRun) {
        self.expire(run.at);
        let runs = self.interrupted.entry(backend.clone()).or_default();
        if runs.len() < MAX_RUNS_PER_INCARNATION {
            runs.push(run);
        }
        if self.ended.contains_key(backend) {
            self.confirm_crash(backend);
        }
    }

    /// Records the end of an engine incarnation.
    pub fn on_engine_ended(&mut self, backend: &BackendId, now: Instant) {
        self.expire(now);
        self.ended.entry(backend.clone()).or_insert(now);
        self.confirm_crash(backend);
    }

    /// Applies what an engine's sidecar reports about the engine.
    pub fn on_engine_stats(&mut self, backend: &BackendId, stats: &EngineStats, now: Instant) {
        match stats.is_down {
            Some(true) => self.on_engine_ended(backend, now),
            Some(false) => self.on_alive(backend, reported_at(stats, now)),
            // a sidecar without this field may repeat stats from before the end
            None => {}
        }
    }

    /// Handles a response of this incarnation to a request that was sent at `sent_at`: it has
    /// survived all runs that were interrupted before that.
    pub fn on_responded(&mut self, backend: &BackendId, sent_at: Instant) {
        self.drop_survived(backend, |run| run.at < sent_at);
    }

    /// Drops the runs that an engine has survived; its sidecar read it at `read_at`.
    fn on_alive(&mut self, backend: &BackendId, read_at: Instant) {
        self.drop_survived(backend, |run| read_at >= run.at + SURVIVAL_DELAY);
    }

    fn drop_survived(
        &mut self,
        backend: &BackendId,
        has_survived: impl Fn(&InterruptedRun) -> bool,
    ) {
        let Some(runs) = self.interrupted.get_mut(backend) else {
            return;
        };
        let survived = runs.extract_if(.., |run| has_survived(run));
        self.completed.extend(survived.filter(|run| run.is_whole));
        if runs.is_empty() {
            self.interrupted.remove(backend);
        }
    }

    /// Returns the crashes confirmed since the last call.
    pub fn take_crashes(&mut self) -> Vec<EngineCrash> {
        std::mem::take(&mut self.crashes)
    }

    /// Returns the runs that turned out to be complete since the last call.
    pub fn take_completed(&mut self) -> Vec<InterruptedRun> {
        std::mem::take(&mut self.completed)
    }

    fn confirm_crash(&mut self, backend: &BackendId) {
        if let Some(runs) = self.interrupted.remove(backend) {
            let backend = backend.clone();
            self.crashes.push(EngineCrash { backend, runs });
        }
    }

    fn expire(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < CORRELATION_WINDOW;
        self.ended.retain(|_, at| is_recent(at));
        for runs in self.interrupted.values_mut() {
            let survived = runs.extract_if(.., |run| !is_recent(&run.at));
            self.completed.extend(survived.filter(|run| run.is_whole));
        }
        self.interrupted.retain(|_, runs| !runs.is_empty());
    }
}
