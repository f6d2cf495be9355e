use {
    chalkcart_protocol::peer::{PermitRequest, PermitResponse},
    chalkcart_state::ids::{AdapterName, BoxName},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Limits of the weight store, and times of the permit issuer.
#[derive(Debug, Clone)]
pub struct LoadPermitSettings {
    pub loads_per_second: u32,
    pub loads_at_once: u32,
    /// A permit that isn't released expires after this time.
    pub lease: Duration,
    /// A request that isn't repeated is removed after this time.
    pub request_ttl: Duration,
    /// Retry time of the requests next in the order.
    pub min_retry_after: Duration,
    /// Retry time of the last requests in the order; less than `request_ttl`.
    pub max_retry_after: Duration,
}

impl Default for LoadPermitSettings {
    fn default() -> Self {
        Self {
            loads_per_second: 3,
            loads_at_once: 2,
            lease: Duration::from_secs(5),
            request_ttl: Duration::from_millis(1_500),
            min_retry_after: Duration::from_millis(150),
            max_retry_after: Duration::from_secs(1),
        }
    }
}

/// A target and the adapter that it wants to load.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LoadKey {
    target: BoxName,
    adapter: AdapterName,
}

#[derive(Debug)]
struct WaitingLoad {
    priority: u8,
    /// When the most urgent request began to wait.
    since: Instant,
    requested_at: Instant,
}

/// Issues permits to load from the weight store: to the most urgent class first, then to the
/// load that has waited longest.
///
/// The leases are its only state. A replacement starts empty, and two issuers at once only slow
/// loads down, since the store enforces its limits itself.
#[derive(Debug)]
pub struct LoadPermitIssuer {
    settings: LoadPermitSettings,
    waiting: HashMap<LoadKey, WaitingLoad>,
    /// Expiry of each permit in use.
    leases: HashMap<LoadKey, Instant>,
    /// Loads that may start now; accumulates up to one second's worth.
    tokens: f64,
    refilled_at: Instant,
}

impl LoadPermitIssuer {
    pub fn new(settings: LoadPermitSettings, now: Instant) -> Self {
        Self {
            settings,
            waiting: HashMap::new(),
            leases: HashMap::new(),
            tokens: 1.0,
            refilled_at: now,
        }
    }

    /// Sets the store's limits.
    pub fn set_limits(&mut self, loads_per_second: u32, loads_at_once: u32) {
        self.settings.loads_per_second = loads_per_second;
        self.settings.loads_at_once = loads_at_once;
    }

    /// Grants a permit, or returns the time after which the target should request it again.
    pub fn request(&mut self, request: &PermitRequest, now: Instant) -> PermitResponse {
        self.refill(now);
        self.remove_expired(now);
        let key = LoadKey::from(request);
        if let Some(expires) = self.leases.get(&key) {
            // the response to an earlier request was lost
            let lease = expires.saturating_duration_since(now);
            return PermitResponse::Granted { lease };
        }
        self.waiting.insert(
            key.clone(),
            WaitingLoad {
                priority: request.priority,
                since: now.checked_sub(request.waited).unwrap_or(now),
                requested_at: now,
            },
        );
        let rank = self.rank(&key);
        if rank >= self.free_permits() {
            return PermitResponse::Wait {
                retry_after: self.retry_after(rank),
            };
        }
        self.waiting.remove(&key);
        self.leases.insert(key, now + self.settings.lease);
        self.tokens -= 1.0;
        PermitResponse::Granted {
            lease: self.settings.lease,
        }
    }

    /// Releases the permit of a load that has ended.
    pub fn release(&mut self, request: &PermitRequest) {
        let key = LoadKey::from(request);
        self.leases.remove(&key);
        self.waiting.remove(&key);
    }

    /// Returns the retry time of a request at this rank. It grows with the rank, so that a
    /// waiting fleet doesn't overload the issuer.
    fn retry_after(&self, rank: usize) -> Duration {
        let starts = f64::from(self.settings.loads_per_second.max(1));
        let expected = Duration::from_secs_f64(rank as f64 / starts / 2.0);
        expected.clamp(self.settings.min_retry_after, self.settings.max_retry_after)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        let rate = f64::from(self.settings.loads_per_second);
        self.tokens = (self.tokens + elapsed * rate).min(rate.max(1.0));
        self.refilled_at = now;
    }

    fn remove_expired(&mut self, now: Instant) {
        let request_ttl = self.settings.request_ttl;
        self.waiting
            .retain(|_, w| now.saturating_duration_since(w.requested_at) < request_ttl);
        self.leases.retain(|_, expires| *expires > now);
    }

    fn free_permits(&self) -> usize {
        let at_once = self.settings.loads_at_once as usize;
        let unleased = at_once.saturating_sub(self.leases.len());
        unleased.min(self.tokens as usize)
    }

    /// Returns how many waiting loads are served before this one.
    fn rank(&self, key: &LoadKey) -> usize {
        let Some(own) = self.waiting.get(key) else {
            return usize::MAX;
        };
        let all = self.waiting.values();
        all.filter(|w| (w.priority, w.since) < (own.priority, own.since))
            .count()
    }
}

impl From<&PermitRequest> for LoadKey {
    fn from(request: &PermitRequest) -> Self {
        Self {
            target: request.target.clone(),
            adapter: request.adapter.clone(),
        }
    }
}
