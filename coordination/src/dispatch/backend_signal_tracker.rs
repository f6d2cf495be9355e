use {
    crate::{intake::NamedLimit, own_word::OwnWord},
    chalkcart_state::backends::BackendId,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// A back end's own word is kept for this long after its record is gone. Records vanish
/// and return while the store is down, for seconds or minutes; a life that has left does
/// not come back under its id.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);

/// What back ends have said of themselves to this entry.
///
/// It stands beside the list and is not replaced by it: the store may be silent for long,
/// or have a record that is older than the word.
#[derive(Debug, Default)]
pub(super) struct BackendSignalTracker {
    leaving: HashMap<BackendId, Instant>,
    /// until when they want rest
    backoffs: HashMap<BackendId, Instant>,
    /// of those whose record is gone
    limits: HashMap<BackendId, (NamedLimit, Instant)>,
}

impl BackendSignalTracker {
    pub fn on_signal(&mut self, backend: &BackendId, signal: OwnWord, now: Instant) {
        if signal.is_leaving {
            self.leaving.insert(backend.clone(), now);
        }
        if let Some(rest) = signal.rest {
            let until = now + rest;
            let known = self.backoffs.entry(backend.clone()).or_insert(until);
            *known = until.max(*known);
        }
    }
    /// it has said that it leaves; none do that take it back
    pub fn is_leaving(&self, backend: &BackendId) -> bool {
        self.leaving.contains_key(backend)
    }
    /// when its rest ends, if it wants one
    pub fn backoff_until(&self, backend: &BackendId, now: Instant) -> Option<Instant> {
        let until = self.backoffs.get(backend).copied();
        until.filter(|until| *until > now)
    }
    /// the record of a back end is gone; its limit holds if it comes back
    pub fn keep_limit(&mut self, backend: &BackendId, limit: &NamedLimit, now: Instant) {
        if limit.named().is_some() {
            self.limits.insert(backend.clone(), (limit.clone(), now));
        }
    }
    pub fn take_limit(&mut self, backend: &BackendId) -> NamedLimit {
        let kept = self.limits.remove(backend);
        kept.map(|(limit, _)| limit).unwrap_or_default()
    }
    /// forget those that are known no more and said it long ago
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
