use {
    crate::dispatch::said_at,
    chalkcart_protocol::peer::EngineStats,
    chalkcart_state::{backends::BackendId, ingress::RequestDigest},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// A connection that broke and the end of its engine belong together within this time. The
/// list shows an end after three heartbeats, 3.6 s with the longest pause of the platform's
/// pages; sidecars show it after some 100 ms.
const PROVED_WITHIN: Duration = Duration::from_secs(5);
/// An engine whose sidecar still reads it this long after a connection to it broke has not
/// ended with the connection: a sidecar reads each 100 ms and waits 500 ms for an answer.
const OUTLIVED_AFTER: Duration = Duration::from_secs(1);
/// broken runs of one life that are kept, far above what an entry sends to one engine
const MOST_RUNS: usize = 512;

/// the end of an engine's life, with the requests that it ran for this entry
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    pub life: BackendId,
    pub runs: Vec<BrokenRun>,
}

/// a run whose connection ended before its answer did
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenRun {
    pub digest: RequestDigest,
    pub at: Instant,
}

/// Which runs an engine's end belongs to.
///
/// A connection that breaks proves nothing: engines reset connections, links are cut, and
/// answers are spoilt. It takes the word of somebody who sees the engine itself that its life
/// is over: its sidecar, which is refused on its own machine or reads another life, or the
/// list. One of the requests that it ran did it, so all of them are suspected alike.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    /// runs whose connection broke, by the life that ran them
    broken: HashMap<BackendId, Vec<BrokenRun>>,
    ended: HashMap<BackendId, Instant>,
    crashes: Vec<Crash>,
}

impl CrashEvidence {
    /// a run's connection ended before its answer did
    pub fn on_broken(&mut self, life: &BackendId, digest: RequestDigest, now: Instant) {
        self.expire(now);
        let runs = self.broken.entry(life.clone()).or_default();
        if runs.len() < MOST_RUNS {
            runs.push(BrokenRun { digest, at: now });
        }
        if self.ended.contains_key(life) {
            self.prove(life);
        }
    }

    /// the life of an engine is over
    pub fn on_ended(&mut self, life: &BackendId, now: Instant) {
        self.expire(now);
        self.ended.entry(life.clone()).or_insert(now);
        self.prove(life);
    }

    /// the sidecar of an engine has spoken of it
    pub fn on_word(&mut self, life: &BackendId, figures: &EngineStats, now: Instant) {
        match figures.is_down {
            Some(true) => self.on_ended(life, now),
            Some(false) => self.on_alive(life, said_at(figures, now)),
            // a sidecar that does not say it may pass on what it read before
            None => {}
        }
    }

    /// an engine was read at this time and lives
    fn on_alive(&mut self, life: &BackendId, read: Instant) {
        let Some(runs) = self.broken.get_mut(life) else {
            return;
        };
        runs.retain(|run| read < run.at + OUTLIVED_AFTER);
        if runs.is_empty() {
            self.broken.remove(life);
        }
    }

    /// ends that were proved since the last call
    pub fn take_crashes(&mut self) -> Vec<Crash> {
        std::mem::take(&mut self.crashes)
    }

    fn prove(&mut self, life: &BackendId) {
        if let Some(runs) = self.broken.remove(life) {
            let life = life.clone();
            self.crashes.push(Crash { life, runs });
        }
    }

    fn expire(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < PROVED_WITHIN;
        self.ended.retain(|_, at| is_recent(at));
        for runs in self.broken.values_mut() {
            runs.retain(|run| is_recent(&run.at));
        }
        self.broken.retain(|_, runs| !runs.is_empty());
    }
}
