use {
    crate::{backend_admission::AdvertisedLimit, backend_signals::BackendSignals},
    chalkcart_state::backends::BackendId,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// A back end's own word is kept for this long after its record is gone. Records vanish
/// and return while the store is down, for seconds or minutes; a life that has left does
/// not come back under its id.
const KEPT: Duration = Duration::from_secs(600);

/// What back ends have said of themselves to this entry.
///
/// It stands beside the list and is not replaced by it: the store may be silent for long,
/// or have a record that is older than the word.
#[derive(Debug, Default)]
pub(super) struct OwnWords {
    leaving: HashMap<BackendId, Instant>,
    /// until when they want rest
    rests: HashMap<BackendId, Instant>,
    /// of those whose record is gone
    limits: HashMap<BackendId, (AdvertisedLimit, Instant)>,
}

impl OwnWords {
    pub fn on_word(&mut self, backend: &BackendId, word: BackendSignals, now: Instant) {
        if word.is_leaving {
            self.leaving.insert(backend.clone(), now);
        }
        if let Some(rest) = word.backoff {
            let until = now + rest;
            let known = self.rests.entry(backend.clone()).or_insert(until);
            *known = until.max(*known);
        }
    }
    /// it has said that it leaves; none do that take it back
    pub fn is_leaving(&self, backend: &BackendId) -> bool {
        self.leaving.contains_key(backend)
    }
    /// when its rest ends, if it wants one
    pub fn rests_until(&self, backend: &BackendId, now: Instant) -> Option<Instant> {
        let until = self.rests.get(backend).copied();
        until.filter(|until| *until > now)
    }
    /// the record of a back end is gone; its limit holds if it comes back
    pub fn keep_limit(&mut self, backend: &BackendId, limit: &AdvertisedLimit, now: Instant) {
        if limit.effective_rate().is_some() {
            self.limits.insert(backend.clone(), (limit.clone(), now));
        }
    }
    pub fn take_limit(&mut self, backend: &BackendId) -> AdvertisedLimit {
        let kept = self.limits.remove(backend);
        kept.map(|(limit, _)| limit).unwrap_or_default()
    }
    /// forget those that are known no more and said it long ago
    pub fn forget_gone(&mut self, is_known: impl Fn(&BackendId) -> bool, now: Instant) {
        self.rests.retain(|_, until| *until > now);
        self.limits
            .retain(|_, (_, gone)| now.saturating_duration_since(*gone) < KEPT);
        self.leaving.retain(|backend, said| {
            is_known(backend) || now.saturating_duration_since(*said) < KEPT
        });
    }
}
