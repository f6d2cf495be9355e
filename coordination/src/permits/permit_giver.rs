use {
    chalkcart_protocol::peer::{PermitRequest, PermitResponse},
    chalkcart_state::ids::{AdapterName, BoxName},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// limits of the weight store, and the giver's own times
#[derive(Debug, Clone)]
pub struct PermitSettings {
    pub loads_per_second: u32,
    pub loads_at_once: u32,
    /// a permit not given back by then is free again
    pub lease: Duration,
    /// an asker that did not ask again for this long is forgotten
    pub patience: Duration,
    /// when the next in turn ask again
    pub retry_after: Duration,
    /// when the last in turn ask again; less than `patience`
    pub longest_retry: Duration,
}

impl Default for PermitSettings {
    fn default() -> Self {
        Self {
            loads_per_second: 3,
            loads_at_once: 2,
            lease: Duration::from_secs(5),
            patience: Duration::from_millis(1_500),
            retry_after: Duration::from_millis(150),
            longest_retry: Duration::from_secs(1),
        }
    }
}

/// one target and the adapter that it wants
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Asker {
    target: BoxName,
    adapter: AdapterName,
}

#[derive(Debug)]
struct Claim {
    priority: u8,
    /// when the most urgent request began to wait
    since: Instant,
    asked: Instant,
}

/// hands the weight store's capacity to those who wait for it, the most
/// urgent class first, then the longest wait.
///
/// It keeps no record beyond the leases: a giver that is replaced starts
/// empty, and two givers at once cost speed only, since the store keeps its
/// own limit.
#[derive(Debug)]
pub struct PermitGiver {
    settings: PermitSettings,
    claims: HashMap<Asker, Claim>,
    leases: HashMap<Asker, Instant>,
    /// starts allowed now; grows with time up to one second's worth
    allowance: f64,
    refilled: Instant,
}

impl PermitGiver {
    pub fn new(settings: PermitSettings, now: Instant) -> Self {
        Self {
            settings,
            claims: HashMap::new(),
            leases: HashMap::new(),
            allowance: 1.0,
            refilled: now,
        }
    }

    /// follow a change of the store's limits
    pub fn set_limits(&mut self, loads_per_second: u32, loads_at_once: u32) {
        self.settings.loads_per_second = loads_per_second;
        self.settings.loads_at_once = loads_at_once;
    }

    pub fn ask(&mut self, ask: &PermitRequest, now: Instant) -> PermitResponse {
        self.refill(now);
        self.forget_old(now);
        let asker = Asker::from(ask);
        if let Some(expires) = self.leases.get(&asker) {
            // the answer to an earlier ask was lost
            let lease = expires.saturating_duration_since(now);
            return PermitResponse::Granted { lease };
        }
        self.claims.insert(
            asker.clone(),
            Claim {
                priority: ask.priority,
                since: now.checked_sub(ask.waited).unwrap_or(now),
                asked: now,
            },
        );
        let rank = self.rank(&asker);
        if rank >= self.free_permits() {
            return PermitResponse::Wait {
                retry_after: self.retry_after(rank),
            };
        }
        self.claims.remove(&asker);
        self.leases.insert(asker, now + self.settings.lease);
        self.allowance -= 1.0;
        PermitResponse::Granted {
            lease: self.settings.lease,
        }
    }

    /// the load ended
    pub fn give_back(&mut self, ask: &PermitRequest) {
        let asker = Asker::from(ask);
        self.leases.remove(&asker);
        self.claims.remove(&asker);
    }

    /// those far behind come back later, so that a fleet that waits does not
    /// keep the giver busy
    fn retry_after(&self, rank: usize) -> Duration {
        let starts = f64::from(self.settings.loads_per_second.max(1));
        let turn = Duration::from_secs_f64(rank as f64 / starts / 2.0);
        turn.clamp(self.settings.retry_after, self.settings.longest_retry)
    }

    fn refill(&mut self, now: Instant) {
        let gone = now.saturating_duration_since(self.refilled).as_secs_f64();
        let rate = f64::from(self.settings.loads_per_second);
        self.allowance = (self.allowance + gone * rate).min(rate.max(1.0));
        self.refilled = now;
    }

    fn forget_old(&mut self, now: Instant) {
        let patience = self.settings.patience;
        self.claims
            .retain(|_, c| now.saturating_duration_since(c.asked) < patience);
        self.leases.retain(|_, expires| *expires > now);
    }

    fn free_permits(&self) -> usize {
        let at_once = self.settings.loads_at_once as usize;
        let unleased = at_once.saturating_sub(self.leases.len());
        unleased.min(self.allowance as usize)
    }

    /// how many claims go before this one
    fn rank(&self, asker: &Asker) -> usize {
        let Some(own) = self.claims.get(asker) else {
            return usize::MAX;
        };
        let before = self.claims.values();
        before
            .filter(|c| (c.priority, c.since) < (own.priority, own.since))
            .count()
    }
}

impl From<&PermitRequest> for Asker {
    fn from(ask: &PermitRequest) -> Self {
        Self {
            target: ask.target.clone(),
            adapter: ask.adapter.clone(),
        }
    }
}
