use {
    chalkcart_protocol::peer::StreamOrigin,
    chalkcart_state::ids::RequestId,
    std::{
        collections::{HashMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Some 420 bytes each.
const MAX_ORIGINS: usize = 16 * 1024;

/// The software versions that began streams, by the client's attempt.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    origins: HashMap<RequestId, KeptOrigin>,
    /// Attempts in the order of insertion.
    by_age: VecDeque<RequestId>,
}

#[derive(Debug)]
struct KeptOrigin {
    origin: StreamOrigin,
    until: Instant,
}

impl StreamOrigins {
    /// Keeps an origin for some time; the first of an attempt with a version stays.
    pub fn insert(&mut self, origin: StreamOrigin, keep: Duration, now: Instant) {
        self.remove_expired(now);
        let request = origin.request.clone();
        if let Some(kept) = self.origins.get_mut(&request) {
            let known = kept.origin.version.take();
            kept.origin.version = known.or(origin.version);
            return;
        }
        let until = now + keep;
        let kept = KeptOrigin { origin, until };
        self.origins.insert(request.clone(), kept);
        self.by_age.push_back(request);
        if self.by_age.len() > MAX_ORIGINS {
            self.remove_oldest();
        }
    }

    /// Returns the origin of the stream that an attempt began.
    pub fn get(&self, request: &str, now: Instant) -> Option<&StreamOrigin> {
        let kept = self.origins.get(request)?;
        (now < kept.until).then_some(&kept.origin)
    }

    pub fn len(&self) -> usize {
        self.origins.len()
    }

    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// Removes expired origins from the oldest one on.
    fn remove_expired(&mut self, now: Instant) {
        while self.is_oldest_expired(now) {
            self.remove_oldest();
        }
    }

    fn is_oldest_expired(&self, now: Instant) -> bool {
        let oldest = self.by_age.front().and_then(|id| self.origins.get(id));
        oldest.is_some_and(|kept| now >= kept.until)
    }

    fn remove_oldest(&mut self) {
        if let Some(request) = self.by_age.pop_front() {
            self.origins.remove(&request);
        }
    }
}
