use {
    chalkcart_state::ingress::RequestDigest,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// How long a completed run is remembered at least: longer than a crash takes to be confirmed and
/// told by other entries.
const MEMORY: Duration = Duration::from_secs(30);
/// Upper bound on the requests in one of the two generations; 0.4 MB in both when full.
const MAX_REQUESTS: usize = 4_096;

/// When requests completed last, of those that this process ran of late.
///
/// A crash is known some time after the runs that it ended; the runs of equal requests that have
/// completed meanwhile show whether the request is the cause.
#[derive(Debug, Default)]
pub struct RecentRuns {
    current: HashMap<RequestDigest, Instant>,
    before: HashMap<RequestDigest, Instant>,
    /// When the current generation began.
    began: Option<Instant>,
}

impl RecentRuns {
    pub fn on_completed(&mut self, digest: RequestDigest, now: Instant) {
        let began = *self.began.get_or_insert(now);
        let is_old = now.saturating_duration_since(began) >= MEMORY;
        if is_old || self.current.len() >= MAX_REQUESTS {
            self.before = std::mem::take(&mut self.current);
            self.began = Some(now);
        }
        self.current.insert(digest, now);
    }

    /// Returns when the request completed last, if that is remembered.
    pub fn last(&self, digest: &RequestDigest) -> Option<Instant> {
        let last = self.current.get(digest).or_else(|| self.before.get(digest));
        last.copied()
    }
}
