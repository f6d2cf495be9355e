use {
    crate::{backend_admission::AdvertisedLimit, backend_signals::BackendSignals},
    chalkcart_state::{backends::BackendId, spans::later},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// How long the signals of a back end are kept after its record is gone. Records disappear
/// and return while the store is down; an incarnation that has left never returns under its
/// id.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);

/// Signals that back ends sent about themselves to this entry.
///
/// They are kept beside the list, not replaced by it: the store may be down for long, or
/// hold a record that is older than the signal.
#[derive(Debug, Default)]
pub(super) struct BackendSignalTracker {
    leaving: HashMap<BackendId, Instant>,
    /// Ends of requested back-offs.
    backoffs: HashMap<BackendId, Instant>,
    /// Rate limits of back ends whose records are gone.
    limits: HashMap<BackendId, (AdvertisedLimit, Instant)>,
}

impl BackendSignalTracker {
    pub fn on_signal(&mut self, backend: &BackendId, signal: BackendSignals, now: Instant) {
        if signal.is_leaving {
            self.leaving.insert(backend.clone(), now);
        }
        if let Some(backoff) = signal.backoff {
            let until = later(now, backoff);
            let known = self.backoffs.entry(backend.clone()).or_insert(until);
            *known = until.max(*known);
        }
    }
    /// Returns whether a back end announced that it is leaving, which is final.
    pub fn is_leaving(&self, backend: &BackendId) -> bool {
        self.leaving.contains_key(backend)
    }
    /// Returns when the requested back-off ends, if there is one.
    pub fn backoff_until(&self, backend: &BackendId, now: Instant) -> Option<Instant> {
        let until = self.backoffs.get(backend).copied();
        until.filter(|until| *until > now)
    }
    /// Keeps the rate limit of a back end whose record is gone, in case it returns.
    pub fn save_limit(&mut self, backend: &BackendId, limit: &AdvertisedLimit, now: Instant) {
        if limit.effective_rate().is_some() {
            self.limits.insert(backend.clone(), (limit.clone(), now));
        }
    }
    pub fn take_limit(&mut self, backend: &BackendId) -> AdvertisedLimit {
        let saved = self.limits.remove(backend);
        saved.map(|(limit, _)| limit).unwrap_or_default()
    }
    /// Drops expired signals of unknown back ends.
    pub fn remove_expired(&mut self, is_known: impl Fn(&BackendId) -> bool, now: Instant) {
        self.backoffs.retain(|_, until| *until > now);
        self.limits.retain(|_, (_, unlisted_at)| {
            now.saturating_duration_since(*unlisted_at) < UNLISTED_RETENTION
        });
        self.leaving.retain(|backend, signaled_at| {
            is_known(backend) || now.saturating_duration_since(*signaled_at) < UNLISTED_RETENTION
        });
    }
}
